package scheduler

import (
	"context"
	"time"

	"sedgevale/internal/httpd"
)

// The steps of a drain, which begins with SIGTERM.
const (
	// Clients go on connecting for 0.4 s after SIGTERM, so the scheduler
	// accepts connections for longer.
	acceptGracePeriod = 700 * time.Millisecond
	drainPollInterval = 50 * time.Millisecond
	// Clients go on using the connections that they have. Each is good for one more
	// request, so idle connections stay open for idleGracePeriod. Whoever sent SIGTERM
	// sends SIGKILL 0.7 s after the longest deadline or after maxDrainWait, whichever is
	// shorter: requests still open shortly before are answered as failed.
	idleGracePeriod    = 2500 * time.Millisecond
	maxDrainWait       = 3 * time.Second
	abandonGracePeriod = 400 * time.Millisecond
	// lingerTimeout is how long the last answers may take to be read.
	lingerTimeout      = 200 * time.Millisecond
	lingerPollInterval = drainPollInterval / 5
)

// drain answers what was accepted and what still comes, and returns once nothing is in
// flight, at the latest at the drain's deadline.
func (s *Scheduler) drain(ctx context.Context) error {
	began := time.Now()
	s.ready.Store(false)
	for _, server := range s.servers {
		server.Drain()
	}
	s.options.Log.Info("draining: answering accepted requests")
	if err := s.awaitInFlight(ctx, began); err != nil {
		return err
	}
	s.refuseRequests(ctx)
	if err := s.abandonInFlight(ctx); err != nil {
		return err
	}
	s.linger()
	return s.stop()
}

// awaitInFlight waits until no request is in flight and no client connected, or until the
// drain's deadline. Idle connections are closed on the way. The context is that of the
// background work, which does not end before the drain.
func (s *Scheduler) awaitInFlight(ctx context.Context, began time.Time) error {
	time.Sleep(acceptGracePeriod)
	idle, end := drainDeadlines(s.maxDeadline())
	for idleClosed := false; time.Since(began) < end; time.Sleep(drainPollInterval) {
		inFlight, err := s.inFlight(ctx)
		if err != nil {
			return err
		}
		if clients := s.openClients(); inFlight == 0 && clients == 0 {
			return nil
		}
		if !idleClosed && time.Since(began) > idle {
			idleClosed = true // each once it has been read to its end, or for a while
			for _, server := range s.servers {
				server.CloseIdle()
			}
		}
	}
	return nil
}

// inFlight returns how many requests are accepted and not answered yet.
func (s *Scheduler) inFlight(ctx context.Context) (int, error) {
	n, err := s.planners.CountOpen(ctx)
	if err != nil {
		return 0, err
	}
	if s.admission != nil {
		n += s.admission.Queued()
	}
	if s.reverseProxy != nil {
		proxied, err := s.reverseProxy.Open(ctx)
		if err != nil {
			return 0, err
		}
		n += proxied
	}
	return n, nil
}

// abandonInFlight answers what is still queued or in flight as failed.
func (s *Scheduler) abandonInFlight(ctx context.Context) error {
	if s.admission != nil {
		s.admission.Close()
	}
	n, err := s.planners.FailOpen(ctx)
	if err != nil {
		return err
	}
	if n > 0 {
		s.options.Log.Warn("jobs still in flight at the drain's deadline, their clients were answered that they failed", "jobs", n)
	}
	return nil
}

// linger waits until the last answers, which are on their way to their event loops, have
// been read by their clients, or for lingerTimeout.
func (s *Scheduler) linger() {
	for until := time.Now().Add(lingerTimeout); time.Now().Before(until); time.Sleep(lingerPollInterval) {
		if s.openClients() == 0 {
			return
		}
	}
}

// stop ends the servers and closes the journal.
func (s *Scheduler) stop() error {
	s.siblings.mu.Lock()
	if s.siblings.listener != nil {
		s.siblings.listener.Close()
	}
	s.siblings.mu.Unlock()
	for _, server := range append([]*httpd.Server{s.opsServer}, s.servers...) {
		if server == nil {
			continue
		}
		if err := server.Stop(); err != nil {
			return err
		}
	}
	if s.journal != nil {
		s.journal.Close()
	}
	s.options.Log.Info("stopped")
	return nil
}

// drainDeadlines returns when, after SIGTERM, idle connections are closed, and when what is
// in flight is abandoned, for requests whose deadline is longest at most. The time from
// there to SIGKILL is for the last answers.
func drainDeadlines(longest time.Duration) (idle, end time.Duration) {
	return max(acceptGracePeriod, min(longest, idleGracePeriod)), min(longest, maxDrainWait) + abandonGracePeriod
}

// refuseRequests sees to it that no further request is read: it waits for each server's
// event loops, at most lingerTimeout/2.
func (s *Scheduler) refuseRequests(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, lingerTimeout/2)
	defer stop()
	done := make(chan struct{}, len(s.servers))
	for _, server := range s.servers {
		server.Refuse()
		server.Ping(func() { done <- struct{}{} })
	}
	for range s.servers {
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
	}
}

// openClients returns how many connections of clients are open.
func (s *Scheduler) openClients() (n int) {
	for _, server := range s.servers {
		n += server.Clients()
	}
	return n
}

// maxDeadline is the longest time that a client of any class may wait.
func (s *Scheduler) maxDeadline() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.settings.Load().Classes {
		longest = max(longest, c.ClientTimeout)
	}
	return longest
}
