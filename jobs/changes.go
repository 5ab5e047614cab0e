package jobs

// Change is a write to the shard's replicated records; a nil value deletes the key.
type Change struct {
	Key   string
	Value []byte
}

// durableEffect is a step that must wait until a change is committed.
type durableEffect struct {
	sequence int64 // of the change
	run      func()
}

// markDirty has the next Flush write a job's record.
func (s *Scheduler) markDirty(job *Job) {
	if !job.dirty {
		job.dirty = true
		s.dirtyJobs = append(s.dirtyJobs, job)
	}
}

// onDurable defers a step until all changes up to the next Flush are committed.
func (s *Scheduler) onDurable(run func()) { s.newEffects = append(s.newEffects, run) }

// Flush passes all changes since the last call to put, which returns their sequence numbers. It returns the last of these,
// or the given one where nothing changed.
func (s *Scheduler) Flush(put func(Change) int64, last int64) (int64, error) {
	for _, change := range s.newSpecs {
		last = put(change)
	}
	s.newSpecs = s.newSpecs[:0]
	for _, job := range s.dirtyJobs {
		job.dirty = false
		value, err := job.encode()
		if err != nil {
			return last, err
		}
		last = put(Change{Key: jobPrefix + job.ID, Value: value})
	}
	s.dirtyJobs = s.dirtyJobs[:0]
	for _, key := range s.deletedKeys {
		last = put(Change{Key: key})
	}
	s.deletedKeys = s.deletedKeys[:0]
	for _, run := range s.newEffects {
		s.unconfirmedEffects = append(s.unconfirmedEffects, durableEffect{last, run})
	}
	s.newEffects = s.newEffects[:0]
	return last, nil
}

// Committed runs the steps that waited for changes up to a sequence number.
func (s *Scheduler) Committed(sequence int64) {
	n := 0
	for n < len(s.unconfirmedEffects) && s.unconfirmedEffects[n].sequence <= sequence {
		s.unconfirmedEffects[n].run()
		n++
	}
	s.unconfirmedEffects = s.unconfirmedEffects[n:]
}
