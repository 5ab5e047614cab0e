package store

import (
	"errors"
	"time"
)

// diskCall is a potentially slow disk operation that runs outside the Store's goroutine. While a sync of earlier records is in
// flight, the Store's goroutine keeps writing records, which then survive the end of the process.
type diskCall struct {
	result   chan error  // buffered, so that the operation's goroutine ends even if nobody receives the result
	onResult func(error) // callback that the Store's goroutine calls with the result
}

// startDiskCall runs do concurrently, and onResult in the Store's goroutine after do has returned. No other disk call may be in
// flight.
func (s *Store) startDiskCall(do func() error, onResult func(error)) {
	c := &diskCall{result: make(chan error, 1), onResult: onResult}
	s.callInFlight = c
	s.startCall(func() { c.result <- do() })
}

// callResult returns the channel with the result of the disk call in flight, or nil if there is none.
func (s *Store) callResult() <-chan error {
	if s.callInFlight == nil {
		return nil
	}
	return s.callInFlight.result
}

// finishCall passes on the result of the disk call in flight. It may start another disk call.
func (s *Store) finishCall(err error) {
	onResult := s.callInFlight.onResult
	s.callInFlight = nil
	onResult(err)
}

// awaitCall waits until no disk call is in flight.
func (s *Store) awaitCall() {
	for s.callInFlight != nil {
		s.finishCall(<-s.callInFlight.result)
	}
}

// syncInBackground starts a sync of the records written so far. On success it notifies their waiters and calls after, which may
// be nil. On failure it keeps the waiters, since the records are rewritten to another file. No disk call may be in flight.
func (s *Store) syncInBackground(after func()) {
	waiters, since := s.waiters, s.unsyncedSince
	s.waiters, s.unsyncedSince = nil, time.Time{}
	do := s.log.beginSync()
	s.startDiskCall(do, func(err error) {
		if err = s.log.endSync(err); err != nil {
			s.waiters = append(waiters, s.waiters...)
			s.unsyncedSince = since
			if !errors.Is(err, errAbandoned) { // the failed write that abandoned the file was counted already
				s.recordFailure(err)
			}
			return
		}
		s.recordSuccess()
		s.mu.Lock()
		s.stats.Syncs++
		s.mu.Unlock()
		s.notifyDurable(waiters)
		if after != nil {
			after()
		}
	})
}
