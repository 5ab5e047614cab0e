package store

import (
	"time"

	"sedgevale/internal/journal"
)

// extent is where the records of a job are.
type extent struct {
	first     uint64 // the segment with the oldest of them
	straddles bool   // an intent is in a later segment
}

// straddledJob is a resolved job of which an intent is in a later segment than its first record.
type straddledJob struct {
	job   *journal.Job
	first uint64 // the segment with its first record
}

// straddledJobs are the resolved jobs, by serial, of which an intent would outlive its first records: without a copy a reader
// would meet that intent, miss the attempts before it, and take a job that is resolved for one of unknown outcome. They are few,
// since a job has to be in flight while a segment ends, and each is kept until its first segment is dropped.
type straddledJobs map[uint64]straddledJob

// keep takes a job that is resolved, if it straddles segments.
func (s straddledJobs) keep(j *journal.Job, where extent) {
	if where.straddles {
		s[j.Serial] = straddledJob{j, where.first}
	}
}

// copies returns copies of the jobs that begin in the segment lastDropped or before it.
func (s straddledJobs) copies(now time.Time, lastDropped uint64) (records []journal.Record) {
	for _, kept := range s {
		if kept.first <= lastDropped {
			records = append(records, carriedOver(now, kept.job))
		}
	}
	return records
}

// carriedOver returns a record with a job's complete history.
func carriedOver(now time.Time, j *journal.Job) journal.Record {
	copied := *j
	copied.Attempts = append([]journal.Attempt(nil), j.Attempts...)
	return journal.Record{Kind: journal.CarriedOver, Serial: j.Serial, At: now.UnixMicro(), CarriedJob: &copied}
}
