// Package httpd is an HTTP/1.1 server on gnet's event loops, for many connections that are
// mostly idle. It reads requests whole, bounds what clients may send and how long they may
// take, and leaves what a request means to its Handler.
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
	"sedgevale/internal/taskgroup"
)

// MaxBody is the longest body, in bytes, that is read for a Handler.
const MaxBody = 64 << 10

const (
	maxPipelined        = MaxBody + http1.MaxHeadBytes // bytes a client may send while a request of its is served
	firstByteTimeout    = 2 * time.Second              // from connecting
	firstRequestTimeout = 2500 * time.Millisecond      // from connecting, for the whole request: some clients need 2 s
	requestTimeout      = 2 * time.Second              // from its first byte, for a later request
	lingerTimeout       = 2 * time.Second              // for a client to read the last response
	closeTimeout        = 300 * time.Millisecond       // for a client to close an idle connection that the server ends
	maxLingerBytes      = 1 << 20                      // that a client may still send meanwhile
	minFreshAge         = 300 * time.Millisecond       // of a connection without any byte, before it is closed for lack of descriptors
	sweepInterval       = 200 * time.Millisecond
	readBuffer          = 32 << 10 // bytes
	writeBuffer         = 64 << 10 // bytes
	maxEventLoops       = 64
	probeTimeout        = 200 * time.Millisecond // for a connection to the own address, to see who listens there
	evictBatch          = 8                      // connections closed when one cannot be accepted
)

// Request is a request that has come whole. At is when its last byte came.
type Request struct {
	*http1.Head
	Body []byte
	At   time.Time
}

// Handler answers requests. Its methods are called on the connection's event loop and must
// not block. After Serve no further request of the connection is read until Respond, EndBody
// or EndStream has been called.
type Handler interface {
	Serve(*Conn, *Request)
	// Disconnected is called when a connection is closed whose request was not answered, or whose
	// stream has not ended.
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
	log         *slog.Logger
	client      *gnet.Client
	acceptor    *acceptor
	goroutines  *taskgroup.Group // those that accept, sweep and reattach connections; Stop waits for them
	draining    atomic.Bool
	clients     atomic.Int64
	mu          sync.Mutex // guards eventLoops
	eventLoops  map[gnet.EventLoop]*eventLoop
}

// Limits bound how long clients may take. Zero stands for the default, but for Idle.
type Limits struct {
	FirstByte    time.Duration // from connecting, for the first byte
	FirstRequest time.Duration // from connecting, for the first request to come whole
	Request      time.Duration // for a later request to come whole
	Idle         time.Duration // between two requests; 0: as long as descriptors last
}

// BodyOverflowHandler is a Handler that reads bodies beyond MaxBody itself. Overflow is called on the
// connection's event loop with what has come, in place of Serve; the connection has been
// taken off the loop.
type BodyOverflowHandler interface {
	Overflow(q *Request, d *Detached)
}

// Detached is a connection that was taken off its event loop, for work that blocks: a body
// that must not be read faster than it is forwarded, or a tunnel.
type Detached struct {
	net.Conn
	Parser   *http1.Parser // where it stands in the request
	Unparsed []byte        // read and not yet parsed
	server   *Server
	opened   time.Time
	once     sync.Once
}

// New returns a Server that is not yet listening.
func New(addr string, loops int, handler Handler, b *fdlimit.Limiter, log *slog.Logger) *Server {
	return NewLimited(addr, loops, handler, Limits{}, b, log)
}

// NewLimited returns a Server with limits of its own.
func NewLimited(addr string, loops int, handler Handler, limits Limits, b *fdlimit.Limiter, log *slog.Logger) *Server {
	for _, l := range []struct {
		to    *time.Duration
		usual time.Duration
	}{{&limits.FirstByte, firstByteTimeout}, {&limits.FirstRequest, firstRequestTimeout}, {&limits.Request, requestTimeout}} {
		if *l.to <= 0 {
			*l.to = l.usual
		}
	}
	s := &Server{addr: addr, loops: min(max(1, loops), maxEventLoops), handler: handler, limits: limits, descriptors: b, log: log,
		goroutines: taskgroup.New(context.Background()), eventLoops: map[gnet.EventLoop]*eventLoop{}}
	b.OnLow(func(n int) { s.onEachLoop(func(l *eventLoop) { l.closeIdle(n) }) })
	return s
}

// Addr returns the address that the server is for.
func (s *Server) Addr() string { return s.addr }

// Start serves on a listening socket that another process has passed on, or, if that is nil,
// on one of its own. The context is for making that; Stop ends the server. gnet accepts only
// on sockets that it has made itself, so connections are accepted here and registered with its
// event loops.
func (s *Server) Start(ctx context.Context, passed *net.TCPListener) error {
	if passed == nil {
		if isListening(ctx, s.addr) {
			s.log.Warn("another process listens on the same address and hands no socket over, sharing the address", "addr", s.addr)
		}
		var err error
		if passed, err = listen(ctx, s.addr); err != nil {
			return err
		}
	}
	client, err := gnet.NewClient(s, gnet.WithNumEventLoop(s.loops), gnet.WithReadBufferCap(readBuffer),
		gnet.WithWriteBufferCap(writeBuffer), gnet.WithLogger(evloop.ErrorLogger(s.log)))
	if err == nil {
		err = client.Start()
	}
	if err != nil {
		_ = passed.Close()
		return fmt.Errorf("event loops for %s: %w", s.addr, err)
	}
	s.client, s.acceptor = client, newAcceptor(passed)
	s.goroutines.Go(func(context.Context) { s.acceptor.accept(s.register, s.cannotAccept) })
	s.goroutines.Go(s.runSweeps)
	return nil
}

// register gives a connection to an event loop.
func (s *Server) register(c *net.TCPConn) {
	if _, err := s.client.EnrollContext(c, nil); err != nil {
		s.log.Warn("cannot register a new connection", "err", err)
		s.onEachLoop(func(l *eventLoop) { l.evict(evictBatch) }) // it needs a second descriptor for a moment
	}
}

func (s *Server) cannotAccept(err error) {
	s.log.Error("cannot accept connections, retrying", "addr", s.addr, "err", err)
	s.onEachLoop(func(l *eventLoop) { l.evict(evictBatch) })
}

// Listener returns the listening socket, to be passed on.
func (s *Server) Listener() *net.TCPListener { return s.acceptor.listener }

// PauseAccepting leaves new connections to the process that shares the listening socket.
func (s *Server) PauseAccepting() { s.acceptor.pauseAccepting() }

// ResumeAccepting accepts again.
func (s *Server) ResumeAccepting() { s.acceptor.resumeAccepting() }

// isListening reports whether a process listens on the address.
func isListening(ctx context.Context, addr string) bool {
	dialer := net.Dialer{Timeout: probeTimeout}
	c, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// Drain makes each further response the last of its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// Clients returns how many connections are open.
func (s *Server) Clients() int { return int(s.clients.Load()) }

// Ping calls f once each event loop that has had a connection has run a call; if there is none,
// immediately.
func (s *Server) Ping(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := int64(len(s.eventLoops))
	if left == 0 {
		f()
		return
	}
	for _, l := range s.eventLoops {
		l.tasks.Put(func() {
			if atomic.AddInt64(&left, -1) == 0 {
				f()
			}
		})
	}
}

// CloseIdle closes the connections that carry no request. It half-closes each first, so that
// a request which crosses that is read and dropped, and the connection is not reset.
func (s *Server) CloseIdle() { s.onEachLoop(func(l *eventLoop) { l.closeIdle(math.MaxInt) }) }

// Refuse accepts no further connection and ends those on which no response is due, also
// those that have begun to send a request.
func (s *Server) Refuse() {
	s.acceptor.close()
	s.onEachLoop(func(l *eventLoop) {
		l.closeIdle(math.MaxInt)
		for _, list := range []*connList{&l.fresh, &l.reading} {
			for c := list.first; c != nil; c = list.first {
				c.closeGracefully()
			}
		}
	})
}

// Stop closes the listening socket, waits until nothing is accepted any more, closes all connections, and ends the event
// loops.
func (s *Server) Stop() error {
	s.acceptor.close()
	s.goroutines.Shutdown()
	if err := s.client.Stop(); err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("stopping the server on %s: %w", s.addr, err)
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

// runSweeps closes connections whose deadlines have passed, until the context ends.
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
