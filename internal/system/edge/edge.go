// Package edge implements the edge scheduler, the HTTP front end for clients. It matches a request to a route of the
// cluster configuration, forwards it to the owner of the route's shard and returns the owner's response. It is stateless.
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
	readinessTimeout   = 1600 * time.Millisecond // not ready if the configuration was last confirmed longer ago
	maxDrainDelay      = 2600 * time.Millisecond // in which the platform notices that the scheduler is not ready
	minShutdownTimeout = 600 * time.Millisecond
	headerTimeout      = 3 * time.Second
	writeTimeout       = 10 * time.Second // from the end of a request's head to the end of its answer
	idleTimeout        = 15 * time.Second
	maxHeaderBytes     = 16 << 10
)

// Scheduler is the scheduler on an edge machine.
type Scheduler struct {
	client    *rpc.Client
	directory *directory.Directory
	draining  chan struct{} // closed when the shutdown begins
	stalls    stallDetector
	responses *prometheus.CounterVec
	outdated  prometheus.Counter // submissions that were not forwarded since their clients may have given up
}

// Run serves clients until ctx is cancelled, and then shuts down gracefully: it returns once the requests in flight have
// completed, or once the grace period of the settings (bounds.grace_s) has elapsed.
func Run(ctx context.Context, p *node.Process) error {
	s := &Scheduler{
		client: p.Client, directory: directory.New(p, true), draining: make(chan struct{}), responses: newResponseCounter(),
		outdated: newOutdatedCounter(),
	}
	p.RegisterMetrics(s.responses, s.outdated)
	// Requests in flight need the owners of the shards after ctx is cancelled.
	directoryCtx, stopDirectory := context.WithCancel(context.WithoutCancel(ctx))
	var background sync.WaitGroup
	defer background.Wait()
	defer stopDirectory()
	background.Go(func() { s.directory.Run(directoryCtx) })
	background.Go(func() { s.stalls.run(directoryCtx) })
	readiness := http.NewServeMux()
	readiness.HandleFunc("GET "+readinessPath, s.handleReadiness)
	if err := p.Listen(ctx, p.Settings.BindAddrs.Readiness, readiness); err != nil {
		return err
	}
	server, err := p.ListenServer(ctx, p.Settings.BindAddrs.Frontend, &http.Server{
		Handler: s.countResponses(s), ReadHeaderTimeout: headerTimeout, ReadTimeout: 2 * headerTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	})
	if err != nil {
		return err
	}
	<-ctx.Done()
	close(s.draining)
	return shutDown(directoryCtx, server, time.Duration(p.Settings.Bounds.GraceS*float64(time.Second)))
}

// shutDown keeps accepting requests until the platform has had time to notice that the scheduler is not ready. Then it
// stops accepting and waits for the requests in flight until minShutdownTimeout before the end of the grace period, but for
// minShutdownTimeout at least.
func shutDown(ctx context.Context, server *http.Server, grace time.Duration) error {
	time.Sleep(min(maxDrainDelay, grace/2))
	ctx, cancel := context.WithTimeout(ctx, max(grace-maxDrainDelay-minShutdownTimeout, minShutdownTimeout))
	defer cancel()
	if err := server.Shutdown(ctx); !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return nil // the process exits, which aborts the requests that are still in flight
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

// handleReadiness reports whether the platform may route new connections to this scheduler: it has a configuration that a
// quorum of the core has confirmed within readinessTimeout, and it is not draining.
func (s *Scheduler) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	table, _, age := s.directory.Table()
	if table == nil || age > readinessTimeout || s.isDraining() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
