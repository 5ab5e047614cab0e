// Package node holds what all roles of the system share: settings, logs, listeners, signals, metrics and limits.
package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	"sedgevale/internal/system/rpc"
	"sedgevale/internal/system/settings"
	"sedgevale/workeragent"
)

const (
	maxSettingsReads      = 100 // at the start
	maxSettingsRereads    = 5   // after SIGHUP
	settingsRetryInterval = 50 * time.Millisecond

	memoryLimitFraction = 0.7 // of limits.memory_mb, above which the garbage collector runs more often

	idleTimeout       = 30 * time.Second
	headerTimeout     = 5 * time.Second
	maxBindAttempts   = 40
	bindRetryInterval = 50 * time.Millisecond

	maxWorkerLease = 4 * time.Second
	agentLease     = 8 * time.Second
)

// Process is a running role.
type Process struct {
	Settings *settings.Settings
	Logger   logr.Logger
	Client   *rpc.Client
	current  atomic.Pointer[settings.Settings]
	metrics  *prometheus.Registry // nil if they are not served
	listen   func(address string) (net.Listener, error)

	mu      sync.Mutex // guards servers
	servers []*http.Server
	serving sync.WaitGroup // the goroutines of servers
}

// NewProcess returns a process on the network of dial and listen. Run makes one on TCP; tests simulate a network.
func NewProcess(s *settings.Settings, logger logr.Logger, dial rpc.Dial, listen func(string) (net.Listener, error)) *Process {
	p := &Process{Settings: s, Logger: logger, Client: rpc.NewClient(dial), listen: listen}
	p.current.Store(s)
	return p
}

// Close closes all listeners and connections and waits for the goroutines that serve them.
func (p *Process) Close() {
	p.mu.Lock()
	for _, server := range p.servers {
		_ = server.Close() // the process ends; a listener that fails to close holds nothing up
	}
	p.Client.Close()
	p.mu.Unlock()
	p.serving.Wait()
}

// ErrKilled as the cause of a role's context makes the role end at once, without a graceful shutdown, as a loss of power
// would.
var ErrKilled = errors.New("killed")

// Role serves until its context ends.
type Role func(context.Context, *Process) error

// Options are command-line options of a process.
type Options struct {
	Verbose     bool // log at debug level
	Metrics     bool // serve metrics at the last port of port_range
	MetricsPort int  // serve metrics at this port unless it is 0
}

// Run reads the settings and runs a role until SIGTERM or SIGINT. On SIGHUP it reads the settings again.
func Run(role Role, options Options) error {
	level := slog.LevelInfo
	if options.Verbose {
		level = slog.LevelDebug
	}
	handler := slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})
	logger := logr.FromSlogHandler(handler)
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	path := settings.Path()
	read, err := settings.ReadRetrying(ctx, path, maxSettingsReads, settingsRetryInterval)
	if err != nil {
		return err
	}
	if read.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(read.Limits.MemoryMB) * memoryLimitFraction * (1 << 20)))
	}
	listen := func(address string) (net.Listener, error) { return new(net.ListenConfig).Listen(ctx, "tcp4", address) }
	p := NewProcess(read, logger.WithName(read.Node), rpc.DialTCP(), listen)
	if options.Metrics || options.MetricsPort != 0 {
		if err := p.serveMetrics(ctx, options.MetricsPort); err != nil {
			return err
		}
	}
	var reloading sync.WaitGroup
	reloading.Go(func() { p.reload(ctx, path, hangup) })
	err = role(ctx, p)
	cancel()
	reloading.Wait()
	return err
}

// reload reads the settings again at each SIGHUP until ctx ends. A file that is invalid changes nothing.
func (p *Process) reload(ctx context.Context, path string, hangup <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		}
		read, err := settings.ReadRetrying(ctx, path, maxSettingsRereads, settingsRetryInterval)
		if err != nil {
			p.Logger.Error(err, "settings not reloaded")
			continue
		}
		p.current.Store(read)
		p.Logger.Info("settings reloaded")
	}
}

// CurrentSettings returns the newest settings. Only the seeds take effect after the start.
func (p *Process) CurrentSettings() *settings.Settings { return p.current.Load() }

// Listen serves HTTP at an address in the background, until Close. It retries for 2 s while the address is in use.
func (p *Process) Listen(ctx context.Context, address string, handler http.Handler) error {
	_, err := p.ListenServer(ctx, address, &http.Server{Handler: handler})
	return err
}

// ListenServer is like Listen, for a server with settings of its own.
func (p *Process) ListenServer(ctx context.Context, address string, server *http.Server) (*http.Server, error) {
	if address == "" {
		return nil, errors.New("no address to listen on in bind_addrs")
	}
	listener, err := p.bind(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if server.IdleTimeout == 0 {
		server.IdleTimeout = idleTimeout
	}
	if server.ReadHeaderTimeout == 0 {
		server.ReadHeaderTimeout = headerTimeout
	}
	server.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)
	p.mu.Lock()
	p.servers = append(p.servers, server)
	p.mu.Unlock()
	p.serving.Go(func() { _ = server.Serve(listener) }) // returns once the server is closed
	return server, nil
}

// bind opens a listener, with retries until ctx ends.
func (p *Process) bind(ctx context.Context, address string) (listener net.Listener, err error) {
	retry := time.NewTicker(bindRetryInterval)
	defer retry.Stop()
	for range maxBindAttempts {
		listener, err = p.listen(address)
		if err == nil {
			return listener, nil
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-retry.C:
		}
	}
	return nil, err
}

// LeaseTiming returns the leases of workers and their agents, within hold_max_ms.
func LeaseTiming(s *settings.Settings) workeragent.Timing {
	bound := time.Duration(s.Bounds.MaxLeaseMS) * time.Millisecond
	return workeragent.Timing{WorkerLease: min(maxWorkerLease, bound), AgentLease: agentLease}
}
