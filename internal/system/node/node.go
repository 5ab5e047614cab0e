// Package node provides the process runtime that all roles share: settings, logging, listeners, signal handling, metrics
// and resource limits.
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

	"sedgevale/internal/resourcequota"
	"sedgevale/internal/system/rpc"
	"sedgevale/internal/system/settings"
	"sedgevale/workeragent"
)

const (
	maxSettingsReadAttempts   = 100 // attempts to read the settings file at the start
	maxSettingsReloadAttempts = 5   // attempts to read the settings file after SIGHUP
	settingsRetryInterval     = 50 * time.Millisecond

	memoryLimitFraction = 0.7 // the soft memory limit of the Go runtime as a fraction of limits.memory_mb

	idleTimeout       = 30 * time.Second
	headerTimeout     = 5 * time.Second
	readTimeout       = 60 * time.Second // for a whole request, also a large one over a slow link
	writeTimeout      = 60 * time.Second // from the end of a request's head to the end of its answer
	maxHeaderBytes    = 16 << 10
	maxBindAttempts   = 40
	bindRetryInterval = 50 * time.Millisecond

	clientReceiveBytes   = 32 << 10 // socket buffer of the ports for clients, operators, workers and the platform
	internalReceiveBytes = 64 << 10 // socket buffer of the port for other schedulers, whose messages are larger

	maxWorkerLease = 4 * time.Second
	agentLease     = 8 * time.Second
)

// Process is the runtime of one role.
type Process struct {
	Settings *settings.Settings
	Logger   logr.Logger
	Client   *rpc.Client
	quota    *resourcequota.Quota // shared by all servers of the process
	current  atomic.Pointer[settings.Settings]
	metrics  *prometheus.Registry // nil if metrics are not served
	listen   func(address string) (net.Listener, error)

	mu      sync.Mutex // guards servers
	servers []*http.Server
	serving sync.WaitGroup // one for each goroutine that serves a listener
}

// NewProcess returns a process that uses dial and listen for all connections. Run uses TCP; tests use a simulated network.
func NewProcess(s *settings.Settings, logger logr.Logger, dial rpc.Dial, listen func(string) (net.Listener, error)) *Process {
	p := &Process{
		Settings: s, Logger: logger, Client: rpc.NewClient(dial), quota: resourcequota.New(quotaLimits(s)), listen: listen,
	}
	p.current.Store(s)
	return p
}

// quotaLimits returns the limits of what the process holds for its peers: those of the settings, or else those that follow from
// the memory and the descriptors of its machine.
func quotaLimits(s *settings.Settings) resourcequota.Limits {
	limits := resourcequota.LimitsFor(s.Limits.MemoryMB<<20, s.Limits.FileDescriptors)
	if s.ResourceQuota.RequestMB > 0 {
		limits.SetRequestBytes(s.ResourceQuota.RequestMB << 20)
	}
	if s.ResourceQuota.ConnectionMB > 0 {
		limits.ConnectionBytes = s.ResourceQuota.ConnectionMB << 20
	}
	if s.ResourceQuota.Connections > 0 {
		limits.Connections = s.ResourceQuota.Connections
	}
	return limits
}

// Close closes all listeners and connections and waits for the goroutines that serve them.
func (p *Process) Close() {
	p.mu.Lock()
	for _, server := range p.servers {
		_ = server.Close() // the process exits, which closes a listener that failed to close
	}
	p.Client.Close()
	p.mu.Unlock()
	p.serving.Wait()
}

// ErrKilled is a cancellation cause for a role's context that makes the role stop immediately, without a graceful
// shutdown. It simulates a power failure.
var ErrKilled = errors.New("killed")

// Role runs a scheduler until its context is cancelled.
type Role func(context.Context, *Process) error

// Options are command-line options of a process.
type Options struct {
	Verbose     bool // log at debug level
	Metrics     bool // serve metrics at the last port of port_range
	MetricsPort int  // serve metrics at this port unless it is 0
}

// Run reads the settings and runs a role until SIGTERM or SIGINT. SIGHUP reloads the settings.
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
	initial, err := settings.ReadRetrying(ctx, path, maxSettingsReadAttempts, settingsRetryInterval)
	if err != nil {
		return err
	}
	if initial.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(initial.Limits.MemoryMB) * memoryLimitFraction * (1 << 20)))
	}
	listen := func(address string) (net.Listener, error) { return new(net.ListenConfig).Listen(ctx, "tcp4", address) }
	p := NewProcess(initial, logger.WithName(initial.Node), rpc.DialTCP(), listen)
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

// reload reloads the settings on each SIGHUP until ctx is cancelled. An invalid file leaves the current settings in place.
func (p *Process) reload(ctx context.Context, path string, hangup <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		}
		reloaded, err := settings.ReadRetrying(ctx, path, maxSettingsReloadAttempts, settingsRetryInterval)
		if err != nil {
			p.Logger.Error(err, "failed to reload settings; keeping the current settings", "path", path)
			continue
		}
		p.current.Store(reloaded)
		p.Logger.Info("reloaded settings", "path", path)
	}
}

// CurrentSettings returns the settings as of the last reload. Only a change of the seeds takes effect without a restart.
func (p *Process) CurrentSettings() *settings.Settings { return p.current.Load() }

// Listen serves HTTP on an address in the background until Close. It retries for 2 s if the address cannot be bound.
func (p *Process) Listen(ctx context.Context, address string, handler http.Handler) error {
	_, err := p.ListenServer(ctx, address, &http.Server{Handler: handler})
	return err
}

// ListenServer is like Listen, but serves with the given server, which may set timeouts and limits.
func (p *Process) ListenServer(ctx context.Context, address string, server *http.Server) (*http.Server, error) {
	return p.listenServer(ctx, address, server, clientReceiveBytes)
}

// ListenInternal is like Listen, but serves other schedulers at the address for them.
func (p *Process) ListenInternal(ctx context.Context, handler http.Handler) error {
	_, err := p.listenServer(ctx, p.Settings.InternalAddress(), &http.Server{Handler: handler}, internalReceiveBytes)
	return err
}

// listenServer serves on an address whose connections have a socket buffer of the given size.
func (p *Process) listenServer(ctx context.Context, address string, server *http.Server, receive int) (*http.Server, error) {
	if address == "" {
		return nil, errors.New("bind_addrs: the address that this role listens on is missing")
	}
	listener, err := p.bind(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	setServerDefaults(server)
	listener = p.quota.Serve(server, listener, &resourcequota.Port{Receive: receive})
	server.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)
	p.mu.Lock()
	p.servers = append(p.servers, server)
	p.mu.Unlock()
	p.serving.Go(func() { _ = server.Serve(listener) }) // Serve returns once the server is closed
	return server, nil
}

// setServerDefaults sets the timeouts and limits of a server that are 0.
func setServerDefaults(server *http.Server) {
	for _, timeout := range []struct {
		value        *time.Duration
		defaultValue time.Duration
	}{
		{&server.IdleTimeout, idleTimeout}, {&server.ReadHeaderTimeout, headerTimeout}, {&server.ReadTimeout, readTimeout},
		{&server.WriteTimeout, writeTimeout},
	} {
		if *timeout.value == 0 {
			*timeout.value = timeout.defaultValue
		}
	}
	if server.MaxHeaderBytes == 0 {
		server.MaxHeaderBytes = maxHeaderBytes
	}
}

// bind opens a listener. It retries until it has made maxBindAttempts or ctx is cancelled.
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

// LeaseTiming returns the lease durations of workers and their agents. The worker lease is at most bounds.hold_max_ms.
func LeaseTiming(s *settings.Settings) workeragent.Timing {
	bound := time.Duration(s.Bounds.MaxLeaseMS) * time.Millisecond
	return workeragent.Timing{WorkerLease: min(maxWorkerLease, bound), AgentLease: agentLease}
}
