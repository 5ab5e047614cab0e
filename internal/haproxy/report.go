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

// Verdict classifies how a directive was imported.
type Verdict string

// The verdicts on a directive.
const (
	Carried            Verdict = "carried over"
	CarriedDifferently Verdict = "carried over differently"
	NotNeeded          Verdict = "not needed"
	NotCarried         Verdict = "not carried over"
)

// Verdicts lists all verdicts in the order in which reports print their counts.
var Verdicts = []Verdict{Carried, CarriedDifferently, NotNeeded, NotCarried}

// Entry is the report entry of one directive.
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

// String formats the entry as one line that starts with FILE:LINE.
func (e Entry) String() string {
	s := fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Verdict, e.Directive)
	if e.Reason != "" {
		s += " (" + e.Reason + ")"
	}
	return s
}

// Report has one entry per directive, ordered by file and line.
type Report []Entry

// Count returns the number of entries with the given verdict.
func (r Report) Count(v Verdict) (n int) {
	for _, e := range r {
		if e.Verdict == v {
			n++
		}
	}
	return n
}

// Text writes the report as text, one line per entry, followed by the counts. Unless all is set, it omits
// the entries that need no attention.
func (r Report) Text(w io.Writer, all bool) error {
	var out strings.Builder
	for _, e := range r {
		if all || e.Verdict == CarriedDifferently || e.Verdict == NotCarried {
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

// JSON writes the report as JSON, one entry per line.
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

// sort sorts the entries by the order of their files in sources and by line.
func (r Report) sort(sources []Source) {
	at := map[string]int{}
	for i, s := range sources {
		at[s.Name] = i
	}
	slices.SortStableFunc(r, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(at[a.File], at[b.File]), cmp.Compare(a.Line, b.Line))
	})
}
