package faultinjection

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"sedgevale/internal/fake"
)

// Observations is what the rules are checked against: the answers to clients and the run log of the workers. Nothing of it comes from a
// scheduler.
type Observations struct {
	Answers []fake.Response // to clients; a job's id begins with the name of the scheduler that it was submitted to
	RunLog  *fake.RunLog
	CellOf  map[string]int        // of workers
	Timeout time.Duration         // of clients
	Outages map[string][]Interval // of schedulers that are down, frozen or being started
	Drained map[string][]Interval // of workers that discovery says are draining
}

// Interval is a span of time. To is zero while it has not ended.
type Interval struct{ From, To time.Time }

// overlaps reports whether it has a moment in common with the span between two moments.
func (s Interval) overlaps(from, to time.Time) bool {
	return !to.Before(s.From) && (s.To.IsZero() || !from.After(s.To))
}

// Violation is the violation of a rule by a request, at a worker (empty: none), at a time.
type Violation struct {
	Rule, Request, Worker string
	At                    time.Time
	What                  string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s: request %s, worker %q, %s: %s", v.Rule, v.Request, v.Worker, v.At.Format("15:04:05.000"), v.What)
}

// Times that a loaded machine is given beyond those of the rules.
const (
	answerSlack      = 2 * time.Second
	drainPropagation = 300 * time.Millisecond
	drainSlack       = 700 * time.Millisecond
)

// hadOutage reports whether a scheduler had an outage between two moments.
func (o *Observations) hadOutage(scheduler string, from, to time.Time) bool {
	return slices.ContainsFunc(o.Outages[scheduler], func(outage Interval) bool { return outage.overlaps(from, to) })
}

// Violations returns all violations of the rules.
func (o *Observations) Violations() []Violation {
	v := &violations{observations: o, submitted: map[string]bool{}}
	for i := range o.Answers {
		v.checkAnswer(&o.Answers[i])
	}
	for _, id := range o.RunLog.Jobs() {
		v.checkRuns(id, o.RunLog.Runs(id))
	}
	return v.found
}

// violations collects what Violations finds.
type violations struct {
	observations *Observations
	submitted    map[string]bool // by job
	found        []Violation
}

func (v *violations) add(rule, request, worker string, at time.Time, what string, args ...any) {
	v.found = append(v.found, Violation{rule, request, worker, at, fmt.Sprintf(what, args...)})
}

// schedulerOf returns the scheduler that a job was submitted to.
func schedulerOf(job string) string {
	name, _, _ := strings.Cut(job, "-")
	return name
}

// checkAnswer checks the answer to a client against the runs of its job.
func (v *violations) checkAnswer(t *fake.Response) {
	v.submitted[t.Job] = true
	runs := v.observations.RunLog.Runs(t.Job)
	late := t.ReceivedAt.Sub(t.SentAt) > v.observations.Timeout+answerSlack
	if (t.Status == 0 || late) && !v.observations.hadOutage(schedulerOf(t.Job), t.SentAt, t.ReceivedAt) {
		v.add("one answer in time", t.Job, "", t.ReceivedAt, "status %d after %v", t.Status, t.ReceivedAt.Sub(t.SentAt))
	}
	rejected := t.Status == http.StatusTooManyRequests || t.Status == http.StatusServiceUnavailable
	if rejected && t.Class != "usage-view" && len(runs) > 0 {
		v.add("a rejection is harmless", t.Job, runs[0].Worker, runs[0].Began, "rejected with %d, and begun there", t.Status)
	}
	if t.Status == http.StatusBadRequest && len(runs) > 0 {
		v.add("no job is begun", t.Job, runs[0].Worker, runs[0].Began, "rejected as no job, and begun there")
	}
	if t.Status == http.StatusOK && !slices.ContainsFunc(runs, func(r fake.Run) bool {
		return !r.Finished.IsZero() && strings.HasSuffix(t.Body, " by "+r.Worker)
	}) {
		v.add("served by a worker", t.Job, "", t.ReceivedAt, "answered %q, which no worker has finished", t.Body)
	}
}

// checkRuns checks the runs of a job, the earliest first.
func (v *violations) checkRuns(id string, runs []fake.Run) {
	if !v.submitted[id] {
		v.add("submitted", id, runs[0].Worker, runs[0].Began, "begun, and no client has submitted it")
	}
	for i, r := range runs {
		v.checkDrains(id, r)
		switch first := runs[0]; {
		case i == 0:
		case r.Class == "plan-change":
			v.add("once", id, r.Worker, r.Began, "begun before at %s", first.Worker)
		case r.Class == "bill-pay" && v.observations.CellOf[r.Worker] != v.observations.CellOf[first.Worker]:
			v.add("once per cell", id, r.Worker, r.Began, "begun before at %s, of another cell", first.Worker)
		}
	}
}

// checkDrains checks that a run was not sent to a worker that drains.
func (v *violations) checkDrains(id string, r fake.Run) {
	for _, d := range v.observations.Drained[r.Worker] {
		late := r.Received.Sub(d.From)
		if late > drainPropagation+drainSlack && d.overlaps(r.Received, r.Received) && !v.observations.hadOutage(schedulerOf(id), d.From, r.Received) {
			v.add("drains observed", id, r.Worker, r.Received, "received %v after discovery said that the worker drains", late)
		}
	}
}

// Summary counts the answers to clients.
type Summary struct {
	Submitted, Served, InTime, Refused, Failed, Unanswered int
}

// Summarize counts the answers to jobs that were submitted at or after a moment; InTime are those that were served within a time.
func Summarize(answers []fake.Response, since time.Time, within time.Duration) (s Summary) {
	for _, t := range answers {
		if t.SentAt.Before(since) {
			continue
		}
		s.Submitted++
		switch t.Status {
		case http.StatusOK:
			s.Served++
			if t.ReceivedAt.Sub(t.SentAt) <= within {
				s.InTime++
			}
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			s.Refused++
		case 0:
			s.Unanswered++
		default:
			s.Failed++
		}
	}
	return s
}
