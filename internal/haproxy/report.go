package haproxy

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Verdict is the result of importing a directive.
type Verdict string

// The verdicts.
const (
	Carried     Verdict = "carried over"
	Differently Verdict = "carried over differently"
	NotNeeded   Verdict = "not needed"
	NotCarried  Verdict = "not carried over"
)

// Verdicts are all of them.
var Verdicts = []Verdict{Carried, Differently, NotNeeded, NotCarried}

// Entry is the verdict on one directive.
type Entry struct {
	File      string  `json:"file"`
	Line      int     `json:"line"`
	Section   string  `json:"section"`
	Directive string  `json:"directive"`
	Verdict   Verdict `json:"verdict"`
	Reason    string  `json:"reason,omitempty"`
}

func entry(d directive, section string, v Verdict, reason string) Entry {
	return Entry{d.file, d.line, section, d.String(), v, reason}
}

// String returns the entry as one line, FILE:LINE first.
func (e Entry) String() string {
	s := fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Verdict, e.Directive)
	if e.Reason != "" {
		s += " (" + e.Reason + ")"
	}
	return s
}

// Report has the verdict on each directive, in the order of the files.
type Report []Entry

// Count returns how many directives have a verdict.
func (r Report) Count(v Verdict) (n int) {
	for _, e := range r {
		if e.Verdict == v {
			n++
		}
	}
	return n
}

// Text writes the report as text: a line for each directive that needs attention, then counts.
// With all, it has a line for every directive.
func (r Report) Text(w io.Writer, all bool) error {
	var out strings.Builder
	for _, e := range r {
		if all || e.Verdict == Differently || e.Verdict == NotCarried {
			fmt.Fprintln(&out, e)
		}
	}
	fmt.Fprintf(&out, "%d directives:", len(r))
	for i, v := range Verdicts {
		if i > 0 {
			out.WriteByte(',')
		}
		fmt.Fprintf(&out, " %d %s", r.Count(v), v)
	}
	out.WriteByte('\n')
	_, err := io.WriteString(w, out.String())
	return err
}

// JSON writes a line of JSON for every directive.
func (r Report) JSON(w io.Writer) error {
	out := bufio.NewWriter(w)
	e := json.NewEncoder(out)
	for _, one := range r {
		if err := e.Encode(one); err != nil {
			return err
		}
	}
	return out.Flush()
}

// sort orders a report by file, in the order of the sources, and line.
func (r Report) sort(sources []Source) {
	at := map[string]int{}
	for i, s := range sources {
		at[s.Name] = i
	}
	slices.SortStableFunc(r, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(at[a.File], at[b.File]), cmp.Compare(a.Line, b.Line))
	})
}
