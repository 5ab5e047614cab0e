package route

import (
	"fmt"
	"slices"
	"strings"
)

// Spec is the rules of a frontend or backend, as they are in a file: each line has the arguments
// of HAProxy's directive of that kind.
type Spec struct {
	ACL      []string `toml:"acl,omitempty"`      // NAME TEST
	Request  []string `toml:"request,omitempty"`  // http-request rules
	Response []string `toml:"response,omitempty"` // http-response rules
	Use      []string `toml:"use,omitempty"`      // BACKEND if CONDITION; frontends only
	Default  string   `toml:"default,omitempty"`  // backend; frontends only
}

// Rules are a compiled Spec. They may be used by several goroutines.
type Rules struct {
	request, response []*Rule
	use               []UseRule
	defaultBackend    string

	index     []index // of the use rules that ask for a certain text
	unindexed []int   // the other ones, in order
}

// UseRule is a compiled use_backend rule: the backend, which may depend on the request, and when
// the rule counts.
type UseRule struct {
	backend *Format
	when    *Condition
	text    string
}

// index finds the use rules that can hold by a sample of the request.
type index struct {
	fetch      *fetch
	ignoreCase bool
	exact      map[string][]int
	prefix     map[string][]int
	lengths    []int // of the prefixes
}

// minIndexedRules is the number of use rules from which an index pays.
const minIndexedRules = 8

// Compile compiles a Spec. Each error names the line.
func Compile(s Spec, files Files) (*Rules, error) {
	acls := NewACLSet(files)
	if _, err := compileLines("acl", s.ACL, func(w []string) (struct{}, error) {
		if !aclName.MatchString(w[0]) {
			return struct{}{}, fmt.Errorf("%q is no name of an acl", w[0])
		}
		return struct{}{}, acls.Add(w[0], w[1:])
	}); err != nil {
		return nil, err
	}
	out := &Rules{defaultBackend: s.Default}
	var err error
	if out.request, err = compileLines("request", s.Request, acls.ParseRequestRule); err != nil {
		return nil, err
	}
	if out.response, err = compileLines("response", s.Response, acls.ParseResponseRule); err != nil {
		return nil, err
	}
	if out.use, err = compileLines("use", s.Use, acls.ParseUse); err != nil {
		return nil, err
	}
	out.buildIndex()
	return out, nil
}

// compileLines compiles lines of one kind. An error names the kind and the line.
func compileLines[T any](kind string, lines []string, compile func(words []string) (T, error)) (all []T, err error) {
	for _, text := range lines {
		words, err := SplitWords(text)
		if err == nil && len(words) == 0 {
			err = fmt.Errorf("an empty line")
		}
		var one T
		if err == nil {
			one, err = compile(words)
		}
		if err != nil {
			return nil, fmt.Errorf("%s %q: %w", kind, text, err)
		}
		all = append(all, one)
	}
	return all, nil
}

// ParseUse parses the words of a use_backend rule: the backend, which may be a format, and
// the condition.
func (l *ACLSet) ParseUse(words []string) (UseRule, error) {
	f, err := ParseFormat(words[0], l.files)
	if err != nil {
		return UseRule{}, err
	}
	c, err := l.CompileCondition(words[1:])
	return UseRule{f, c, JoinWords(words)}, err
}

// Backends returns the fixed names of backends that the rules can select, and whether there are names that depend on the
// request.
func (r *Rules) Backends() (names []string, dynamic bool) {
	for _, u := range r.use {
		if s, fixed := u.backend.Literal(); fixed {
			names = append(names, s)
		} else {
			dynamic = true
		}
	}
	if r.defaultBackend != "" {
		names = append(names, r.defaultBackend)
	}
	slices.Sort(names)
	return slices.Compact(names), dynamic
}

// buildIndex builds the index.
func (r *Rules) buildIndex() {
	if len(r.use) < minIndexedRules {
		for i := range r.use {
			r.unindexed = append(r.unindexed, i)
		}
		return
	}
	for i := range r.use {
		t := r.use[i].when.indexKey()
		if t == nil {
			r.unindexed = append(r.unindexed, i)
			continue
		}
		at := slices.IndexFunc(r.index, func(x index) bool { return x.fetch.text == t.fetch.text && x.ignoreCase == t.ignoreCase })
		if at < 0 {
			at = len(r.index)
			r.index = append(r.index, index{fetch: t.fetch, ignoreCase: t.ignoreCase, exact: map[string][]int{}, prefix: map[string][]int{}})
		}
		x := &r.index[at]
		for _, p := range t.patterns {
			if t.ignoreCase {
				p = strings.ToLower(p)
			}
			if t.indexable == "str" {
				x.exact[p] = append(x.exact[p], i)
				continue
			}
			x.prefix[p] = append(x.prefix[p], i)
			if !slices.Contains(x.lengths, len(p)) {
				x.lengths = append(x.lengths, len(p))
			}
		}
	}
}

// indexKey returns a test that must hold for the condition to hold, and that an index can
// answer, or nil.
func (c *Condition) indexKey() *test {
	if c.unless || len(c.alternatives) != 1 {
		return nil
	}
	for i := range c.alternatives[0] {
		if t := &c.alternatives[0][i]; !t.negated && len(t.tests) == 1 && t.tests[0].indexable != "" {
			return t.tests[0]
		}
	}
	return nil
}

// candidates returns the use rules that can hold, in order.
func (r *Rules) candidates(q *Request) []int {
	if len(r.index) == 0 {
		return r.unindexed
	}
	out := slices.Clone(r.unindexed)
	for k := range r.index {
		x := &r.index[k]
		for _, s := range x.fetch.samples(q) {
			if x.ignoreCase {
				s = strings.ToLower(s)
			}
			out = append(out, x.exact[s]...)
			for _, n := range x.lengths {
				if n <= len(s) {
					out = append(out, x.prefix[s[:n]]...)
				}
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// ApplyRequest applies the rules to a request. The Answer, if not nil, is the response to it.
func (r *Rules) ApplyRequest(q *Request) *Answer { return Apply(r.request, q) }

// ApplyResponse applies the rules to the response in q. The Answer, if not nil, replaces that.
func (r *Rules) ApplyResponse(q *Request) *Answer { return Apply(r.response, q) }

// EditsResponse reports whether there are rules on responses.
func (r *Rules) EditsResponse() bool { return len(r.response) > 0 }

// SelectBackend returns the backend of a request, "" if there is none, and the rule that selects it, "" for
// the default. Exists is called with names that depend on the request: if it returns false, no further
// rule is tried and the default applies.
func (r *Rules) SelectBackend(q *Request, exists func(string) bool) (name, rule string) {
	for _, i := range r.candidates(q) {
		u := &r.use[i]
		if !u.when.Holds(q) {
			continue
		}
		name, fixed := u.backend.Literal()
		if !fixed {
			if name = u.backend.Expand(q); !exists(name) {
				break
			}
		}
		return name, u.text
	}
	return r.defaultBackend, ""
}
