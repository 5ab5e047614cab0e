// Package node is what all roles of the system share: settings, logs, listeners, signals and limits.
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
	settingsTries = 100
	settingsPause = 50 * time.Millisecond
	memoryPart    = 0.7 // of the limit, from which on the garbage collector works harder
	idleTimeout   = 30 * time.Second
	headerTimeout = 5 * time.Second
	bindTries     = 40
	bindPause     = 50 * time.Millisecond

	longestHold  = 4 * time.Second
	longestLease = 8 * time.Second
)

// Process is a running role.
type Process struct {
	Settings *settings.Settings
	Logger   logr.Logger
	Client   *rpc.Client
	current  atomic.Pointer[settings.Settings]
	metrics  *prometheus.Registry // nil where they are off
	listen   func(address string) (net.Listener, error)
	mu       sync.Mutex
	servers  []*http.Server
}

// NewProcess returns a process on a network of its own, as tests have it.
func NewProcess(s *settings.Settings, logger logr.Logger, dial rpc.Dial, listen func(string) (net.Listener, error)) *Process {
	p := &Process{Settings: s, Logger: logger, Client: rpc.NewClient(dial), listen: listen}
	p.current.Store(s)
	return p
}

func listenTCP(address string) (net.Listener, error) { return net.Listen("tcp4", address) }

// Close ends all listeners and connections.
func (p *Process) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, server := range p.servers {
		_ = server.Close()
	}
	p.Client.Close()
}

// ErrKilled as the cause of a role's context has it end at once, as if the machine had lost power.
var ErrKilled = errors.New("killed")

// Role serves until its context ends.
type Role func(context.Context, *Process) error

// Options are an operator's choices for a process.
type Options struct {
	Verbose     bool // log more
	Metrics     bool // serve metrics at the last port of port_range
	MetricsPort int  // serve metrics at this port, where it is not 0
}

// Run reads the settings and runs a role until SIGTERM or SIGINT. SIGHUP reads the settings again.
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
	read, err := settings.ReadRetrying(path, settingsTries, settingsPause)
	if err != nil {
		return err
	}
	if read.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(read.Limits.MemoryMB) * memoryPart * (1 << 20)))
	}
	p := NewProcess(read, logger.WithName(read.Node), rpc.DialTCP(), listenTCP)
	if options.Metrics || options.MetricsPort != 0 {
		if err := p.serveMetrics(options.MetricsPort); err != nil {
			return err
		}
	}
	go p.reread(ctx, path, hangup)
	return role(ctx, p)
}

// reread takes the settings again at each SIGHUP. A file that cannot be read changes nothing.
func (p *Process) reread(ctx context.Context, path string, hangup <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		}
		read, err := settings.ReadRetrying(path, 5, settingsPause)
		if err != nil {
			p.Logger.Error(err, "settings stay as they were")
			continue
		}
		p.current.Store(read)
		p.Logger.Info("settings read again")
	}
}

// Current returns the newest settings, of which only the seeds are used after the start.
func (p *Process) Current() *settings.Settings { return p.current.Load() }

// Listen serves HTTP at an address in the background. An address that is still taken is tried again for a while.
func (p *Process) Listen(address string, handler http.Handler) error {
	_, err := p.ListenServer(address, &http.Server{Handler: handler})
	return err
}

// ListenServer is Listen for a server with settings of its own.
func (p *Process) ListenServer(address string, server *http.Server) (*http.Server, error) {
	if address == "" {
		return nil, errors.New("no address to listen on in bind_addrs")
	}
	var listener net.Listener
	var err error
	for range bindTries {
		listener, err = p.listen(address)
		if err == nil {
			break
		}
		time.Sleep(bindPause)
	}
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
	go func() { _ = server.Serve(listener) }()
	return server, nil
}

// Timing returns how long workers may hold on, within the deployment's bound.
func Timing(s *settings.Settings) workeragent.Timing {
	most := time.Duration(s.Bounds.HoldMaxMS) * time.Millisecond
	return workeragent.Timing{Hold: min(longestHold, most), Lease: longestLease}
}
