package faultinjection

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"sedgevale/internal/fake"
)

// Observations are the inputs of the rule checks: the responses that clients received and the run log of the workers. No part of
// them is reported by a scheduler.
type Observations struct {
	Responses []fake.Response // a job's ID begins with the name of the scheduler that it was submitted to
	RunLog    *fake.RunLog
	CellOf    map[string]int        // cell of each worker
	Timeout   time.Duration         // request timeout of the clients
	Outages   map[string][]Interval // by scheduler: when it was down, frozen or starting
	Drained   map[string][]Interval // by worker: when discovery listed it as draining
}

// Interval is a closed time interval. To is zero while the interval has not ended.
type Interval struct{ From, To time.Time }

// overlaps reports whether the interval overlaps the closed interval between two times.
func (s Interval) overlaps(from, to time.Time) bool {
	return !to.Before(s.From) && (s.To.IsZero() || !from.After(s.To))
}

// Violation describes how a request violated a rule, when, and at which worker; Worker is empty if no worker was involved.
type Violation struct {
	Rule, Request, Worker string
	At                    time.Time
	Detail                string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s: request %s, worker %q, %s: %s", v.Rule, v.Request, v.Worker, v.At.Format("15:04:05.000"), v.Detail)
}

// Tolerances beyond the rules' limits for a loaded machine.
const (
	responseSlack    = 2 * time.Second
	drainPropagation = 300 * time.Millisecond
	drainSlack       = 700 * time.Millisecond
)

// hadOutage reports whether a scheduler had an outage between two times.
func (o *Observations) hadOutage(scheduler string, from, to time.Time) bool {
	return slices.ContainsFunc(o.Outages[scheduler], func(outage Interval) bool { return outage.overlaps(from, to) })
}

// Violations returns all violations of the rules.
func (o *Observations) Violations() []Violation {
	v := &checker{observations: o, submitted: map[string]bool{}}
	for i := range o.Responses {
		v.checkResponse(&o.Responses[i])
	}
	for _, id := range o.RunLog.Jobs() {
		v.checkRuns(id, o.RunLog.Runs(id))
	}
	return v.found
}

// checker collects the violations that Violations returns.
type checker struct {
	observations *Observations
	submitted    map[string]bool // IDs of the jobs that clients submitted
	found        []Violation
}

func (v *checker) add(rule, request, worker string, at time.Time, format string, args ...any) {
	v.found = append(v.found, Violation{rule, request, worker, at, fmt.Sprintf(format, args...)})
}

// schedulerOf returns the scheduler that a job was submitted to.
func schedulerOf(job string) string {
	name, _, _ := strings.Cut(job, "-")
	return name
}

// checkResponse checks the response to a client against the runs of its job.
func (v *checker) checkResponse(response *fake.Response) {
	v.submitted[response.Job] = true
	runs := v.observations.RunLog.Runs(response.Job)
	late := response.ReceivedAt.Sub(response.SentAt) > v.observations.Timeout+responseSlack
	if (response.Status == 0 || late) && !v.observations.hadOutage(schedulerOf(response.Job), response.SentAt, response.ReceivedAt) {
		v.add("answered in time", response.Job, "", response.ReceivedAt, "status %d after %v", response.Status, response.ReceivedAt.Sub(response.SentAt))
	}
	rejected := response.Status == http.StatusTooManyRequests || response.Status == http.StatusServiceUnavailable
	if rejected && response.Class != "usage-view" && len(runs) > 0 {
		v.add("rejected job not run", response.Job, runs[0].Worker, runs[0].Began, "the job was rejected with status %d, but the worker began it", response.Status)
	}
	if response.Status == http.StatusBadRequest && len(runs) > 0 {
		v.add("invalid job not run", response.Job, runs[0].Worker, runs[0].Began, "the job was rejected as invalid, but the worker began it")
	}
	if response.Status == http.StatusOK && !slices.ContainsFunc(runs, func(r fake.Run) bool {
		return !r.Finished.IsZero() && strings.HasSuffix(response.Body, " by "+r.Worker)
	}) {
		v.add("served by a worker", response.Job, "", response.ReceivedAt, "the response was %q, but no such run finished at a worker", response.Body)
	}
}

// checkRuns checks the runs of a job, which are in the order of their starts.
func (v *checker) checkRuns(id string, runs []fake.Run) {
	if !v.submitted[id] {
		v.add("submitted", id, runs[0].Worker, runs[0].Began, "the worker began a job that no client submitted")
	}
	for i, r := range runs {
		v.checkDrains(id, r)
		switch first := runs[0]; {
		case i == 0:
		case r.Class == "plan-change":
			v.add("at most once", id, r.Worker, r.Began, "%s had already begun it", first.Worker)
		case r.Class == "bill-pay" && v.observations.CellOf[r.Worker] != v.observations.CellOf[first.Worker]:
			v.add("at most once per cell", id, r.Worker, r.Began, "%s of another cell had already begun it", first.Worker)
		}
	}
}

// checkDrains checks that a run was not sent to a draining worker.
func (v *checker) checkDrains(id string, r fake.Run) {
	for _, d := range v.observations.Drained[r.Worker] {
		late := r.Received.Sub(d.From)
		if late > drainPropagation+drainSlack && d.overlaps(r.Received, r.Received) && !v.observations.hadOutage(schedulerOf(id), d.From, r.Received) {
			v.add("not sent to a draining worker", id, r.Worker, r.Received, "received %v after discovery listed the worker as draining", late)
		}
	}
}

// Summary counts the responses to clients by outcome.
type Summary struct {
	Submitted, Served, InTime, Rejected, Failed, Unanswered int
}

// Summarize counts the responses to jobs that were submitted at or after a time. InTime counts those served within the latency target.
func Summarize(responses []fake.Response, since time.Time, latencyTarget time.Duration) (s Summary) {
	for _, response := range responses {
		if response.SentAt.Before(since) {
			continue
		}
		s.Submitted++
		switch response.Status {
		case http.StatusOK:
			s.Served++
			if response.ReceivedAt.Sub(response.SentAt) <= latencyTarget {
				s.InTime++
			}
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			s.Rejected++
		case 0:
			s.Unanswered++
		default:
			s.Failed++
		}
	}
	return s
}
