package route

import (
	"fmt"
	"slices"
	"strings"
)

// Spec is the rules of a frontend or backend, as they stand in a file: each line has the
// words of HAProxy's directive of that kind, without its first.
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
	fallback          string

	index  []index // of the use rules that ask for a certain text
	always []int   // the other ones, in order
}

// UseRule is a compiled use_backend rule: the backend, which may depend on the request, and when
// the rule counts.
type UseRule struct {
	backend *Format
	when    *Condition
	text    string
}

// index finds the use rules that can hold by a text that the request must have.
type index struct {
	f       *fetch
	fold    bool
	exact   map[string][]int
	prefix  map[string][]int
	lengths []int // of the prefixes
}

// minIndexedRules is the number of use rules from which an index pays.
const minIndexedRules = 8

// Compile reads a Spec. Each error names the line.
func Compile(s Spec, files Files) (*Rules, error) {
	lists := NewLists(files)
	out := &Rules{fallback: s.Default}
	line := func(kind string, text string, read func(words []string) error) error {
		words, err := Words(text)
		if err == nil && len(words) == 0 {
			err = fmt.Errorf("an empty line")
		}
		if err == nil {
			err = read(words)
		}
		if err != nil {
			return fmt.Errorf("%s %q: %w", kind, text, err)
		}
		return nil
	}
	for _, text := range s.ACL {
		if err := line("acl", text, func(w []string) error {
			if !nameOf.MatchString(w[0]) {
				return fmt.Errorf("%q is no name of an acl", w[0])
			}
			return lists.Add(w[0], w[1:])
		}); err != nil {
			return nil, err
		}
	}
	for _, text := range s.Request {
		if err := line("request", text, func(w []string) error {
			r, err := lists.ParseRequestRule(w)
			out.request = append(out.request, r)
			return err
		}); err != nil {
			return nil, err
		}
	}
	for _, text := range s.Response {
		if err := line("response", text, func(w []string) error {
			r, err := lists.ParseResponseRule(w)
			out.response = append(out.response, r)
			return err
		}); err != nil {
			return nil, err
		}
	}
	for _, text := range s.Use {
		if err := line("use", text, func(w []string) error {
			u, err := lists.ParseUse(w)
			out.use = append(out.use, u)
			return err
		}); err != nil {
			return nil, err
		}
	}
	out.build()
	return out, nil
}

// ParseUse reads the words of a use_backend rule: the backend, which may be a format, and
// the condition.
func (l *Lists) ParseUse(words []string) (UseRule, error) {
	f, err := ParseFormat(words[0], l.files)
	if err != nil {
		return UseRule{}, err
	}
	c, err := l.Compile(words[1:])
	return UseRule{f, c, Line(words)}, err
}

// Backends returns the names that the rules can lead to, and whether some depend on the
// request.
func (r *Rules) Backends() (names []string, open bool) {
	for _, u := range r.use {
		if s, fixed := u.backend.Fixed(); fixed {
			names = append(names, s)
		} else {
			open = true
		}
	}
	if r.fallback != "" {
		names = append(names, r.fallback)
	}
	slices.Sort(names)
	return slices.Compact(names), open
}

// build makes the index.
func (r *Rules) build() {
	if len(r.use) < minIndexedRules {
		for i := range r.use {
			r.always = append(r.always, i)
		}
		return
	}
	for i := range r.use {
		t := r.use[i].when.key()
		if t == nil {
			r.always = append(r.always, i)
			continue
		}
		at := slices.IndexFunc(r.index, func(x index) bool { return x.f.text == t.f.text && x.fold == t.fold })
		if at < 0 {
			at = len(r.index)
			r.index = append(r.index, index{f: t.f, fold: t.fold, exact: map[string][]int{}, prefix: map[string][]int{}})
		}
		x := &r.index[at]
		for _, p := range t.patterns {
			if t.fold {
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

// key returns a test that must hold for the condition to hold, and that an index can
// answer, or nil.
func (c *Condition) key() *test {
	if c.unless || len(c.any) != 1 {
		return nil
	}
	for i := range c.any[0] {
		if t := &c.any[0][i]; !t.not && len(t.tests) == 1 && t.tests[0].indexable != "" {
			return t.tests[0]
		}
	}
	return nil
}

// candidates returns the use rules that can hold, in order.
func (r *Rules) candidates(q *Request) []int {
	if len(r.index) == 0 {
		return r.always
	}
	out := slices.Clone(r.always)
	for k := range r.index {
		x := &r.index[k]
		for _, s := range x.f.samples(q) {
			if x.fold {
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

// Request carries out the rules on a request, which may answer it.
func (r *Rules) Request(q *Request) *Answer { return Apply(r.request, q) }

// Response carries out the rules on the response in q.
func (r *Rules) Response(q *Request) *Answer { return Apply(r.response, q) }

// EditsResponse reports whether there are rules on responses.
func (r *Rules) EditsResponse() bool { return len(r.response) > 0 }

// Backend returns where a request goes, "" if nowhere, and the rule that says so, "" for
// the default. Exists is asked of names that depend on the request: one that does not
// exist ends the matter, and the default counts.
func (r *Rules) Backend(q *Request, exists func(string) bool) (name, rule string) {
	for _, i := range r.candidates(q) {
		u := &r.use[i]
		if !u.when.Holds(q) {
			continue
		}
		name, fixed := u.backend.Fixed()
		if !fixed {
			if name = u.backend.Of(q); !exists(name) {
				break
			}
		}
		return name, u.text
	}
	return r.fallback, ""
}
