package side

import (
	"context"
	"fmt"
	"time"

	"sedgevale/workeragent"
)

const (
	expiryCheckInterval = 50 * time.Millisecond
	expiredRetention    = 20 * time.Second // how long the state of an incarnation is kept after its lease has expired

	// maxIncarnations limits the incarnations of the worker whose state is kept. A worker that restarts has a new one.
	maxIncarnations = 64

	// minConfirmingHeartbeats is the number of heartbeats that confirm an incarnation. One is not enough: it may be a
	// delayed heartbeat of an incarnation that has crashed, which no other heartbeat follows.
	minConfirmingHeartbeats = 2
)

// worker is one incarnation of the worker.
type worker struct {
	agent       *workeragent.Agent
	service     string
	received    int           // bytes of the last heartbeat, whose lists the agent keeps
	ordersReady chan struct{} // signalled when there are orders for the worker
	reportDue   chan struct{} // signalled when a report must be sent immediately
	reported    uint64        // digest of the agent's state when reportDue was last signalled
	expiredAt   time.Duration // when the lease last expired, since the start of the process; 0 if it has never expired
	replaced    bool          // another incarnation has replaced this one
	confirmed   bool          // minConfirmingHeartbeats have been received
}

// workerFor returns the state of an incarnation, and creates it on the first heartbeat. It returns nil if maxIncarnations are known
// already. The caller holds s.mu.
func (s *Scheduler) workerFor(instance string) *worker {
	if known := s.workers[instance]; known != nil {
		return known
	}
	if len(s.workers) >= maxIncarnations {
		return nil
	}
	s.registrations++
	added := &worker{
		agent:       workeragent.New(s.now(), instance, fmt.Sprintf("%s.%d", s.incarnation, s.registrations), s.timing),
		ordersReady: make(chan struct{}, 1), reportDue: make(chan struct{}, 1),
	}
	s.workers[instance] = added
	return added
}

// hasRoom reports whether the heartbeats of all incarnations together stay within maxHeartbeatBytes with a heartbeat of the given
// size from one of them. The caller holds s.mu.
func (s *Scheduler) hasRoom(from *worker, bytes int) bool {
	for _, other := range s.workers {
		if other != from {
			bytes += other.received
		}
	}
	return bytes <= maxHeartbeatBytes
}

// confirm makes an incarnation the current one once it has sent minConfirmingHeartbeats. A worker that restarts after a
// crash has a new instance name, so the new incarnation replaces all others except those that are draining, which may
// still run tasks. The caller holds s.mu.
func (s *Scheduler) confirm(w *worker) {
	if w.confirmed || w.agent.Heartbeats() < minConfirmingHeartbeats {
		return
	}
	w.confirmed = true
	s.newestInstance = w.agent.Instance
	for _, other := range s.workers {
		if other != w && !other.agent.Draining() {
			other.replaced = true
		}
	}
	if !s.stopped {
		s.loops.Go(func() { s.reportLoop(s.ctx, w) })
	}
}

// expiryLoop checks the workers' leases every expiryCheckInterval until ctx is cancelled.
func (s *Scheduler) expiryLoop(ctx context.Context) {
	ticker := time.NewTicker(expiryCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.expireLeases()
		}
	}
}

// expireLeases triggers a report to the owner for each lease that has expired, and deletes incarnations whose lease expired
// more than expiredRetention ago.
func (s *Scheduler) expireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for instance, w := range s.workers {
		if w.agent.CheckExpiry(now) {
			s.logger.V(1).Info("worker lease expired", "instance", instance)
			w.expiredAt = now
			signal(w.reportDue)
		}
		if instance != s.newestInstance && w.agent.LeaseExpired() && now-w.expiredAt > expiredRetention {
			w.replaced = true
			delete(s.workers, instance)
		}
	}
}
