package route

import (
	"fmt"
	"slices"
	"strings"
)

// Spec holds the rules of a frontend or backend as written in the operator's file. Each line has the
// arguments of the corresponding HAProxy directive.
type Spec struct {
	ACL      []string `toml:"acl,omitempty"`      // NAME TEST
	Request  []string `toml:"request,omitempty"`  // http-request rules
	Response []string `toml:"response,omitempty"` // http-response rules
	Use      []string `toml:"use,omitempty"`      // BACKEND if CONDITION; frontends only
	Default  string   `toml:"default,omitempty"`  // backend; frontends only
}

// Rules is a compiled Spec. It is safe for concurrent use.
type Rules struct {
	request, response []*Rule
	use               []UseRule
	defaultBackend    string

	indexes   []useIndex // indexes of use rules, one per fetch and case sensitivity
	unindexed []int      // positions of the use rules in no index, ascending
}

// UseRule is a compiled use_backend rule: a backend, whose name may depend on the request, and a condition.
type UseRule struct {
	backend *Format
	when    *Condition
	text    string
}

// useIndex maps the samples of a fetch to the positions of the use rules that can hold for them.
type useIndex struct {
	fetch      *fetch
	ignoreCase bool
	exact      map[string][]int
	prefix     map[string][]int
	lengths    []int // distinct lengths of the prefixes
}

// minIndexedUseRules is the number of use rules from which building indexes pays off.
const minIndexedUseRules = 8

// Compile compiles a Spec. Errors quote the faulty line.
func Compile(s Spec, files Files) (*Rules, error) {
	acls := NewACLSet(files)
	if _, err := compileLines("acl", s.ACL, func(w []string) (struct{}, error) {
		if !aclNamePattern.MatchString(w[0]) {
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
	if out.use, err = compileLines("use", s.Use, acls.ParseUseRule); err != nil {
		return nil, err
	}
	out.buildIndex()
	return out, nil
}

// compileLines compiles the lines of one kind. Errors state the kind and quote the line.
func compileLines[T any](kind string, lines []string, compile func(words []string) (T, error)) (all []T, err error) {
	for _, text := range lines {
		words, err := SplitWords(text)
		if err == nil && len(words) == 0 {
			err = fmt.Errorf("an empty line")
		}
		var compiled T
		if err == nil {
			compiled, err = compile(words)
		}
		if err != nil {
			return nil, fmt.Errorf("%s %q: %w", kind, text, err)
		}
		all = append(all, compiled)
	}
	return all, nil
}

// ParseUseRule parses the words of a use_backend rule: a format for the name of the backend and a condition.
func (l *ACLSet) ParseUseRule(words []string) (UseRule, error) {
	f, err := ParseFormat(words[0], l.files)
	if err != nil {
		return UseRule{}, err
	}
	c, err := l.CompileCondition(words[1:])
	return UseRule{f, c, JoinWords(words)}, err
}

// Backends returns the sorted names of the backends that the rules select by a literal name, and whether
// there are rules whose backend depends on the request.
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

// buildIndex assigns each use rule to an index or to the unindexed rules.
func (r *Rules) buildIndex() {
	if len(r.use) < minIndexedUseRules {
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
		at := slices.IndexFunc(r.indexes, func(x useIndex) bool { return x.fetch.text == t.fetch.text && x.ignoreCase == t.ignoreCase })
		if at < 0 {
			at = len(r.indexes)
			r.indexes = append(r.indexes, useIndex{fetch: t.fetch, ignoreCase: t.ignoreCase, exact: map[string][]int{}, prefix: map[string][]int{}})
		}
		x := &r.indexes[at]
		for _, p := range t.patterns {
			if t.ignoreCase {
				p = strings.ToLower(p)
			}
			if t.indexMethod == "str" {
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

// indexKey returns an indexable test that must hold for the condition to hold, or nil if there is none.
func (c *Condition) indexKey() *test {
	if c.unless || len(c.alternatives) != 1 {
		return nil
	}
	for i := range c.alternatives[0] {
		if t := &c.alternatives[0][i]; !t.negated && len(t.tests) == 1 && t.tests[0].indexMethod != "" {
			return t.tests[0]
		}
	}
	return nil
}

// useCandidates returns the positions of the use rules that can hold for a request, ascending.
func (r *Rules) useCandidates(q *Request) []int {
	if len(r.indexes) == 0 {
		return r.unindexed
	}
	out := slices.Clone(r.unindexed)
	for k := range r.indexes {
		x := &r.indexes[k]
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

// ApplyRequest applies the request rules. A non-nil Answer is the response to the request.
func (r *Rules) ApplyRequest(q *Request) *Answer { return Apply(r.request, q) }

// ApplyResponse applies the response rules to the response in q. A non-nil Answer replaces that response.
func (r *Rules) ApplyResponse(q *Request) *Answer { return Apply(r.response, q) }

// EditsResponse reports whether there are response rules.
func (r *Rules) EditsResponse() bool { return len(r.response) > 0 }

// SelectBackend returns the backend for a request, "" if there is none, and the rule that selects it, "" for
// the default. It calls exists with each backend name that depends on the request. If exists returns false,
// no further rule is evaluated and the default backend applies.
func (r *Rules) SelectBackend(q *Request, exists func(string) bool) (name, rule string) {
	for _, i := range r.useCandidates(q) {
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
