package route

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// test is one criterion of an access list: a sample fetch and a match on its samples.
type test struct {
	fetch        *fetch
	match        func(string) bool
	presenceOnly bool // holds if there is any sample, whatever its value

	// The fields below are for the index of use rules.

	indexMethod string // "str" or "beg", the match methods that an index supports; "" for others
	ignoreCase  bool   // matching ignores case
	patterns    []string
}

func (t *test) holds(q *Request) bool {
	got := t.fetch.samples(q)
	if t.presenceOnly {
		return len(got) > 0
	}
	return slices.ContainsFunc(got, t.match)
}

// defaultMatchMethods are the match methods by kind of sample if neither a flag nor a suffix names one.
var defaultMatchMethods = map[kind]string{kindStr: "str", kindInt: "int", kindIP: "ip", kindBool: "bool"}

// matchMethodSuffixes are the suffixes of a fetch name that select a match method, as in path_beg.
var matchMethodSuffixes = map[string]string{"_beg": "beg", "_end": "end", "_sub": "sub", "_dir": "dir", "_dom": "dom", "_reg": "reg",
	"_len": "len", "_str": "str"}

// parseTest parses the words of a criterion: a fetch, flags and patterns.
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
	method = cmp.Or(method, defaultMatchMethods[f.kind])
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
	t.presenceOnly = method == "found"
	if method == "str" || method == "beg" {
		t.indexMethod = method
	}
	return t, nil
}

// cutMethod removes the match method suffix from the fetch name of an expression. The method is "" if there
// is no suffix.
func cutMethod(expr string) (fetch, method string) {
	base, _, _ := strings.Cut(expr, "(")
	if i := strings.IndexByte(base, ','); i >= 0 {
		base = base[:i]
	}
	for suffix, method := range matchMethodSuffixes {
		if cut, ok := strings.CutSuffix(base, suffix); ok && cut != "" {
			return cut + expr[len(base):], method
		}
	}
	return expr, ""
}

// parseFlags parses the flags before the patterns into t. It returns the match method, which is the one of
// -m or else the given one, and the words after the flags.
func (l *ACLSet) parseFlags(t *test, method string, words []string) (string, []string, error) {
	rest := words
	for len(rest) > 0 && strings.HasPrefix(rest[0], "-") && len(rest[0]) > 1 {
		flag := rest[0]
		after := rest[1:]
		switch flag {
		case "--":
			return method, after, nil
		case "-i":
			t.ignoreCase = true
		case "-n": // has no effect: host names are never resolved
		case "-m":
			if len(after) == 0 {
				return "", nil, fmt.Errorf("-m lacks its method")
			}
			method, after = after[0], after[1:]
		case "-f":
			if len(after) == 0 {
				return "", nil, fmt.Errorf("-f lacks its file")
			}
			b, err := l.files(after[0])
			if err != nil {
				return "", nil, err
			}
			t.patterns = append(t.patterns, fileLines(b)...)
			after = after[1:]
		default:
			if t.fetch.kind == kindInt { // not a flag but a negative number, the first pattern
				return method, rest, nil
			}
			return "", nil, unsupported("the flag %s", flag)
		}
		rest = after
	}
	return method, rest, nil
}

// predefinedACLs are the access lists that HAProxy predefines.
var predefinedACLs = map[string]string{
	"TRUE": "always_true", "FALSE": "always_false",
	"LOCALHOST": "src 127.0.0.1/8 ::1", "METH_CONNECT": "method CONNECT", "METH_DELETE": "method DELETE",
	"METH_GET": "method GET HEAD", "METH_HEAD": "method HEAD", "METH_OPTIONS": "method OPTIONS", "METH_POST": "method POST",
	"METH_PUT": "method PUT", "METH_TRACE": "method TRACE", "HTTP": "always_true", "HTTP_1.0": "req.ver 1.0",
	"HTTP_1.1": "req.ver 1.1", "HTTP_URL_ABS": "url_reg ^[^/:]*://", "HTTP_URL_SLASH": "url_beg /", "HTTP_URL_STAR": "url *",
	"HTTP_CONTENT": "hdr_len(content-length) gt 0",
}

// ACLSet holds named access lists. A name that is added several times holds if any of its tests holds.
type ACLSet struct {
	files   Files
	named   map[string][]*test
	fetches map[string]*fetch // by text, so that rules with the same fetch share its cached samples
}

// NewACLSet returns an ACLSet that contains only the predefined access lists.
func NewACLSet(files Files) *ACLSet { return &ACLSet{files, map[string][]*test{}, map[string]*fetch{}} }

// fetch returns the fetch of an expression. Equal expressions have the same fetch.
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

// Add adds a test, given by its words, to the access list of a name.
func (l *ACLSet) Add(name string, words []string) error {
	t, err := l.parseTest(words)
	if err != nil {
		return fmt.Errorf("acl %s: %w", name, err)
	}
	l.named[name] = append(l.named[name], t)
	return nil
}

// Condition is a compiled condition of a rule.
type Condition struct {
	alternatives [][]term // disjunction of conjunctions of terms
	unless       bool
}

// term is a named or anonymous access list in a condition, possibly negated.
type term struct {
	tests   []*test // holds if any of these holds
	negated bool
}

// CompileCondition compiles a condition that starts with "if" or "unless". An empty condition always holds.
func (l *ACLSet) CompileCondition(words []string) (*Condition, error) {
	if len(words) == 0 {
		return &Condition{alternatives: [][]term{{}}}, nil
	}
	c := &Condition{unless: words[0] == "unless"}
	if words[0] != "if" && words[0] != "unless" {
		return nil, fmt.Errorf("expected if or unless, not %q", words[0])
	}
	words = words[1:]
	var conjunction []term
	expectTerm := false // set after an "or"
	for len(words) > 0 {
		w := words[0]
		words = words[1:]
		if w == "or" || w == "||" {
			if len(conjunction) == 0 {
				return nil, fmt.Errorf("nothing stands before %q", w)
			}
			c.alternatives, conjunction, expectTerm = append(c.alternatives, conjunction), nil, true
			continue
		}
		t, rest, err := l.parseTerm(w, words)
		if err != nil {
			return nil, err
		}
		words = rest
		conjunction, expectTerm = append(conjunction, t), false
	}
	if expectTerm || len(conjunction) == 0 {
		return nil, fmt.Errorf("the condition ends where something must follow")
	}
	c.alternatives = append(c.alternatives, conjunction)
	return c, nil
}

// parseTerm parses a term whose first word is w and whose next words are in words: an access list by name
// or an anonymous one in braces, optionally negated. It returns the words after the term.
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

// lookup returns the tests of an added or predefined access list.
func (l *ACLSet) lookup(name string) ([]*test, error) {
	if tests := l.named[name]; tests != nil {
		return tests, nil
	}
	text, ok := predefinedACLs[name]
	if !ok {
		return nil, fmt.Errorf("no acl is called %q", name)
	}
	t, err := l.parseTest(strings.Fields(text))
	if err != nil {
		return nil, err
	}
	return []*test{t}, nil
}

// Holds reports whether the condition holds for a request.
func (c *Condition) Holds(q *Request) bool {
	for _, conjunction := range c.alternatives {
		holds := true
		for i := range conjunction {
			if conjunction[i].holds(q) == conjunction[i].negated {
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
	for _, alternative := range t.tests {
		if alternative.holds(q) {
			return true
		}
	}
	return false
}
