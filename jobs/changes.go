package jobs

// Change is a record to store; a nil value drops the key.
type Change struct {
	Key   string
	Value []byte
}

// durableEffect is what may happen once a change is durable.
type durableEffect struct {
	sequence int64
	run      func()
}

// markDirty notes that a job's record has changed.
func (s *Book) markDirty(job *Job) {
	if !job.dirty {
		job.dirty = true
		s.dirtyJobs = append(s.dirtyJobs, job)
	}
}

// onDurable has something happen once all changes so far are durable.
func (s *Book) onDurable(run func()) { s.newEffects = append(s.newEffects, run) }

// Flush hands all changes since the last call to put, which numbers them, and returns the last number.
func (s *Book) Flush(put func(Change) int64, last int64) (int64, error) {
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

// Committed tells that all changes up to a number are durable.
func (s *Book) Committed(sequence int64) {
	n := 0
	for n < len(s.unconfirmedEffects) && s.unconfirmedEffects[n].sequence <= sequence {
		s.unconfirmedEffects[n].run()
		n++
	}
	s.unconfirmedEffects = s.unconfirmedEffects[n:]
}
