package store

import (
	"errors"
	"time"
)

// diskCall is a call of the disk that may take long. The Store's goroutine goes on meanwhile: records are written, and so
// survive the end of the process, while a sync of earlier ones is in flight.
type diskCall struct {
	result chan error  // buffered, so that the call's goroutine ends also if nobody receives the result
	then   func(error) // is called in the Store's goroutine with the result
}

// startDiskCall runs do concurrently, and then in the Store's goroutine once it has returned. No other call may be in flight.
func (s *Store) startDiskCall(do func() error, then func(error)) {
	c := &diskCall{result: make(chan error, 1), then: then}
	s.inFlight = c
	s.startCall(func() { c.result <- do() })
}

// callResult receives the result of the call in flight; nil where there is none.
func (s *Store) callResult() <-chan error {
	if s.inFlight == nil {
		return nil
	}
	return s.inFlight.result
}

// finishCall takes the result of the call in flight. It may start another one.
func (s *Store) finishCall(err error) {
	then := s.inFlight.then
	s.inFlight = nil
	then(err)
}

// awaitCall waits until no call is in flight.
func (s *Store) awaitCall() {
	for s.inFlight != nil {
		s.finishCall(<-s.inFlight.result)
	}
}

// syncInBackground makes durable what was written so far, notifies its waiters and calls after, which may be nil. After a failure
// the waiters are kept: the records are written again to another file. No call may be in flight.
func (s *Store) syncInBackground(after func()) {
	waiters, since := s.waiters, s.unsyncedSince
	s.waiters, s.unsyncedSince = nil, time.Time{}
	do := s.log.beginSync()
	s.startDiskCall(do, func(err error) {
		if err = s.log.endSync(err); err != nil {
			s.waiters = append(waiters, s.waiters...)
			s.unsyncedSince = since
			if !errors.Is(err, errAbandoned) { // the write that failed meanwhile was noted
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
