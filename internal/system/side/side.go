// Package side is the scheduler beside a worker: the only process that talks to that worker. It answers the worker's
// heartbeats, passes on the orders of the owner of the worker's shard, and reports the worker's state to that owner.
// The decisions are in package workeragent; this package does the I/O.
package side

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"sedgevale/internal/system/api"
	"sedgevale/internal/system/directory"
	"sedgevale/internal/system/node"
	"sedgevale/internal/system/result"
	"sedgevale/internal/system/rpc"
	"sedgevale/internal/system/settings"
	"sedgevale/workeragent"
)

const (
	expiryCheckInterval = 50 * time.Millisecond
	expiredRetention    = 20 * time.Second // an incarnation is forgotten so long after its lease expired

	// minConfirmingHeartbeats is how many heartbeats confirm an incarnation: a delayed heartbeat of an incarnation
	// that has crashed is not followed by another.
	minConfirmingHeartbeats = 2
)

// Scheduler is the scheduler on a side machine.
type Scheduler struct {
	settings    *settings.Settings
	logger      logr.Logger
	client      *rpc.Client
	directory   *directory.Directory
	timing      workeragent.Timing
	incarnation string // names this process to owners
	started     time.Time
	ctx         context.Context // of the process, for loops that heartbeats start
	loops       sync.WaitGroup

	mu             sync.Mutex // guards the fields below and the workers
	workers        map[string]*worker
	newestInstance string // of the incarnation that was confirmed last
	reportSequence int64
	owner          string // address of the owner that the session is with
	session        string // as the owner gave it; empty before its first answer
	stopped        bool   // no further loops are started
}

// worker is one incarnation of the worker.
type worker struct {
	agent       *workeragent.Agent
	service     string
	ordersReady chan struct{} // signalled when there are orders for the worker
	reportDue   chan struct{} // signalled when a report must be sent at once
	reported    uint64        // digest of the agent's state when reportDue was last signalled
	expiredAt   time.Duration // since the start of the process; 0 before the worker's lease has expired
	replaced    bool          // another incarnation has taken its place
	confirmed   bool
}

// signal wakes the receiver of a channel of capacity one. It never blocks.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run serves until the context ends.
func Run(ctx context.Context, p *node.Process) error {
	ctx, cancel := context.WithCancel(ctx)
	s := newScheduler(ctx, p)
	defer s.stop(cancel)
	s.loops.Go(func() { s.directory.Run(ctx) })
	server := rpc.NewServer()
	rpc.Handle(server, api.MethodOrders, s.handleOrders)
	if err := p.Listen(ctx, p.Settings.InternalAddress(), server.Handler()); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /sedgevale/instances/{id}", s.handleHeartbeat)
	mux.HandleFunc("DELETE /sedgevale/instances/{id}", s.handleDeregister)
	if err := p.Listen(ctx, p.Settings.BindAddrs.ControlPlane, mux); err != nil {
		return err
	}
	s.loops.Go(func() { s.expiryLoop(ctx) })
	<-ctx.Done()
	return nil
}

func newScheduler(ctx context.Context, p *node.Process) *Scheduler {
	var random [6]byte
	_, _ = rand.Read(random[:]) // never fails
	return &Scheduler{
		settings: p.Settings, logger: p.Logger, client: p.Client, directory: directory.New(p, false),
		timing: node.LeaseTiming(p.Settings), incarnation: hex.EncodeToString(random[:]), started: time.Now(),
		workers: map[string]*worker{}, ctx: ctx,
	}
}

// stop ends all loops and waits for them.
func (s *Scheduler) stop(cancel context.CancelFunc) {
	cancel()
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.loops.Wait()
}

// now returns the time since the start of the process.
func (s *Scheduler) now() time.Duration { return time.Since(s.started) }

// workerOf returns the state of an incarnation, made at its first heartbeat. s.mu is held.
func (s *Scheduler) workerOf(instance string) *worker {
	if known := s.workers[instance]; known != nil {
		return known
	}
	added := &worker{
		agent:       workeragent.New(s.now(), instance, s.incarnation, s.timing),
		ordersReady: make(chan struct{}, 1), reportDue: make(chan struct{}, 1),
	}
	s.workers[instance] = added
	return added
}

// confirm makes an incarnation the present one after enough heartbeats. A worker that crashed comes back under
// another name, so this replaces all others, except those that are draining and may still run tasks. s.mu is held.
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

// handleOrders passes an owner's orders to the agent.
func (s *Scheduler) handleOrders(_ context.Context, r *api.OrdersRequest) (*api.Empty, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.workers[r.Orders.Instance]
	if w == nil || w.replaced {
		return nil, result.Errorf(result.WrongInstance, "instance %s is not here", r.Orders.Instance)
	}
	if err := w.agent.OnOrders(s.now(), r.Token, &r.Orders); err != nil {
		return nil, err
	}
	if w.agent.HasOrders(s.now()) {
		signal(w.ordersReady)
	}
	return &api.Empty{}, nil
}

// expiryLoop looks for expired leases of workers until the context ends.
func (s *Scheduler) expiryLoop(ctx context.Context) {
	ticker := time.NewTicker(expiryCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.expire()
		}
	}
}

// expire has expired leases reported to the owner, and forgets incarnations whose lease expired long ago.
func (s *Scheduler) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for instance, w := range s.workers {
		if w.agent.CheckExpiry(now) {
			s.logger.V(1).Info("worker lease expired", "instance", instance)
			w.expiredAt = now
			signal(w.reportDue)
		}
		if instance != s.newestInstance && w.agent.RunsExpired() && now-w.expiredAt > expiredRetention {
			w.replaced = true
			delete(s.workers, instance)
		}
	}
}
