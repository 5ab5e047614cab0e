// Package httpd implements an HTTP/1.1 server on gnet event loops, for large numbers of mostly idle connections. It
// reads complete requests, limits their size and the time that clients may take, and passes them to a Handler.
package httpd

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"

	"sedgevale/internal/evloop"
	"sedgevale/internal/fdlimit"
	"sedgevale/internal/http1"
	"sedgevale/internal/resourcequota"
	"sedgevale/internal/taskgroup"
)

// MaxBody is the maximum size in bytes of a body that is read for a Handler.
const MaxBody = 64 << 10

const (
	maxPipelined        = MaxBody + http1.MaxHeadBytes // bytes that a client may send ahead while its request is being served
	firstByteTimeout    = 2 * time.Second              // from connecting to the first byte
	firstRequestTimeout = 2500 * time.Millisecond      // from connecting to the end of the first request; some clients need 2 s
	requestTimeout      = 2 * time.Second              // from the first to the last byte of a later request
	lingerTimeout       = 2 * time.Second              // time for a client to read the last response
	closeTimeout        = 300 * time.Millisecond       // time for a client to close an idle connection that the server has half-closed
	maxLingerBytes      = 1 << 20                      // bytes that are discarded before a connection is closed immediately
	minNewConnAge       = 300 * time.Millisecond       // age from which closeIdle closes a connection that has not received any byte
	sweepInterval       = 200 * time.Millisecond       // interval between checks for expired deadlines
	readBufferSize      = 32 << 10                     // bytes
	writeBufferSize     = 64 << 10                     // bytes
	maxEventLoops       = 64
	probeTimeout        = 200 * time.Millisecond // timeout for connecting to the server's address to detect another listener
	evictBatchSize      = 8                      // maximum number of connections that each event loop closes after a failed accept
)

// Request is a complete request. At is the time at which its last byte was received.
type Request struct {
	*http1.Head
	Body []byte
	At   time.Time
}

// Handler responds to requests. Its methods are called on the connection's event loop and must
// not block. After Serve, no further request of the connection is read until Respond, EndBody
// or EndStream has been called.
type Handler interface {
	Serve(*Conn, *Request)
	// Disconnected is called when a connection is closed before the response to its request, or its
	// stream, has ended.
	Disconnected(*Conn)
}

// Server is an HTTP/1.1 server.
type Server struct {
	gnet.BuiltinEventEngine
	addr        string
	loops       int
	handler     Handler
	limits      Limits
	descriptors *fdlimit.Limiter
	quota       *Quota // nil if the memory for clients is not bounded
	log         *slog.Logger
	client      *gnet.Client
	acceptor    *acceptor
	goroutines  *taskgroup.Group // goroutines that accept, sweep and reattach connections; Stop waits for them
	draining    atomic.Bool
	clients     atomic.Int64
	mu          sync.Mutex // guards eventLoops
	eventLoops  map[gnet.EventLoop]*eventLoop
}

// Limits are timeouts for clients. For all fields except Idle, 0 selects the default.
type Limits struct {
	FirstByte    time.Duration // from connecting to the first byte
	FirstRequest time.Duration // from connecting to the end of the first request
	Request      time.Duration // from the first to the last byte of a later request
	Idle         time.Duration // between two requests; 0 for no limit while file descriptors are available
}

// BodyOverflowHandler is a Handler that reads bodies larger than MaxBody itself. For such a request, Overflow is called
// in place of Serve on the connection's event loop, with the part of the body received so far. The connection has
// already been detached from the loop.
type BodyOverflowHandler interface {
	Overflow(q *Request, d *Detached)
}

// Detached is a connection that was detached from its event loop for blocking I/O: to forward a body
// with backpressure, or for a tunnel.
type Detached struct {
	net.Conn
	Parser      *http1.Parser // parser with the state of the current request
	Unparsed    []byte        // bytes read but not yet parsed
	server      *Server
	opened      time.Time
	reservation *resourcequota.Reservation // its part of the quota
	once        sync.Once
}

// New returns a Server that is not yet listening.
func New(addr string, loops int, handler Handler, b *fdlimit.Limiter, log *slog.Logger) *Server {
	return NewWithLimits(addr, loops, handler, Limits{}, b, log)
}

// NewWithLimits returns a Server with the given limits that is not yet listening.
func NewWithLimits(addr string, loops int, handler Handler, limits Limits, b *fdlimit.Limiter, log *slog.Logger) *Server {
	for _, l := range []struct {
		limit        *time.Duration
		defaultValue time.Duration
	}{{&limits.FirstByte, firstByteTimeout}, {&limits.FirstRequest, firstRequestTimeout}, {&limits.Request, requestTimeout}} {
		if *l.limit <= 0 {
			*l.limit = l.defaultValue
		}
	}
	s := &Server{addr: addr, loops: min(max(1, loops), maxEventLoops), handler: handler, limits: limits, descriptors: b, log: log,
		goroutines: taskgroup.New(context.Background()), eventLoops: map[gnet.EventLoop]*eventLoop{}}
	b.OnLow(func(n int) { s.onEachLoop(func(l *eventLoop) { l.closeIdle(n) }) })
	return s
}

// Addr returns the address that the server was created for.
func (s *Server) Addr() string { return s.addr }

// Start serves on inherited, a listening socket that another process has passed on, or on a new socket if inherited is
// nil. ctx applies to opening the socket only; Stop stops the server. gnet accepts only on sockets that it has opened
// itself, so the Server accepts connections and registers them with gnet's event loops.
func (s *Server) Start(ctx context.Context, inherited *net.TCPListener) error {
	if inherited == nil {
		if isListening(ctx, s.addr) {
			s.log.Warn("another process listens on the address and passed no socket on; sharing the address with it", "addr", s.addr)
		}
		var err error
		if inherited, err = listenReusePort(ctx, s.addr); err != nil {
			return err
		}
	}
	if s.quota != nil {
		resourcequota.LimitSocket(inherited, s.quota.Receive, s.quota.Backlog)
	}
	client, err := gnet.NewClient(s, gnet.WithNumEventLoop(s.loops), gnet.WithReadBufferCap(readBufferSize),
		gnet.WithWriteBufferCap(writeBufferSize), gnet.WithLogger(evloop.ErrorLogger(s.log)))
	if err == nil {
		err = client.Start()
	}
	if err != nil {
		_ = inherited.Close()
		return fmt.Errorf("cannot start the event loops for %s: %w", s.addr, err)
	}
	s.client, s.acceptor = client, newAcceptor(inherited)
	s.goroutines.Go(func(context.Context) { s.acceptor.accept(s.register, s.onAcceptError) })
	s.goroutines.Go(s.runSweeps)
	return nil
}

// register adds a new connection to an event loop.
func (s *Server) register(c *net.TCPConn) {
	if s.quota != nil {
		resourcequota.LimitUnsent(c)
	}
	if _, err := s.client.EnrollContext(c, nil); err != nil {
		s.log.Warn("cannot register a new connection with an event loop; evicting idle connections", "err", err)
		s.onEachLoop(func(l *eventLoop) { l.evict(evictBatchSize) }) // registering temporarily needs a second descriptor
	}
}

func (s *Server) onAcceptError(err error) {
	s.log.Error("cannot accept a connection; evicting idle connections and retrying", "addr", s.addr, "err", err)
	s.onEachLoop(func(l *eventLoop) { l.evict(evictBatchSize) })
}

// Listener returns the listening socket, which can be passed on to another process.
func (s *Server) Listener() *net.TCPListener { return s.acceptor.listener }

// PauseAccepting stops accepting, so that another process that shares the listening socket receives new connections.
func (s *Server) PauseAccepting() { s.acceptor.pauseAccepting() }

// ResumeAccepting resumes accepting after PauseAccepting.
func (s *Server) ResumeAccepting() { s.acceptor.resumeAccepting() }

// isListening reports whether a process is listening on the address.
func isListening(ctx context.Context, addr string) bool {
	dialer := net.Dialer{Timeout: probeTimeout}
	c, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// Drain closes each connection after its next response.
func (s *Server) Drain() { s.draining.Store(true) }

// Clients returns the number of open client connections.
func (s *Server) Clients() int { return int(s.clients.Load()) }

// Ping calls f once every event loop that has had a connection has run a posted task, or immediately if there is none.
func (s *Server) Ping(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pending := int64(len(s.eventLoops))
	if pending == 0 {
		f()
		return
	}
	for _, l := range s.eventLoops {
		l.tasks.Put(func() {
			if atomic.AddInt64(&pending, -1) == 0 {
				f()
			}
		})
	}
}

// CloseIdle closes the connections without a request. It half-closes them first, so that
// a request that the client sends at the same time is discarded without a connection reset.
func (s *Server) CloseIdle() { s.onEachLoop(func(l *eventLoop) { l.closeIdle(math.MaxInt) }) }

// Refuse stops accepting for good and closes the connections on which no response is outstanding, including those on
// which part of a request has been received. It keeps connections between two requests that have unread bytes, because
// these may be the next request.
func (s *Server) Refuse() {
	s.acceptor.close()
	s.onEachLoop(func(l *eventLoop) {
		l.closeIdle(math.MaxInt)
		for _, list := range []*connList{&l.newConns, &l.reading} {
			for c := list.first; c != nil; c = list.first {
				c.closeGracefully()
			}
		}
	})
}

// Stop closes the listening socket, waits for the server's goroutines, closes all connections and stops the event
// loops.
func (s *Server) Stop() error {
	s.acceptor.close()
	s.goroutines.Shutdown()
	if err := s.client.Stop(); err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("cannot stop the event loops for %s: %w", s.addr, err)
	}
	return nil
}

// onEachLoop calls f on each event loop that has had a connection.
func (s *Server) onEachLoop(f func(*eventLoop)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.eventLoops {
		l.tasks.Put(func() { f(l) })
	}
}

// runSweeps periodically closes connections whose deadlines have passed, until ctx is done.
func (s *Server) runSweeps(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.onEachLoop((*eventLoop).sweep)
		case <-ctx.Done():
			return
		}
	}
}
