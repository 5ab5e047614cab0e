package store

// OpenStepped opens a Store whose steps the test takes one by one.
func OpenStepped(o Options) (*Store, error) { return open(o) }

// StartCallsWith has the test start disk calls.
func (s *Store) StartCallsWith(start func(func())) { s.startCall = start }

// BeginSync begins to make durable what was written, unless a disk call is in flight.
func (s *Store) BeginSync() {
	if s.inFlight == nil && (len(s.waiters) > 0 || !s.unsyncedSince.IsZero()) {
		s.sync()
	}
}

// FinishCall waits for the disk call in flight and takes its result. It reports whether there was one; it may start another.
func (s *Store) FinishCall() bool {
	if s.inFlight == nil {
		return false
	}
	s.finishCall(<-s.inFlight.result)
	return true
}

// WriteBatch writes what was put.
func (s *Store) WriteBatch() { s.writeBatch(s.queue.TakeAll()) }

// Sync makes what was written durable.
func (s *Store) Sync() {
	if len(s.waiters) > 0 || !s.unsyncedSince.IsZero() {
		s.sync()
		s.awaitCall()
	}
}

// BeginMaintenance begins the maintenance of the log. No disk call may be in flight.
func (s *Store) BeginMaintenance() { s.maintain(s.options.Now()) }

// Maintain maintains the log and waits for its disk calls.
func (s *Store) Maintain() {
	s.maintain(s.options.Now())
	s.awaitCall()
}

// ShutDown ends the Store.
func (s *Store) ShutDown() { s.shutDown() }

// UnresolvedJobs returns the number of unresolved jobs, which the Store has in memory.
func (s *Store) UnresolvedJobs() int { return len(s.log.table.Jobs) }

// Unlock releases the lock of the log without ending it, as a kill does.
func (s *Store) Unlock() { _ = s.lock.Close() }
