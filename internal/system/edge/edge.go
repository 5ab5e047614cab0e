// Package edge is the scheduler that clients call: it finds the queue of a request and passes it on to the owner of
// the queue's shard.
package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"sedgevale/internal/system/directory"
	"sedgevale/internal/system/node"
	"sedgevale/internal/system/rpc"
	"sedgevale/internal/system/settings"
)

const (
	readyPath     = "/sedgevale/readyz"
	readyFor      = 1600 * time.Millisecond // after the last confirmed word of a core scheduler
	leaveAfter    = 2600 * time.Millisecond // the platform notices that a scheduler is not ready
	shutdownSlack = 600 * time.Millisecond
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
	maxHeader     = 16 << 10
)

// Edge is a scheduler on an edge machine.
type Edge struct {
	settings  *settings.Settings
	logger    logr.Logger
	client    *rpc.Client
	directory *directory.Directory
	leaving   chan struct{}
}

// Run serves until the context ends, and then until requests under way have ended.
func Run(ctx context.Context, p *node.Process) error {
	e := &Edge{
		settings: p.Settings, logger: p.Logger, client: p.Client, directory: directory.New(p, true),
		leaving: make(chan struct{}),
	}
	running, stop := context.WithCancel(context.Background())
	defer stop()
	go e.directory.Run(running)
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+readyPath, e.readyz)
	if err := p.Listen(p.Settings.BindAddrs.Readiness, ready); err != nil {
		return err
	}
	server := &http.Server{
		Handler: e, ReadHeaderTimeout: headerTimeout, ReadTimeout: 2 * headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeader,
	}
	server, err := p.ListenServer(p.Settings.BindAddrs.Frontend, server)
	if err != nil {
		return err
	}
	<-ctx.Done()
	close(e.leaving)
	grace := time.Duration(p.Settings.Bounds.GraceS * float64(time.Second))
	time.Sleep(min(leaveAfter, grace/2))
	last, cancel := context.WithTimeout(context.Background(), max(grace-leaveAfter-shutdownSlack, shutdownSlack))
	defer cancel()
	return ignoreTimeout(server.Shutdown(last))
}

func ignoreTimeout(err error) error {
	if err == context.DeadlineExceeded {
		return nil
	}
	return err
}

// isLeaving reports whether this scheduler was told to end.
func (e *Edge) isLeaving() bool {
	select {
	case <-e.leaving:
		return true
	default:
		return false
	}
}

// readyz says whether new connections are welcome: there is a configuration, and a core scheduler in touch with
// the majority was heard a moment ago.
func (e *Edge) readyz(w http.ResponseWriter, _ *http.Request) {
	table, _, age := e.directory.Table()
	if table == nil || age > readyFor || e.isLeaving() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
