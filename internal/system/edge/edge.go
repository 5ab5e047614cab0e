// Package edge is the scheduler that clients call. It finds the queue of a request by the configuration's routes,
// forwards the request to the owner of the queue's shard and answers for it. It keeps no state of its own.
package edge

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"sedgevale/internal/system/directory"
	"sedgevale/internal/system/node"
	"sedgevale/internal/system/rpc"
)

const (
	readinessPath      = "/sedgevale/readyz"
	readinessTimeout   = 1600 * time.Millisecond // after the configuration was last confirmed
	maxDrainDelay      = 2600 * time.Millisecond // until the platform has noticed that a scheduler is not ready
	minShutdownTimeout = 600 * time.Millisecond
	headerTimeout      = 3 * time.Second
	idleTimeout        = 15 * time.Second
	maxHeaderBytes     = 16 << 10
)

// Scheduler is the scheduler on an edge machine.
type Scheduler struct {
	client    *rpc.Client
	directory *directory.Directory
	draining  chan struct{} // closed when the shutdown begins
	responses *prometheus.CounterVec
}

// Run serves until the context ends, and then until requests in flight have ended or the grace period of the settings (bounds.grace_s) is over.
func Run(ctx context.Context, p *node.Process) error {
	s := &Scheduler{
		client: p.Client, directory: directory.New(p, true), draining: make(chan struct{}), responses: newResponseCounter(),
	}
	p.RegisterMetrics(s.responses)
	following, stop := context.WithCancel(context.WithoutCancel(ctx)) // requests in flight need the owners after ctx's end
	var background sync.WaitGroup
	defer background.Wait()
	defer stop()
	background.Go(func() { s.directory.Run(following) })
	readiness := http.NewServeMux()
	readiness.HandleFunc("GET "+readinessPath, s.handleReadiness)
	if err := p.Listen(ctx, p.Settings.BindAddrs.Readiness, readiness); err != nil {
		return err
	}
	server, err := p.ListenServer(ctx, p.Settings.BindAddrs.Frontend, &http.Server{
		Handler: s.countResponses(s), ReadHeaderTimeout: headerTimeout, ReadTimeout: 2 * headerTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	})
	if err != nil {
		return err
	}
	<-ctx.Done()
	close(s.draining)
	return shutDown(following, server, time.Duration(p.Settings.Bounds.GraceS*float64(time.Second)))
}

// shutDown goes on accepting requests until the platform has noticed that the scheduler is not ready, and then waits for
// those in flight within the grace.
func shutDown(ctx context.Context, server *http.Server, grace time.Duration) error {
	time.Sleep(min(maxDrainDelay, grace/2))
	ctx, cancel := context.WithTimeout(ctx, max(grace-maxDrainDelay-minShutdownTimeout, minShutdownTimeout))
	defer cancel()
	if err := server.Shutdown(ctx); !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return nil // the grace is over; requests in flight are aborted
}

// isDraining reports whether the shutdown has begun.
func (s *Scheduler) isDraining() bool {
	select {
	case <-s.draining:
		return true
	default:
		return false
	}
}

// handleReadiness says whether the platform may send new connections: there is a configuration, and a core scheduler in
// touch with a quorum confirmed it a moment ago.
func (s *Scheduler) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	table, _, age := s.directory.Table()
	if table == nil || age > readinessTimeout || s.isDraining() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
