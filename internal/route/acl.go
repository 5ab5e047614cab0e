package route

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// test is one condition on a request: a sample fetch, and a match on what it finds.
type test struct {
	fetch *fetch
	match func(string) bool
	found bool // it holds if there is any sample

	// For the index: the sample must be one of the patterns, or begin with one.
	indexable  string // "str" or "beg", the methods that the index answers; else ""
	ignoreCase bool   // case does not matter
	patterns   []string
}

func (t *test) holds(q *Request) bool {
	got := t.fetch.samples(q)
	if t.found {
		return len(got) > 0
	}
	return slices.ContainsFunc(got, t.match)
}

// defaultMethods are the matching methods of samples where neither a flag nor a suffix names one.
var defaultMethods = map[kind]string{kindStr: "str", kindInt: "int", kindIP: "ip", kindBool: "bool"}

// methodSuffixes are the matching methods that a fetch's name may end with.
var methodSuffixes = map[string]string{"_beg": "beg", "_end": "end", "_sub": "sub", "_dir": "dir", "_dom": "dom", "_reg": "reg",
	"_len": "len", "_str": "str"}

// parseTest parses the words of an access list: a fetch, flags, and patterns.
func (l *ACLSet) parseTest(words []string) (*test, error) {
	if len(words) == 0 {
		return nil, fmt.Errorf("a condition without a sample")
	}
	expr, method := cutMethod(words[0])
	f, err := l.fetch(expr)
	if err != nil {
		return nil, err
	}
	t := &test{fetch: f}
	method, rest, err := l.parseFlags(t, method, words[1:])
	if err != nil {
		return nil, err
	}
	t.patterns = append(t.patterns, rest...)
	method = cmp.Or(method, defaultMethods[f.kind])
	match, ok := matchers[method]
	if !ok {
		return nil, unsupported("the method -m %s", method)
	}
	if len(t.patterns) == 0 && method != "found" && method != "bool" {
		return nil, fmt.Errorf("%s has no pattern to match", words[0])
	}
	if t.match, err = match(t.patterns, t.ignoreCase); err != nil {
		return nil, err
	}
	t.found = method == "found"
	if method == "str" || method == "beg" {
		t.indexable = method
	}
	return t, nil
}

// cutMethod takes the matching method that a fetch's name ends with, as in path_beg, off the
// expression; "": none.
func cutMethod(expr string) (fetch, method string) {
	base, _, _ := strings.Cut(expr, "(")
	if i := strings.IndexByte(base, ','); i >= 0 {
		base = base[:i]
	}
	for suffix, method := range methodSuffixes {
		if cut, ok := strings.CutSuffix(base, suffix); ok && cut != "" {
			return cut + expr[len(base):], method
		}
	}
	return expr, ""
}

// parseFlags reads the flags in front of the patterns into t. It returns the method that -m
// names, the given one without it, and the words behind the flags.
func (l *ACLSet) parseFlags(t *test, method string, words []string) (string, []string, error) {
	rest := words
	for len(rest) > 0 && strings.HasPrefix(rest[0], "-") && len(rest[0]) > 1 {
		flag := rest[0]
		behind := rest[1:]
		switch flag {
		case "--":
			return method, behind, nil
		case "-i":
			t.ignoreCase = true
		case "-n": // names are not looked up anyway
		case "-m":
			if len(behind) == 0 {
				return "", nil, fmt.Errorf("-m lacks its method")
			}
			method, behind = behind[0], behind[1:]
		case "-f":
			if len(behind) == 0 {
				return "", nil, fmt.Errorf("-f lacks its file")
			}
			b, err := l.files(behind[0])
			if err != nil {
				return "", nil, err
			}
			t.patterns = append(t.patterns, fileLines(b)...)
			behind = behind[1:]
		default:
			if t.fetch.kind == kindInt { // a negative number: the patterns begin here
				return method, rest, nil
			}
			return "", nil, unsupported("the flag %s", flag)
		}
		rest = behind
	}
	return method, rest, nil
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

// ACLSet are named access lists; several of one name hold if any does.
type ACLSet struct {
	files   Files
	named   map[string][]*test
	fetches map[string]*fetch // by their text: rules with the same fetch share its samples
}

// NewACLSet returns an ACLSet with only the predefined access lists.
func NewACLSet(files Files) *ACLSet { return &ACLSet{files, map[string][]*test{}, map[string]*fetch{}} }

// fetch returns the fetch of a text, the same one each time.
func (l *ACLSet) fetch(text string) (*fetch, error) {
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
func (l *ACLSet) Add(name string, words []string) error {
	t, err := l.parseTest(words)
	if err != nil {
		return fmt.Errorf("acl %s: %w", name, err)
	}
	l.named[name] = append(l.named[name], t)
	return nil
}

// Condition is a compiled condition.
type Condition struct {
	alternatives [][]term // one of these holds, all of whose terms hold
	unless       bool
}

// term is a named or anonymous access list in a condition.
type term struct {
	tests   []*test // any of these
	negated bool
}

// CompileCondition compiles a condition: "if" or "unless" and what follows. Without words it always holds.
func (l *ACLSet) CompileCondition(words []string) (*Condition, error) {
	if len(words) == 0 {
		return &Condition{alternatives: [][]term{{}}}, nil
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
			c.alternatives, all, open = append(c.alternatives, all), nil, true
			continue
		}
		t, rest, err := l.parseTerm(w, words)
		if err != nil {
			return nil, err
		}
		words = rest
		all, open = append(all, t), false
	}
	if open || len(all) == 0 {
		return nil, fmt.Errorf("the condition ends where something must follow")
	}
	c.alternatives = append(c.alternatives, all)
	return c, nil
}

// parseTerm reads one term, which begins with w and goes on in words: the name of an access list
// or an anonymous one in braces, negated or not. It returns the words behind it.
func (l *ACLSet) parseTerm(w string, words []string) (t term, rest []string, err error) {
	for strings.HasPrefix(w, "!") {
		t.negated = !t.negated
		if w = w[1:]; w == "" {
			if len(words) == 0 {
				return t, nil, fmt.Errorf("nothing stands behind the last \"!\"")
			}
			w, words = words[0], words[1:]
		}
	}
	if w != "{" {
		t.tests, err = l.lookup(w)
		return t, words, err
	}
	end := slices.Index(words, "}")
	if end < 0 {
		return t, nil, fmt.Errorf("an anonymous condition lacks its \"}\"")
	}
	anonymous, err := l.parseTest(words[:end])
	if err != nil {
		return t, nil, err
	}
	t.tests = []*test{anonymous}
	return t, words[end+1:], nil
}

// lookup returns the tests of a declared or predefined access list.
func (l *ACLSet) lookup(name string) ([]*test, error) {
	if tests := l.named[name]; tests != nil {
		return tests, nil
	}
	text, ok := predefined[name]
	if !ok {
		return nil, fmt.Errorf("no acl is called %q", name)
	}
	t, err := l.parseTest(strings.Fields(text))
	if err != nil {
		return nil, err
	}
	return []*test{t}, nil
}

// Holds reports whether a request meets the condition.
func (c *Condition) Holds(q *Request) bool {
	for _, all := range c.alternatives {
		holds := true
		for i := range all {
			if all[i].holds(q) == all[i].negated {
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
