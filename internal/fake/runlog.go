package fake

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"sedgevale/internal/journal"
	"sedgevale/internal/journal/store"
)

// Run is a run of a job at a worker.
type Run struct {
	Job, Class, Worker string
	Received           time.Time // when the worker had received all of it
	Began, Finished    time.Time // Finished is zero until then
}

// RunLog records the runs of jobs at workers. A journal is compared with it.
// Several workers may share one.
type RunLog struct {
	mu   sync.Mutex        // guards runs
	runs map[string][]*Run // by job
}

// NewRunLog returns an empty RunLog.
func NewRunLog() *RunLog { return &RunLog{runs: map[string][]*Run{}} }

// Begin records that a worker begins a job, and when that was received.
func (l *RunLog) Begin(job, class, worker string, received time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[job] = append(l.runs[job], &Run{Job: job, Class: class, Worker: worker, Received: received, Began: time.Now()})
}

// Finish records that a worker has finished a job.
func (l *RunLog) Finish(job, worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.runs[job] {
		if r.Worker == worker && r.Finished.IsZero() {
			r.Finished = time.Now()
			return
		}
	}
}

// Runs returns the runs of a job.
func (l *RunLog) Runs(job string) (out []Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.runs[job] {
		out = append(out, *r)
	}
	return out
}

// Jobs returns the ids of the jobs that were begun, in order.
func (l *RunLog) Jobs() (out []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.runs {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// Forget drops all runs, for long tests.
func (l *RunLog) Forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.runs)
}

// Audit compares a journal with a run log and returns each violation as a text. Recorded reports which
// classes the journal keeps and single which must not run twice. It considers only jobs of the
// run log, and those of the journal for which keep returns true. Dropped says of a
// job that the journal does not have whether retention may have dropped it; nil: none was.
func Audit(l *RunLog, jobs []store.Found, recorded, single, keep, dropped func(string) bool) (breaches []string) {
	byID := map[string][]store.Found{}
	for _, j := range jobs {
		byID[j.ID] = append(byID[j.ID], j)
	}
	for _, id := range l.Jobs() {
		runs := l.Runs(id)
		if !recorded(runs[0].Class) {
			continue
		}
		if len(runs) > 1 && single(runs[0].Class) {
			breaches = append(breaches, fmt.Sprintf("job %s must not run twice and was begun %d times", id, len(runs)))
		}
		if len(byID[id]) == 0 && dropped != nil && dropped(id) {
			continue
		}
		for _, r := range runs {
			if !intended(byID[id], r.Worker) {
				breaches = append(breaches, fmt.Sprintf("worker %s began job %s, and no intent names it", r.Worker, id))
			}
		}
	}
	for id, found := range byID {
		if keep(id) {
			breaches = append(breaches, auditVerdicts(l.Runs(id), id, found)...)
		}
	}
	return breaches
}

// auditVerdicts compares a journal's verdicts on a job with its runs.
func auditVerdicts(runs []Run, id string, found []store.Found) (breaches []string) {
	finished := slices.ContainsFunc(runs, func(r Run) bool { return !r.Finished.IsZero() })
	for _, j := range found {
		switch v, reason, _ := j.Verdict(); {
		case v == journal.DidNotRun && len(found) == 1 && len(runs) > 0:
			breaches = append(breaches, fmt.Sprintf("job %s did not run (%s), but worker %s began it", id, reason, runs[0].Worker))
		case v == journal.Ran && !finished:
			breaches = append(breaches, fmt.Sprintf("job %s ran (%s), but no worker has finished it", id, reason))
		}
	}
	return breaches
}

// intended reports whether an attempt at a worker is on record.
func intended(found []store.Found, worker string) bool {
	return slices.ContainsFunc(found, func(j store.Found) bool {
		return slices.ContainsFunc(j.Attempts, func(a journal.Attempt) bool { return a.Worker == worker })
	})
}
