package store

import (
	"time"

	"sedgevale/internal/journal"
)

// jobExtent locates the records of a job.
type jobExtent struct {
	firstSegment  uint64 // number of the segment with the oldest record
	spansSegments bool   // an intent is in a later segment than firstSegment
}

// spanningJob is a resolved job with an intent in a later segment than its first record.
type spanningJob struct {
	job          *journal.Job
	firstSegment uint64 // number of the segment with its first record
}

// spanningJobs contains, by serial, the resolved jobs with an intent that would outlive their first records. Without a copy of
// the job, a reader would find that intent without the attempts before it and treat a resolved job as one with an unknown
// outcome. There are few such jobs, since a job must be in flight while a segment ends, and each is kept only until its first
// segment is dropped.
type spanningJobs map[uint64]spanningJob

// add adds a resolved job if it spans segments.
func (s spanningJobs) add(j *journal.Job, extent jobExtent) {
	if extent.spansSegments {
		s[j.Serial] = spanningJob{j, extent.firstSegment}
	}
}

// copies returns CarriedOver records of the jobs that begin in segment lastDropped or before it.
func (s spanningJobs) copies(now time.Time, lastDropped uint64) (records []journal.Record) {
	for _, spanning := range s {
		if spanning.firstSegment <= lastDropped {
			records = append(records, carriedOverRecord(now, spanning.job))
		}
	}
	return records
}

// carriedOverRecord returns a record with the complete history of a job.
func carriedOverRecord(now time.Time, j *journal.Job) journal.Record {
	copied := *j
	copied.Attempts = append([]journal.Attempt(nil), j.Attempts...)
	return journal.Record{Kind: journal.CarriedOver, Serial: j.Serial, At: now.UnixMicro(), CarriedJob: &copied}
}
