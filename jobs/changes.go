package jobs

// Change is a write to the shard's replicated records. A nil Value deletes the key.
type Change struct {
	Key   string
	Value []byte
}

// commitCallback is a function to call after a change is committed.
type commitCallback struct {
	sequence int64 // sequence number of the change
	run      func()
}

// markDirty marks a job's records to be written by the next Flush.
func (s *Scheduler) markDirty(job *Job) {
	if !job.dirty {
		job.dirty = true
		s.dirtyJobs = append(s.dirtyJobs, job)
	}
}

// onDurable registers a function to call after all changes up to and including the next Flush are committed.
func (s *Scheduler) onDurable(run func()) { s.newCallbacks = append(s.newCallbacks, run) }

// Flush passes all changes since the last Flush to put, which returns the sequence number of each change. Flush returns the
// sequence number of the last change, or the argument last if there was none.
func (s *Scheduler) Flush(put func(Change) int64, last int64) (int64, error) {
	for _, change := range s.newRecords {
		last = put(change)
	}
	s.newRecords = s.newRecords[:0]
	for _, job := range s.dirtyJobs {
		job.dirty = false
		changes, err := job.changedRecords()
		if err != nil {
			return last, err
		}
		for _, change := range changes {
			last = put(change)
		}
	}
	s.dirtyJobs = s.dirtyJobs[:0]
	for _, key := range s.deletedKeys {
		last = put(Change{Key: key})
	}
	s.deletedKeys = s.deletedKeys[:0]
	for _, run := range s.newCallbacks {
		s.uncommittedCallbacks = append(s.uncommittedCallbacks, commitCallback{last, run})
	}
	s.newCallbacks = s.newCallbacks[:0]
	return last, nil
}

// OnCommitted calls the functions that waited for the commit of changes up to a sequence number.
func (s *Scheduler) OnCommitted(sequence int64) {
	n := 0
	for n < len(s.uncommittedCallbacks) && s.uncommittedCallbacks[n].sequence <= sequence {
		s.uncommittedCallbacks[n].run()
		n++
	}
	s.uncommittedCallbacks = s.uncommittedCallbacks[n:]
}
