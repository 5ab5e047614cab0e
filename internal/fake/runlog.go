package fake

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"sedgevale/internal/journal"
	"sedgevale/internal/journal/store"
)

// Run is one execution of a job at a worker.
type Run struct {
	Job, Class, Worker string
	Received           time.Time // when the worker had received the complete request
	Began, Finished    time.Time // Finished is zero while the job runs
}

// RunLog records the executions of jobs at workers, independently of the schedulers, so that tests
// can compare a journal with it. Several workers may share one.
type RunLog struct {
	mu   sync.Mutex        // guards runs
	runs map[string][]*Run // by job
}

// NewRunLog returns an empty RunLog.
func NewRunLog() *RunLog { return &RunLog{runs: map[string][]*Run{}} }

// Begin records that a worker begins to execute a job that it received at the given time.
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

// Jobs returns the sorted IDs of the jobs that were begun.
func (l *RunLog) Jobs() (out []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.runs {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// Forget drops all runs, which bounds the memory of long tests.
func (l *RunLog) Forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.runs)
}

// Audit compares a journal with a run log and returns a description of each violation. Recorded
// reports whether the journal records a class, and single whether jobs of a class must run at most
// once. Audit considers all jobs of the run log, and those jobs of the journal for which keep returns
// true. Dropped reports whether retention may have removed a job that the journal lacks; nil means
// that none was removed.
func Audit(l *RunLog, jobs []store.Found, recorded, single, keep, dropped func(string) bool) (violations []string) {
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
			violations = append(violations, fmt.Sprintf("job %s must not run twice and was begun %d times", id, len(runs)))
		}
		if len(byID[id]) == 0 && dropped != nil && dropped(id) {
			continue
		}
		for _, r := range runs {
			if !hasAttemptAt(byID[id], r.Worker) {
				violations = append(violations, fmt.Sprintf("worker %s began job %s, and no intent names it", r.Worker, id))
			}
		}
	}
	for id, found := range byID {
		if keep(id) {
			violations = append(violations, auditVerdicts(l.Runs(id), id, found)...)
		}
	}
	return violations
}

// auditVerdicts returns the violations in a journal's verdicts on a job, given the job's runs.
func auditVerdicts(runs []Run, id string, found []store.Found) (violations []string) {
	finished := slices.ContainsFunc(runs, func(r Run) bool { return !r.Finished.IsZero() })
	for _, j := range found {
		switch v, reason, _ := j.Verdict(); {
		case v == journal.DidNotRun && len(found) == 1 && len(runs) > 0:
			violations = append(violations, fmt.Sprintf("job %s did not run (%s), but worker %s began it", id, reason, runs[0].Worker))
		case v == journal.Ran && !finished:
			violations = append(violations, fmt.Sprintf("job %s ran (%s), but no worker has finished it", id, reason))
		}
	}
	return violations
}

// hasAttemptAt reports whether the journal records an attempt at a worker.
func hasAttemptAt(found []store.Found, worker string) bool {
	return slices.ContainsFunc(found, func(j store.Found) bool {
		return slices.ContainsFunc(j.Attempts, func(a journal.Attempt) bool { return a.Worker == worker })
	})
}
