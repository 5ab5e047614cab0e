package store

// OpenStepped opens a Store whose steps the test takes one by one.
func OpenStepped(o Options) (*Store, error) { return open(o) }

// Batch writes what has come in.
func (s *Store) Batch() { s.batch(s.box.Take()) }

// Sync makes what was written durable.
func (s *Store) Sync() {
	if len(s.waiting) > 0 || !s.dirty.IsZero() {
		s.sync()
	}
}

// Tend looks after the room.
func (s *Store) Tend() { s.tend(s.opt.Now()) }

// Finish ends the Store.
func (s *Store) Finish() { s.finish() }

// Known returns how many jobs the Store has in memory.
func (s *Store) Known() int { return len(s.lane.book.Jobs) }

// Unlock gives the lane back without ending it, as a kill does.
func (s *Store) Unlock() { _ = s.lock.Close() }
