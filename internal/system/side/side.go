// Package side implements the side scheduler, a sidecar that connects one worker to the owner of the worker's shard. It
// responds to the worker's heartbeats, relays the owner's orders to the worker and reports the worker's state to the
// owner. Package workeragent makes the decisions; this package does the I/O.
package side

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	"sedgevale/internal/system/api"
	"sedgevale/internal/system/directory"
	"sedgevale/internal/system/node"
	"sedgevale/internal/system/result"
	"sedgevale/internal/system/rpc"
	"sedgevale/internal/system/settings"
	"sedgevale/workeragent"
)

// maxOrdersBytes limits the orders of one call. A call has up to 1,000 starts, each with a specification of up to 4,000 bytes and
// a checkpoint of up to 8 KiB.
const maxOrdersBytes = 16 << 20

// Scheduler is the scheduler on a side machine.
type Scheduler struct {
	settings    *settings.Settings
	logger      logr.Logger
	client      *rpc.Client
	directory   *directory.Directory
	timing      workeragent.Timing
	incarnation string // random ID that identifies this process to owners
	started     time.Time
	drops       *prometheus.CounterVec
	ctx         context.Context // the process's context, for the loops that heartbeats start
	loops       sync.WaitGroup

	mu             sync.Mutex         // guards the fields below and the workers
	workers        map[string]*worker // by instance
	newestInstance string             // the instance that was confirmed last
	registrations  int64              // number of agents created so far; distinguishes those of an instance that was forgotten
	reportSequence int64
	owner          string // address of the owner of the current session
	session        string // session ID assigned by the owner; empty before its first response
	stopped        bool   // no further loops are started
}

// signal wakes the receiver of a channel of capacity 1 without blocking.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run serves the worker and the shard owner until ctx is cancelled.
func Run(ctx context.Context, p *node.Process) error {
	ctx, cancel := context.WithCancel(ctx)
	s := newScheduler(ctx, p)
	p.RegisterMetrics(s.drops)
	defer s.stop(cancel)
	s.loops.Go(func() { s.directory.Run(ctx) })
	server := rpc.NewServerWithLimit(maxOrdersBytes)
	rpc.Handle(server, api.MethodOrders, s.handleOrders)
	if err := p.ListenInternal(ctx, server.Handler()); err != nil {
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
	_, _ = rand.Read(random[:]) // crypto/rand.Read never returns an error
	return &Scheduler{
		settings: p.Settings, logger: p.Logger, client: p.Client, directory: directory.New(p, false),
		timing: node.LeaseTiming(p.Settings), incarnation: hex.EncodeToString(random[:]), started: time.Now(),
		workers: map[string]*worker{}, drops: newDropCounter(), ctx: ctx,
	}
}

// stop cancels all loops and waits for them.
func (s *Scheduler) stop(cancel context.CancelFunc) {
	cancel()
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.loops.Wait()
}

// now returns the time since the start of the process.
func (s *Scheduler) now() time.Duration { return time.Since(s.started) }

// handleOrders applies an owner's orders to the agent of the worker.
func (s *Scheduler) handleOrders(_ context.Context, r *api.OrdersRequest) (*api.Empty, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.workers[r.Orders.Instance]
	if w == nil || w.replaced {
		return nil, result.Errorf(result.WrongInstance, "instance %s is not here", r.Orders.Instance)
	}
	if err := w.agent.HandleOrders(s.now(), r.Token, &r.Orders); err != nil {
		return nil, err
	}
	s.recordDrops(w)
	if w.agent.HasOrders(s.now()) {
		signal(w.ordersReady)
	}
	return &api.Empty{}, nil
}
