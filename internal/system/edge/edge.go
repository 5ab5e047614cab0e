// Package edge is the scheduler that clients call: it finds the queue of a request and passes it on to the owner of
// the queue's shard.
package edge

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

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
	answers   *prometheus.CounterVec // by method and status
}

// Run serves until the context ends, and then until requests under way have ended.
func Run(ctx context.Context, p *node.Process) error {
	e := &Edge{
		settings: p.Settings, logger: p.Logger, client: p.Client, directory: directory.New(p, true),
		leaving: make(chan struct{}),
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sedgevale_edge_answers_total", Help: "Answers to clients.",
		}, []string{"method", "status"}),
	}
	p.Measure(e.answers)
	running, stop := context.WithCancel(context.Background())
	defer stop()
	go e.directory.Run(running)
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+readyPath, e.readyz)
	if err := p.Listen(ctx, p.Settings.BindAddrs.Readiness, ready); err != nil {
		return err
	}
	server := &http.Server{
		Handler: e.counted(), ReadHeaderTimeout: headerTimeout, ReadTimeout: 2 * headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeader,
	}
	server, err := p.ListenServer(ctx, p.Settings.BindAddrs.Frontend, server)
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

// counted counts the answers to clients.
func (e *Edge) counted() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		counting := &statusWriter{ResponseWriter: w, status: http.StatusOK}
		e.ServeHTTP(counting, r)
		e.answers.WithLabelValues(methodLabel(r.Method), strconv.Itoa(counting.status)).Inc()
	})
}

// methodLabel bounds what clients may make labels of.
func methodLabel(method string) string {
	switch method {
	case http.MethodGet, http.MethodPost, http.MethodDelete:
		return method
	}
	return "other"
}

// statusWriter remembers the status of an answer.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader sends a status.
func (s *statusWriter) WriteHeader(status int) {
	s.status = status
	s.ResponseWriter.WriteHeader(status)
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
