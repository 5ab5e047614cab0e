package journal

import (
	"errors"
	"fmt"
)

// ErrUnknownJob is returned for a record of a job that a Book has dropped, or never had.
var ErrUnknownJob = errors.New("a record of a job that is not known")

// Book is the jobs of a journal, built from its records in their order.
type Book struct {
	Jobs   map[uint64]*Job
	Last   uint64 // the highest serial seen
	Pruned uint64 // records up to this one were dropped
	Gaps   uint64 // records known to be missing
	Odd    int    // records that could not follow on what there was
}

// NewBook returns an empty Book.
func NewBook() *Book { return &Book{Jobs: map[uint64]*Job{}} }

// Apply takes a record in and returns the job that it tells of, if it tells of one. A
// record that does not fit is counted in Odd and reported, and the job is marked as
// one of which records may be missing.
func (b *Book) Apply(r *Record) (*Job, error) {
	b.Last = max(b.Last, r.Serial)
	switch r.Kind {
	case Taken:
		if old := b.Jobs[r.Serial]; old != nil {
			return b.odd(old, "a job is taken twice")
		}
		j := &Job{Serial: r.Serial, ID: r.Job, Class: r.Class, Tenant: r.Tenant, Target: r.Target, Size: r.Size,
			Digest: r.Digest, TakenAt: r.At}
		b.Jobs[r.Serial] = j
		return j, nil
	case Kept:
		j := *r.Whole
		j.Attempts = append([]Attempt(nil), r.Whole.Attempts...)
		b.Jobs[j.Serial] = &j
		b.Last = max(b.Last, j.Serial)
		return &j, nil
	case Pruned:
		b.Pruned = max(b.Pruned, r.Count)
		return nil, nil
	case Gap:
		b.Gaps += r.Count
		b.MarkGap()
		return nil, nil
	case Closed:
		return nil, nil
	}
	j := b.Jobs[r.Serial]
	if j == nil {
		if r.Kind != Intent { // of a job that is done and dropped, or whose taking is missing
			return nil, ErrUnknownJob
		}
		j = &Job{Serial: r.Serial, ID: r.Job, Gap: true}
		b.Jobs[r.Serial] = j
	}
	if err := j.Apply(r); err != nil {
		return b.odd(j, err.Error())
	}
	return j, nil
}

func (b *Book) odd(j *Job, text string) (*Job, error) {
	b.Odd++
	j.Gap = true
	return j, fmt.Errorf("job %s: %s", j.ID, text)
}

// MarkGap notes that records are missing here, of which any open job may lack some.
func (b *Book) MarkGap() {
	for _, j := range b.Jobs {
		if j.Open() {
			j.Gap = true
		}
	}
}

// Died notes that the process whose records came so far is gone: no job is open any
// more. It returns how those that were open stand now, by verdict.
func (b *Book) Died() (counts [Unknown + 1]int) {
	for _, j := range b.Jobs {
		if j.Open() {
			j.Broken = true
			v, _, _ := j.Verdict()
			counts[v]++
		}
	}
	return counts
}

// Drop forgets a job.
func (b *Book) Drop(serial uint64) { delete(b.Jobs, serial) }
