package journal

import (
	"errors"
	"fmt"
)

// ErrUnknownJob is returned for a record of a job that a JobTable has removed, or never had.
var ErrUnknownJob = errors.New("journal: record of an unknown job")

// JobTable is the jobs of a journal, built by replaying its records in their order.
type JobTable struct {
	Jobs           map[uint64]*Job // by serial
	HighestSerial  uint64          // the highest that any record has
	PrunedThrough  uint64          // retention has dropped the records up to this sequence number
	MissingRecords uint64          // records that are known to be lost
	Inconsistent   int             // records that contradict the ones before them

	incomplete bool // records before this point are missing: retention dropped them, they were lost, or they are damaged
}

// NewJobTable returns an empty JobTable.
func NewJobTable() *JobTable { return &JobTable{Jobs: map[uint64]*Job{}} }

// Apply replays a record and returns the job that it is about, or nil. A record that contradicts the ones before it is
// counted in Inconsistent and returned as an error, and its job is marked as one of which records may be missing. The
// error is ErrUnknownJob where the job is not in the table.
func (t *JobTable) Apply(r *Record) (*Job, error) {
	t.HighestSerial = max(t.HighestSerial, r.Serial)
	switch r.Kind {
	case Accepted:
		if known := t.Jobs[r.Serial]; known != nil {
			return t.recordInconsistency(known, errAcceptedTwice)
		}
		j := &Job{Serial: r.Serial, ID: r.JobID, Class: r.Class, Tenant: r.Tenant, Target: r.Target, Size: r.Size,
			Digest: r.Digest, AcceptedAt: r.At}
		t.Jobs[r.Serial] = j
		return j, nil
	case CarriedOver:
		j := *r.CarriedJob
		j.Attempts = append([]Attempt(nil), r.CarriedJob.Attempts...)
		t.Jobs[j.Serial] = &j
		t.HighestSerial = max(t.HighestSerial, j.Serial)
		return &j, nil
	case Pruned:
		t.PrunedThrough = max(t.PrunedThrough, r.Count)
		return nil, nil
	case RecordsLost:
		t.MissingRecords += r.Count
		t.MarkMissingRecords()
		return nil, nil
	case CleanShutdown:
		return nil, nil
	}
	return t.applyToJob(r)
}

// applyToJob replays a record about a job that was accepted before.
func (t *JobTable) applyToJob(r *Record) (*Job, error) {
	j := t.Jobs[r.Serial]
	if j == nil {
		if r.Kind != Intent {
			return nil, ErrUnknownJob
		}
		return t.beginWithIntent(r)
	}
	if err := j.Apply(r); err != nil {
		return t.recordInconsistency(j, err)
	}
	return j, nil
}

// beginWithIntent takes up a job whose acceptance is not on record; an intent has enough to go on without it. Where records
// before it are missing, the first intent may be one of a later attempt: the earlier ones were in the same gap, and a CarriedOver
// record that follows has all of them.
func (t *JobTable) beginWithIntent(r *Record) (*Job, error) {
	attemptsMissing := r.Attempt > 0
	j := &Job{Serial: r.Serial, ID: r.JobID, RecordsMissing: attemptsMissing || !t.incomplete}
	t.Jobs[r.Serial] = j
	if err := j.Apply(r); err != nil {
		return t.recordInconsistency(j, err)
	}
	if attemptsMissing && !t.incomplete {
		return t.recordInconsistency(j, intentOutOfOrder(r.Attempt, 0))
	}
	return j, nil
}

func (t *JobTable) recordInconsistency(j *Job, err error) (*Job, error) {
	t.Inconsistent++
	j.RecordsMissing = true
	return j, fmt.Errorf("job %s: %w", j.ID, err)
}

// MarkMissingRecords notes that records are missing at this point, which may be the journal's beginning: each open job may lack
// some, and jobs that follow may have begun among them.
func (t *JobTable) MarkMissingRecords() {
	t.incomplete = true
	for _, j := range t.Jobs {
		if j.Open() {
			j.RecordsMissing = true
		}
	}
}

// EndProcess notes that the process that wrote the records so far has ended, so that no job is open any more. It returns
// the number of jobs that were open, by the verdict that they have now.
func (t *JobTable) EndProcess() (counts [Unknown + 1]int) {
	for _, j := range t.Jobs {
		if j.Open() {
			j.Orphaned = true
			v, _, _ := j.Verdict()
			counts[v]++
		}
	}
	return counts
}

// Remove drops a job.
func (t *JobTable) Remove(serial uint64) { delete(t.Jobs, serial) }
