package store

import (
	"fmt"
	"time"

	"sedgevale/internal/journal"
)

// run writes and syncs records and maintains the log until Close requests the shutdown.
func (s *Store) run() {
	defer close(s.stopped)
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
		shutdown := s.writeBatch(s.queue.TakeAll())
		now := s.options.Now()
		since := now.Sub(maintainedAt)
		maintenanceDue := since >= maintenanceInterval || since < 0 // the clock may be set back
		if !failed && s.syncDue(now) && (!maintenanceDue || since < maxMaintenanceDelay) {
			s.sync()
		}
		if maintenanceDue && s.callInFlight == nil {
			maintainedAt = now
			s.maintain(now)
		}
		if shutdown {
			s.awaitCall()
			s.shutDown()
			return
		}
	}
}

// maxWait returns the maximum time that run waits for an event.
func (s *Store) maxWait() time.Duration {
	if s.unsyncedSince.IsZero() {
		return maintenanceInterval
	}
	return min(maintenanceInterval, lazySyncInterval)
}

// syncDue reports whether the written records should be synced now.
func (s *Store) syncDue(now time.Time) bool {
	if s.callInFlight != nil {
		return false
	}
	return len(s.waiters) > 0 || !s.unsyncedSince.IsZero() && (now.Sub(s.unsyncedSince) >= lazySyncInterval || now.Before(s.unsyncedSince))
}

// writeBatch writes the buffered records, then those of the requests, and reports whether a shutdown was requested. The calls
// among the requests run after the writes, with no disk call in flight.
func (s *Store) writeBatch(requests []request) (shutdown bool) {
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
			shutdown = true
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
	return shutdown
}

// writeRecords writes records and keeps their callbacks until the records are durable. If the write fails, the records are
// buffered and the callbacks receive the error.
func (s *Store) writeRecords(records []journal.Record, waiters []func(error)) {
	if s.dropped > 0 {
		records = append([]journal.Record{{Kind: journal.RecordsLost, At: s.options.Now().UnixMicro(), Count: s.dropped}}, records...)
	}
	err := s.log.write(records)
	if err != nil && s.reserveExists { // records that close open jobs may use the reserved space
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

// buffer keeps up to maxBufferedRecords records that could not be written, and counts those beyond as dropped. Intents are not
// kept, because their attempts are not made.
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

// recordFailure counts a failed write or sync. It logs only the first failure after a success.
func (s *Store) recordFailure(err error) {
	s.mu.Lock()
	s.stats.Failures++
	s.mu.Unlock()
	if !s.failing {
		s.failing = true
		s.options.Log.Error("the journal cannot be written; buffering records and retrying", "dir", s.log.dir, "err", err)
	}
	s.space.WriteFailed(s.options.Now())
	s.updateFull()
}

// recordSuccess ends the failing state after a successful write or sync.
func (s *Store) recordSuccess() {
	if s.failing {
		s.failing = false
		s.options.Log.Info("the journal can be written again", "dir", s.log.dir, "missing", s.dropped)
	}
}

// sync starts a sync of the written records, whose waiters are notified once the records are durable. Without Options.Sync,
// written records count as durable immediately.
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

// notifyDurable calls the callbacks of records that have become durable.
func (s *Store) notifyDurable(waiters []func(error)) {
	for i, done := range waiters {
		done(nil)
		waiters[i] = nil
	}
}

// shutDown writes the remaining records, closes the log and releases its lock.
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
		s.options.Log.Error("closing the journal; the records that could not be written are lost", "records", uint64(len(s.buffered))+s.dropped)
	}
	for _, done := range s.waiters {
		done(ErrClosed)
	}
	if s.reserveExists {
		s.releaseReserve()
	}
	if err := s.lock.Close(); err != nil {
		s.options.Log.Error("cannot close the journal's lock file; the lock is released when the process exits", "err", err)
	}
}
