package store

// OpenStepped opens a Store without its goroutine; the test runs its steps.
func OpenStepped(o Options) (*Store, error) { return open(o) }

// StartCallsWith replaces the function that starts disk calls.
func (s *Store) StartCallsWith(start func(func())) { s.startCall = start }

// BeginSync starts a sync of the written records unless a disk call is in flight.
func (s *Store) BeginSync() {
	if s.callInFlight == nil && (len(s.waiters) > 0 || !s.unsyncedSince.IsZero()) {
		s.sync()
	}
}

// FinishCall waits for the disk call in flight and handles its result, which may start another call. It reports whether a call
// was in flight.
func (s *Store) FinishCall() bool {
	if s.callInFlight == nil {
		return false
	}
	s.finishCall(<-s.callInFlight.result)
	return true
}

// WriteBatch writes the queued records.
func (s *Store) WriteBatch() { s.writeBatch(s.queue.TakeAll()) }

// Sync syncs the written records and waits for the result.
func (s *Store) Sync() {
	if len(s.waiters) > 0 || !s.unsyncedSince.IsZero() {
		s.sync()
		s.awaitCall()
	}
}

// BeginMaintenance starts the maintenance of the log. No disk call may be in flight.
func (s *Store) BeginMaintenance() { s.maintain(s.options.Now()) }

// Maintain runs the maintenance of the log and waits for its disk calls.
func (s *Store) Maintain() {
	s.maintain(s.options.Now())
	s.awaitCall()
}

func (s *Store) ShutDown() { s.shutDown() }

// UnresolvedJobs returns the number of unresolved jobs in memory.
func (s *Store) UnresolvedJobs() int { return len(s.log.table.Jobs) }

// Unlock releases the lock of the log without closing the log, as the kernel does for a killed process.
func (s *Store) Unlock() { _ = s.lock.Close() }
