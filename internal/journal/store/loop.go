package store

import (
	"fmt"
	"time"

	"sedgevale/internal/journal"
)

// run writes records, syncs and maintains the log until Close requests the end.
func (s *Store) run() {
	defer close(s.ended)
	timer := time.NewTimer(maintenanceInterval)
	defer timer.Stop()
	var maintainedAt time.Time
	for {
		timer.Reset(s.maxWait())
		failed := false
		select {
		case <-s.wake:
		case <-timer.C:
		case err := <-s.callResult():
			s.finishCall(err)
			failed = err != nil
		}
		end := s.writeBatch(s.queue.TakeAll())
		now := s.options.Now()
		since := now.Sub(maintainedAt)
		maintenanceDue := since >= maintenanceInterval || since < 0 // the clock may step back
		if !failed && s.syncDue(now) && (!maintenanceDue || since < maxMaintenanceDelay) {
			s.sync()
		}
		if maintenanceDue && s.inFlight == nil {
			maintainedAt = now
			s.maintain(now)
		}
		if end {
			s.awaitCall()
			s.shutDown()
			return
		}
	}
}

// maxWait returns how long run waits at most.
func (s *Store) maxWait() time.Duration {
	if s.unsyncedSince.IsZero() {
		return maintenanceInterval
	}
	return min(maintenanceInterval, lazySyncInterval)
}

// syncDue reports whether what was written should be synced now.
func (s *Store) syncDue(now time.Time) bool {
	if s.inFlight != nil {
		return false
	}
	return len(s.waiters) > 0 || !s.unsyncedSince.IsZero() && (now.Sub(s.unsyncedSince) >= lazySyncInterval || now.Before(s.unsyncedSince))
}

// writeBatch writes the records of requests, after those that were buffered, and reports whether the end was requested. Calls
// among the requests are made last, with no disk call in flight.
func (s *Store) writeBatch(requests []request) (end bool) {
	if len(requests) == 0 && len(s.buffered) == 0 {
		return false
	}
	records := s.buffered
	s.buffered = nil
	var waiters []func(error)
	for i := range requests {
		r := &requests[i]
		switch {
		case r.call != nil:
			defer func() {
				s.awaitCall()
				r.call()
			}()
		case r.record.Kind == 0:
			end = true
		default:
			records = append(records, r.record)
			if r.done != nil {
				waiters = append(waiters, r.done)
			}
		}
	}
	if len(records) > 0 {
		s.writeRecords(records, waiters)
	}
	return end
}

// writeRecords writes records and keeps their callbacks until they are durable. Where the disk takes none, they are
// buffered and the waiters get the error.
func (s *Store) writeRecords(records []journal.Record, waiters []func(error)) {
	if s.dropped > 0 {
		records = append([]journal.Record{{Kind: journal.RecordsLost, At: s.options.Now().UnixMicro(), Count: s.dropped}}, records...)
	}
	err := s.log.write(records)
	if err != nil && s.reserved { // what closes open jobs may use the space that was reserved for it
		s.releaseReserve()
		err = s.log.write(records)
	}
	if err != nil {
		s.recordFailure(err)
		s.buffer(records)
		for _, done := range waiters {
			done(fmt.Errorf("%w: %w", ErrWriteFailed, err))
		}
		return
	}
	s.recordSuccess()
	s.dropped = 0
	s.waiters = append(s.waiters, waiters...)
	if s.unsyncedSince.IsZero() {
		s.unsyncedSince = s.options.Now()
	}
	s.mu.Lock()
	s.stats.Records += uint64(len(records))
	s.mu.Unlock()
}

// buffer keeps records that could not be written, up to maxBufferedRecords; the ones beyond are counted as dropped. Intents
// are not kept, since their attempts are not made.
func (s *Store) buffer(records []journal.Record) {
	for _, r := range records {
		switch {
		case r.Kind == journal.Intent, r.Kind == journal.RecordsLost:
		case len(s.buffered) >= maxBufferedRecords:
			s.dropped++
		default:
			s.buffered = append(s.buffered, r)
		}
	}
}

// recordFailure notes that a write or sync failed. Only the first one after a success is logged.
func (s *Store) recordFailure(err error) {
	s.mu.Lock()
	s.stats.Failures++
	s.mu.Unlock()
	if !s.failing {
		s.failing = true
		s.options.Log.Error("the journal cannot be written", "dir", s.log.dir, "err", err)
	}
	s.space.WriteFailed(s.options.Now())
	s.updateFull()
}

// recordSuccess notes that a write or sync succeeded.
func (s *Store) recordSuccess() {
	if s.failing {
		s.failing = false
		s.options.Log.Info("the journal is written again", "dir", s.log.dir, "missing", s.dropped)
	}
}

// sync begins to make durable what was written, and notifies the waiters once it is. Without Options.Sync what was written
// counts as durable at once.
func (s *Store) sync() {
	if s.options.Sync {
		s.syncInBackground(nil)
		return
	}
	s.log.markSynced()
	s.unsyncedSince = time.Time{}
	s.notifyDurable(s.waiters)
	s.waiters = s.waiters[:0]
}

// notifyDurable calls the callbacks of records that are durable.
func (s *Store) notifyDurable(waiters []func(error)) {
	for i, done := range waiters {
		done(nil)
		waiters[i] = nil
	}
}

// shutDown writes what is left, ends the log and releases its lock.
func (s *Store) shutDown() {
	s.writeBatch(s.queue.TakeAll())
	if len(s.buffered) == 0 && s.dropped == 0 {
		if err := s.log.close(s.options.Now()); err != nil {
			s.recordFailure(err)
		} else {
			for _, done := range s.waiters {
				done(nil)
			}
			s.waiters = nil
		}
	} else {
		s.options.Log.Error("the journal ends with records unwritten", "records", uint64(len(s.buffered))+s.dropped)
	}
	for _, done := range s.waiters {
		done(ErrClosed)
	}
	if s.reserved {
		s.releaseReserve()
	}
	if err := s.lock.Close(); err != nil {
		s.options.Log.Error("the journal's lock", "err", err)
	}
}
