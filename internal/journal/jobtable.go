package journal

import (
	"errors"
	"fmt"
)

// ErrUnknownJob is returned for a record of a job that a JobTable has removed or never contained.
var ErrUnknownJob = errors.New("journal: record of an unknown job")

// JobTable contains the jobs of a journal. It is built by replaying the records in order.
type JobTable struct {
	Jobs           map[uint64]*Job // keyed by serial
	HighestSerial  uint64          // highest serial of any record
	PrunedThrough  uint64          // last sequence number that retention has dropped
	MissingRecords uint64          // number of records known to be lost
	Inconsistent   int             // number of records that contradict earlier ones

	incomplete bool // records before the current one are missing: dropped by retention, lost or damaged
}

// NewJobTable returns an empty JobTable.
func NewJobTable() *JobTable { return &JobTable{Jobs: map[uint64]*Job{}} }

// Apply replays a record and returns the job that it belongs to, or nil. A record that contradicts the records before it is
// counted in Inconsistent and returned as an error, and its job is marked with RecordsMissing. The error is ErrUnknownJob if
// the job is not in the table.
func (t *JobTable) Apply(r *Record) (*Job, error) {
	t.HighestSerial = max(t.HighestSerial, r.Serial)
	switch r.Kind {
	case Accepted:
		if known := t.Jobs[r.Serial]; known != nil {
			return t.markInconsistent(known, errAcceptedTwice)
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

// applyToJob replays a record of a job that was accepted earlier.
func (t *JobTable) applyToJob(r *Record) (*Job, error) {
	j := t.Jobs[r.Serial]
	if j == nil {
		if r.Kind != Intent {
			return nil, ErrUnknownJob
		}
		return t.addJobFromIntent(r)
	}
	if err := j.Apply(r); err != nil {
		return t.markInconsistent(j, err)
	}
	return j, nil
}

// addJobFromIntent adds a job whose acceptance is not recorded, since an intent identifies the job sufficiently. If earlier
// records are missing, the first recorded intent may belong to a later attempt: the intents of the earlier attempts are missing
// too, and a CarriedOver record that follows contains all of them.
func (t *JobTable) addJobFromIntent(r *Record) (*Job, error) {
	attemptsMissing := r.Attempt > 0
	j := &Job{Serial: r.Serial, ID: r.JobID, RecordsMissing: attemptsMissing || !t.incomplete}
	t.Jobs[r.Serial] = j
	if err := j.Apply(r); err != nil {
		return t.markInconsistent(j, err)
	}
	if attemptsMissing && !t.incomplete {
		return t.markInconsistent(j, intentOutOfOrderError(r.Attempt, 0))
	}
	return j, nil
}

func (t *JobTable) markInconsistent(j *Job, err error) (*Job, error) {
	t.Inconsistent++
	j.RecordsMissing = true
	return j, fmt.Errorf("job %s: %w", j.ID, err)
}

// MarkMissingRecords marks that records are missing at the current position, which may be the start of the journal. Records of
// each open job may be among them, and so may the acceptances of jobs that follow.
func (t *JobTable) MarkMissingRecords() {
	t.incomplete = true
	for _, j := range t.Jobs {
		if j.Open() {
			j.RecordsMissing = true
		}
	}
}

// EndProcess marks all open jobs as orphaned, since the process that wrote the records so far has ended. It returns the number
// of these jobs by their verdict.
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

// Remove removes a job from the table.
func (t *JobTable) Remove(serial uint64) { delete(t.Jobs, serial) }
