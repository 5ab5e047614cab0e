package store

// OpenStepped opens a Store whose steps the test takes one by one.
func OpenStepped(o Options) (*Store, error) { return open(o) }

// Beside has calls of the disk that run beside the loop begun by the test.
func (s *Store) Beside(spawn func(func())) { s.spawn = spawn }

// BeginSync begins to make durable what was written, unless a call of the disk is under way.
func (s *Store) BeginSync() {
	if s.under == nil && (len(s.waiting) > 0 || !s.dirty.IsZero()) {
		s.sync()
	}
}

// EndCall goes on after the call of the disk that was begun, if one was. It reports whether one was; another may follow.
func (s *Store) EndCall() bool {
	if s.under == nil {
		return false
	}
	s.endCall(<-s.under.result)
	return true
}

// Batch writes what has come in.
func (s *Store) Batch() { s.batch(s.box.Take()) }

// Sync makes what was written durable.
func (s *Store) Sync() {
	if len(s.waiting) > 0 || !s.dirty.IsZero() {
		s.sync()
		s.await()
	}
}

// BeginTend begins to look after the room. No call of the disk may be under way.
func (s *Store) BeginTend() { s.tend(s.opt.Now()) }

// Tend looks after the room.
func (s *Store) Tend() {
	s.tend(s.opt.Now())
	s.await()
}

// Finish ends the Store.
func (s *Store) Finish() { s.finish() }

// Known returns how many jobs the Store has in memory.
func (s *Store) Known() int { return len(s.lane.book.Jobs) }

// Unlock gives the lane back without ending it, as a kill does.
func (s *Store) Unlock() { _ = s.lock.Close() }
