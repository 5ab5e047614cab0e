package route

import (
	"fmt"
	"slices"
	"strings"
)

// test is one question about a request.
type test struct {
	f     *fetch
	match func(string) bool
	found bool // it asks only whether there is a sample

	// For the index: the sample must be one of these, or begin with one.
	how      string // "str" or "beg", without flags; else ""
	fold     bool
	patterns []string
}

func (t *test) holds(q *Request) bool {
	got := t.f.samples(q)
	if t.found {
		return len(got) > 0
	}
	return slices.ContainsFunc(got, t.match)
}

// suffixes are the ways to match that a fetch's name may end with.
var suffixes = map[string]string{"_beg": "beg", "_end": "end", "_sub": "sub", "_dir": "dir", "_dom": "dom", "_reg": "reg",
	"_len": "len", "_str": "str"}

// parseTest reads the words of an access list: a fetch, flags, and patterns.
func (l *Lists) parseTest(words []string) (*test, error) {
	if len(words) == 0 {
		return nil, fmt.Errorf("a condition without a sample")
	}
	expr := words[0]
	how := ""
	base, _, _ := strings.Cut(expr, "(")
	if i := strings.IndexByte(base, ','); i >= 0 {
		base = base[:i]
	}
	for suffix, m := range suffixes {
		if cut, ok := strings.CutSuffix(base, suffix); ok && cut != "" {
			expr, how = cut+expr[len(base):], m
			break
		}
	}
	f, err := l.fetch(expr)
	if err != nil {
		return nil, err
	}
	t := &test{f: f}
	rest := words[1:]
	for len(rest) > 0 && strings.HasPrefix(rest[0], "-") && len(rest[0]) > 1 {
		flag := rest[0]
		rest = rest[1:]
		if flag == "--" {
			break
		}
		switch flag {
		case "-i":
			t.fold = true
		case "-n": // names are not looked up anyway
		case "-m":
			if len(rest) == 0 {
				return nil, fmt.Errorf("-m lacks its method")
			}
			how, rest = rest[0], rest[1:]
		case "-f":
			if len(rest) == 0 {
				return nil, fmt.Errorf("-f lacks its file")
			}
			b, err := l.files(rest[0])
			if err != nil {
				return nil, err
			}
			t.patterns = append(t.patterns, fileLines(b)...)
			rest = rest[1:]
		default:
			if f.kind == kindInt { // a negative number
				rest = append([]string{flag}, rest...)
				goto patterns
			}
			return nil, unsupported("the flag %s", flag)
		}
	}
patterns:
	t.patterns = append(t.patterns, rest...)
	if how == "" {
		how = map[kind]string{kindStr: "str", kindInt: "int", kindIP: "ip", kindBool: "bool"}[f.kind]
	}
	m, ok := methods[how]
	if !ok {
		return nil, unsupported("the method -m %s", how)
	}
	if len(t.patterns) == 0 && how != "found" && how != "bool" {
		return nil, fmt.Errorf("%s has no pattern to match", words[0])
	}
	if t.match, err = m(t.patterns, t.fold); err != nil {
		return nil, err
	}
	t.found = how == "found"
	if how == "str" || how == "beg" {
		t.how = how
	}
	return t, nil
}

// predefined are the access lists that need not be declared.
var predefined = map[string]string{
	"TRUE": "always_true", "FALSE": "always_false",
	"LOCALHOST": "src 127.0.0.1/8 ::1", "METH_CONNECT": "method CONNECT", "METH_DELETE": "method DELETE",
	"METH_GET": "method GET HEAD", "METH_HEAD": "method HEAD", "METH_OPTIONS": "method OPTIONS", "METH_POST": "method POST",
	"METH_PUT": "method PUT", "METH_TRACE": "method TRACE", "HTTP": "always_true", "HTTP_1.0": "req.ver 1.0",
	"HTTP_1.1": "req.ver 1.1", "HTTP_URL_ABS": "url_reg ^[^/:]*://", "HTTP_URL_SLASH": "url_beg /", "HTTP_URL_STAR": "url *",
	"HTTP_CONTENT": "hdr_len(content-length) gt 0",
}

// Lists are named access lists; several of one name hold if any does.
type Lists struct {
	files   Files
	named   map[string][]*test
	fetches map[string]*fetch // by their text: rules that ask for the same share what was found
}

// NewLists returns Lists without any but those that need not be declared.
func NewLists(files Files) *Lists { return &Lists{files, map[string][]*test{}, map[string]*fetch{}} }

// fetch returns the fetch of a text, the same one each time.
func (l *Lists) fetch(text string) (*fetch, error) {
	if f := l.fetches[text]; f != nil {
		return f, nil
	}
	f, err := parseFetch(text, l.files)
	if err == nil {
		l.fetches[text] = f
	}
	return f, err
}

// Add declares an access list: its name, and the words behind it.
func (l *Lists) Add(name string, words []string) error {
	t, err := l.parseTest(words)
	if err != nil {
		return fmt.Errorf("acl %s: %w", name, err)
	}
	l.named[name] = append(l.named[name], t)
	return nil
}

// Condition is a compiled condition.
type Condition struct {
	any    [][]term // one of these holds, all of whose terms hold
	unless bool
}

type term struct {
	tests []*test // any of these
	not   bool
}

// Compile reads a condition: "if" or "unless" and what follows. No words: it always holds.
func (l *Lists) Compile(words []string) (*Condition, error) {
	if len(words) == 0 {
		return &Condition{any: [][]term{{}}}, nil
	}
	c := &Condition{unless: words[0] == "unless"}
	if words[0] != "if" && words[0] != "unless" {
		return nil, fmt.Errorf("expected if or unless, not %q", words[0])
	}
	words = words[1:]
	var all []term
	open := false // a term must follow
	for len(words) > 0 {
		w := words[0]
		words = words[1:]
		if w == "or" || w == "||" {
			if len(all) == 0 {
				return nil, fmt.Errorf("nothing stands before %q", w)
			}
			c.any, all, open = append(c.any, all), nil, true
			continue
		}
		var t term
		for strings.HasPrefix(w, "!") {
			t.not = !t.not
			if w = w[1:]; w == "" {
				if len(words) == 0 {
					return nil, fmt.Errorf("nothing stands behind the last \"!\"")
				}
				w, words = words[0], words[1:]
			}
		}
		if w == "{" {
			end := slices.Index(words, "}")
			if end < 0 {
				return nil, fmt.Errorf("an anonymous condition lacks its \"}\"")
			}
			one, err := l.parseTest(words[:end])
			if err != nil {
				return nil, err
			}
			t.tests, words = []*test{one}, words[end+1:]
		} else {
			named := l.named[w]
			if named == nil {
				text, ok := predefined[w]
				if !ok {
					return nil, fmt.Errorf("no acl is called %q", w)
				}
				one, err := l.parseTest(strings.Fields(text))
				if err != nil {
					return nil, err
				}
				named = []*test{one}
			}
			t.tests = named
		}
		all, open = append(all, t), false
	}
	if open || len(all) == 0 {
		return nil, fmt.Errorf("the condition ends where something must follow")
	}
	c.any = append(c.any, all)
	return c, nil
}

// Holds reports whether a request meets the condition.
func (c *Condition) Holds(q *Request) bool {
	for _, all := range c.any {
		holds := true
		for i := range all {
			if all[i].holds(q) == all[i].not {
				holds = false
				break
			}
		}
		if holds {
			return !c.unless
		}
	}
	return c.unless
}

func (t *term) holds(q *Request) bool {
	for _, one := range t.tests {
		if one.holds(q) {
			return true
		}
	}
	return false
}

// Always reports whether the condition is none.
func (c *Condition) Always() bool { return !c.unless && len(c.any) == 1 && len(c.any[0]) == 0 }
