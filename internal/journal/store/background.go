package store

import "time"

// diskCall is a call of the disk that may take long, and what follows in the Store's goroutine once it has returned. The loop
// goes on meanwhile: records are written, so that they outlive the end of the process, though a sync of earlier ones takes its time.
type diskCall struct {
	result chan error
	then   func(error)
}

// call has the disk do something beside the Store's goroutine. Nothing else may be under way.
func (s *Store) call(do func() error, then func(error)) {
	c := &diskCall{result: make(chan error, 1), then: then}
	s.under = c
	s.spawn(func() { c.result <- do() })
}

// returned yields the result of the call that is under way, or never.
func (s *Store) returned() <-chan error {
	if s.under == nil {
		return nil
	}
	return s.under.result
}

// endCall goes on after the call that was under way. Another may follow.
func (s *Store) endCall(err error) {
	then := s.under.then
	s.under = nil
	then(err)
}

// await waits until no call is under way.
func (s *Store) await() {
	for s.under != nil {
		s.endCall(<-s.under.result)
	}
}

// makeDurable makes all that was written so far durable, tells those who wait for it, and goes on with after, which may be
// nil. After a failure they go on waiting: it is tried again in another file. No call may be under way.
func (s *Store) makeDurable(after func()) {
	waiting, since := s.waiting, s.dirty
	s.waiting, s.dirty = nil, time.Time{}
	do := s.lane.beginSync()
	s.call(do, func(err error) {
		if err = s.lane.endSync(err); err != nil {
			s.waiting = append(waiting, s.waiting...)
			s.dirty = since
			s.failed(err)
			return
		}
		s.works()
		s.mu.Lock()
		s.stats.Syncs++
		s.mu.Unlock()
		s.tellDurable(waiting)
		if after != nil {
			after()
		}
	})
}
