package faultinjection

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"sedgevale/internal/fake"
)

// Evidence is all that the referee looks at. Nothing of it comes from a scheduler.
type Evidence struct {
	Told    []fake.Told // what clients were told; a job's id begins with the name of the scheduler that was asked
	Ledger  *fake.Ledger
	Cells   map[string]int    // of boxes
	Timeout time.Duration     // as clients tell it
	Outages map[string][]Span // of schedulers: down, frozen or being started
	Drained map[string][]Span // of boxes: all schedulers have been told that they leave
}

// Span is a time. To is zero while it lasts.
type Span struct{ From, To time.Time }

func (s Span) meets(from, to time.Time) bool {
	return !to.Before(s.From) && (s.To.IsZero() || !from.After(s.To))
}

// Breach is a rule that was broken: by which request, at which box (or none), when.
type Breach struct {
	Rule, Request, Box string
	At                 time.Time
	What               string
}

func (b Breach) String() string {
	return fmt.Sprintf("%s: request %s, box %q, %s: %s", b.Rule, b.Request, b.Box, b.At.Format("15:04:05.000"), b.What)
}

// The slack that a loaded machine is given beyond the rules' own figures.
const (
	answerSlack = 2 * time.Second
	drainFor    = 300 * time.Millisecond
	drainSlack  = 700 * time.Millisecond
)

// outage returns whether a scheduler was out at some time between two.
func (e *Evidence) outage(scheduler string, from, to time.Time) bool {
	return slices.ContainsFunc(e.Outages[scheduler], func(o Span) bool { return o.meets(from, to) })
}

// Judge returns every breach of the rules that the evidence shows.
func (e *Evidence) Judge() (breaches []Breach) {
	add := func(rule, request, box string, at time.Time, what string, args ...any) {
		breaches = append(breaches, Breach{rule, request, box, at, fmt.Sprintf(what, args...)})
	}
	asked := map[string]bool{}
	for _, t := range e.Told {
		asked[t.Job] = true
		scheduler, _, _ := strings.Cut(t.Job, "-")
		runs := e.Ledger.Runs(t.Job)
		late := t.At.Sub(t.Asked) > e.Timeout+answerSlack
		if (t.Status == 0 || late) && !e.outage(scheduler, t.Asked, t.At) {
			add("one answer in time", t.Job, "", t.At, "status %d after %v", t.Status, t.At.Sub(t.Asked))
		}
		if refused := t.Status == http.StatusTooManyRequests || t.Status == http.StatusServiceUnavailable; refused &&
			t.Class != "usage-view" && len(runs) > 0 {
			add("a refusal is harmless", t.Job, runs[0].Box, runs[0].Began, "refused with %d, and begun there", t.Status)
		}
		if t.Status == http.StatusBadRequest && len(runs) > 0 {
			add("no job is begun", t.Job, runs[0].Box, runs[0].Began, "told that it is no job, and begun there")
		}
		if t.Status == http.StatusOK && !slices.ContainsFunc(runs, func(r fake.Run) bool {
			return !r.Finished.IsZero() && strings.HasSuffix(t.Body, " by "+r.Box)
		}) {
			add("served by a box", t.Job, "", t.At, "answered %q, which no box has finished", t.Body)
		}
	}
	for _, id := range e.Ledger.Jobs() {
		runs := e.Ledger.Runs(id)
		if !asked[id] {
			add("asked for", id, runs[0].Box, runs[0].Began, "begun, and no client has asked")
		}
		for i, r := range runs {
			scheduler, _, _ := strings.Cut(id, "-")
			for _, d := range e.Drained[r.Box] {
				late := r.Came.Sub(d.From)
				if late > drainFor+drainSlack && d.meets(r.Came, r.Came) && !e.outage(scheduler, d.From, r.Came) {
					add("drains kept", id, r.Box, r.Came, "came %v after all were told that the box leaves", late)
				}
			}
			if i == 0 {
				continue
			}
			switch {
			case r.Class == "plan-change":
				add("once", id, r.Box, r.Began, "begun before at %s", runs[0].Box)
			case r.Class == "bill-pay" && e.Cells[r.Box] != e.Cells[runs[0].Box]:
				add("once a shelf", id, r.Box, r.Began, "begun before at %s, of another cell", runs[0].Box)
			}
		}
	}
	return breaches
}

// Summary counts what clients were told.
type Summary struct {
	Asked, Served, InTime, Refused, Failed, Silent int
}

// Summarize counts the answers to what was asked at or after a moment; InTime are those served within a time.
func Summarize(told []fake.Told, since time.Time, within time.Duration) (s Summary) {
	for _, t := range told {
		if t.Asked.Before(since) {
			continue
		}
		s.Asked++
		switch t.Status {
		case http.StatusOK:
			s.Served++
			if t.At.Sub(t.Asked) <= within {
				s.InTime++
			}
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			s.Refused++
		case 0:
			s.Silent++
		default:
			s.Failed++
		}
	}
	return s
}
