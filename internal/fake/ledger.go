package fake

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"sedgevale/internal/journal"
	"sedgevale/internal/journal/store"
)

// Run is one beginning of a job at a box.
type Run struct {
	Job, Class, Box string
	Came            time.Time // when the box had the whole of it
	Began, Finished time.Time // Finished is zero until then
}

// Ledger is what boxes say of themselves. It is the truth that a journal is held
// against. Several boxes may share one.
type Ledger struct {
	mu   sync.Mutex
	runs map[string][]*Run // by job
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger { return &Ledger{runs: map[string][]*Run{}} }

// Begin notes that a box begins a job that came then.
func (l *Ledger) Begin(job, class, box string, came time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[job] = append(l.runs[job], &Run{Job: job, Class: class, Box: box, Came: came, Began: time.Now()})
}

// Finish notes that a box has finished a job.
func (l *Ledger) Finish(job, box string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.runs[job] {
		if r.Box == box && r.Finished.IsZero() {
			r.Finished = time.Now()
			return
		}
	}
}

// Runs returns what was begun of a job.
func (l *Ledger) Runs(job string) (out []Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.runs[job] {
		out = append(out, *r)
	}
	return out
}

// Jobs returns the jobs that were begun.
func (l *Ledger) Jobs() (out []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.runs {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// Forget drops all, for long runs.
func (l *Ledger) Forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.runs)
}

// Audit holds a journal against a ledger and returns each breach in words. Recorded says
// which classes the journal keeps and single which must not run twice. It looks only at
// jobs that the ledger has, and at those of the journal that keep returns true for.
// Dropped says of a job that the journal does not have whether retention may have
// dropped it; nil: none was.
func Audit(l *Ledger, jobs []store.Found, recorded, single, keep, dropped func(string) bool) (breaches []string) {
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
			if !intended(byID[id], r.Box) {
				breaches = append(breaches, fmt.Sprintf("box %s began job %s, and no intent names it", r.Box, id))
			}
		}
	}
	for id, found := range byID {
		if !keep(id) {
			continue
		}
		runs := l.Runs(id)
		finished := slices.ContainsFunc(runs, func(r Run) bool { return !r.Finished.IsZero() })
		for _, j := range found {
			switch v, reason, _ := j.Verdict(); {
			case v == journal.DidNotRun && len(found) == 1 && len(runs) > 0:
				breaches = append(breaches, fmt.Sprintf("job %s did not run (%s), but box %s began it", id, reason, runs[0].Box))
			case v == journal.Ran && !finished:
				breaches = append(breaches, fmt.Sprintf("job %s ran (%s), but no box has finished it", id, reason))
			}
		}
	}
	return breaches
}

func intended(found []store.Found, box string) bool {
	return slices.ContainsFunc(found, func(j store.Found) bool {
		return slices.ContainsFunc(j.Attempts, func(a journal.Attempt) bool { return a.Worker == box })
	})
}
