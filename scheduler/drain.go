package scheduler

import (
	"context"
	"time"

	"sedgevale/internal/httpd"
)

// Durations of the steps of a drain, which starts at SIGTERM.
const (
	// Clients open new connections for 0.4 s after SIGTERM, so the scheduler accepts
	// connections for longer than that.
	acceptGracePeriod = 700 * time.Millisecond
	drainPollInterval = 50 * time.Millisecond
	// Clients continue to use the connections that they have. Each connection serves one more
	// request, so idle connections stay open for idleGracePeriod. The sender of SIGTERM sends
	// SIGKILL 0.7 s after the longest client timeout or maxDrainWait, whichever is shorter.
	// Requests that are still open abandonGracePeriod after the shorter one are answered as
	// failed, so that the response arrives before SIGKILL.
	idleGracePeriod    = 2500 * time.Millisecond
	maxDrainWait       = 3 * time.Second
	abandonGracePeriod = 400 * time.Millisecond
	// lingerTimeout is the time for clients to read the last responses.
	lingerTimeout      = 200 * time.Millisecond
	lingerPollInterval = drainPollInterval / 5
)

// drain answers the requests that were accepted and those that still arrive. It returns once
// none is in flight, at the latest at the drain's deadline.
func (s *Scheduler) drain(ctx context.Context) error {
	start := time.Now()
	s.ready.Store(false)
	for _, server := range s.servers {
		server.Drain()
	}
	s.options.Log.Info("draining: answering accepted requests, then stopping")
	if err := s.awaitInFlight(ctx, start); err != nil {
		return err
	}
	s.refuseRequests(ctx)
	if err := s.abandonInFlight(ctx); err != nil {
		return err
	}
	s.linger()
	return s.stop()
}

// awaitInFlight waits until no request is in flight and no client is connected, at the latest
// until the drain's deadline. It closes idle connections after the idle grace period. The
// context is that of the background goroutines, which outlive the drain.
func (s *Scheduler) awaitInFlight(ctx context.Context, start time.Time) error {
	time.Sleep(acceptGracePeriod)
	closeIdleAfter, abandonAfter := drainDeadlines(s.maxClientTimeout())
	for idleClosed := false; time.Since(start) < abandonAfter; time.Sleep(drainPollInterval) {
		inFlight, err := s.inFlight(ctx)
		if err != nil {
			return err
		}
		if connections := s.openConnections(); inFlight == 0 && connections == 0 {
			return nil
		}
		if !idleClosed && time.Since(start) > closeIdleAfter {
			idleClosed = true // the connections are half-closed first, so openConnections still counts them
			for _, server := range s.servers {
				server.CloseIdle()
			}
		}
	}
	return nil
}

// inFlight returns the number of requests that are accepted and not answered yet.
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

// abandonInFlight answers the requests that are still queued or in flight as failed.
func (s *Scheduler) abandonInFlight(ctx context.Context) error {
	if s.admission != nil {
		s.admission.Close()
	}
	n, err := s.planners.FailOpen(ctx)
	if err != nil {
		return err
	}
	if n > 0 {
		s.options.Log.Warn("drain deadline reached with jobs in flight; answered them as failed", "jobs", n)
	}
	return nil
}

// linger waits until the clients have read the last responses, which may still be queued at
// the event loops, or until lingerTimeout has passed.
func (s *Scheduler) linger() {
	for deadline := time.Now().Add(lingerTimeout); time.Now().Before(deadline); time.Sleep(lingerPollInterval) {
		if s.openConnections() == 0 {
			return
		}
	}
}

// stop stops the servers and closes the journal.
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

// drainDeadlines returns the times after SIGTERM at which idle connections are closed and
// requests in flight are abandoned, if longest is the longest client timeout. The time
// between the latter and SIGKILL is left for sending the last responses.
func drainDeadlines(longest time.Duration) (closeIdleAfter, abandonAfter time.Duration) {
	return max(acceptGracePeriod, min(longest, idleGracePeriod)), min(longest, maxDrainWait) + abandonGracePeriod
}

// refuseRequests makes the servers refuse connections and close those on which no response is
// due, so that no further request is read. It waits until each server's event loops have done
// so, at most lingerTimeout/2.
func (s *Scheduler) refuseRequests(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lingerTimeout/2)
	defer cancel()
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

// openConnections returns the number of open client connections.
func (s *Scheduler) openConnections() (n int) {
	for _, server := range s.servers {
		n += server.Clients()
	}
	return n
}

// maxClientTimeout returns the longest client timeout of all classes.
func (s *Scheduler) maxClientTimeout() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.settings.Load().Classes {
		longest = max(longest, c.ClientTimeout)
	}
	return longest
}
