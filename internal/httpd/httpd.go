// Package httpd is the client side's ground: an HTTP/1.1 server on gnet's event
// loops. It decides nothing; what a request means is its Handler's business.
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
)

// The server's bounds.
const (
	MaxBody      = 64 << 10
	maxAhead     = MaxBody + http1.MaxHead // bytes a client may send before its turn
	firstWait    = 2 * time.Second         // from connecting, for the first byte
	slowWait     = 2500 * time.Millisecond // from connecting, for the first request to come whole: some need 2 s
	readTimeout  = 2 * time.Second         // for a later request that has begun to come
	lingerFor    = 2 * time.Second         // for a client to read the last answer
	gracefulFor  = 300 * time.Millisecond  // for a client to end a connection that we end between two requests
	lingerBytes  = 1 << 20                 // of what it still sends meanwhile
	unheardLeast = 300 * time.Millisecond  // before a connection may be closed unheard, where descriptors run short
	sweepEvery   = 200 * time.Millisecond
	readBuffer   = 32 << 10
	writeBuffer  = 64 << 10
	eventLoopCap = 64
	takenWait    = 200 * time.Millisecond
	idleAtOnce   = 8 // closed when a connection cannot be accepted
)

// Request is one request of a client. At is when its last byte came.
type Request struct {
	*http1.Head
	Body []byte
	At   time.Time
}

// Handler deals with requests. Its methods are called on the connection's event
// loop and must not block. After Serve the connection is the request's until
// Respond, or EndStream, has been called.
type Handler interface {
	Serve(*Conn, *Request)
	// Gone tells that the client has closed the connection of a request that
	// was not answered, or of a stream that has not ended.
	Gone(*Conn)
}

// Server is an HTTP/1.1 server.
type Server struct {
	gnet.BuiltinEventEngine
	addr     string
	loops    int
	handler  Handler
	limits   Limits
	budget   *fdlimit.Budget
	log      *slog.Logger
	client   *gnet.Client
	acceptor *acceptor
	stopped  chan struct{}
	draining atomic.Bool
	clients  atomic.Int64
	mu       sync.Mutex
	lanes    map[gnet.EventLoop]*lane
}

// Limits bound what clients may do. The zero value has the usual ones.
type Limits struct {
	First time.Duration // from connecting, for the first byte
	Slow  time.Duration // from connecting, for the first request to come whole
	Read  time.Duration // for a later request to come whole
	Idle  time.Duration // between two requests; 0: as long as descriptors last
}

// Overflower is a Handler that deals with bodies beyond MaxBody itself. Overflow is called
// on the connection's event loop with what has come, in place of Serve; the connection
// has been taken off the loop.
type Overflower interface {
	Overflow(q *Request, d *Detached)
}

// Detached is a connection that was taken off its event loop, for work that waits: a body
// that must not be read faster than it is passed on, or a tunnel.
type Detached struct {
	net.Conn
	Parser *http1.Parser // where it stands in the request
	Rest   []byte        // read and not yet parsed
	server *Server
	opened time.Time
	once   sync.Once
}

// New returns a Server that is not yet listening.
func New(addr string, loops int, handler Handler, b *fdlimit.Budget, log *slog.Logger) *Server {
	return NewLimited(addr, loops, handler, Limits{}, b, log)
}

// NewLimited returns a Server with limits of its own.
func NewLimited(addr string, loops int, handler Handler, limits Limits, b *fdlimit.Budget, log *slog.Logger) *Server {
	for _, l := range []struct {
		to    *time.Duration
		usual time.Duration
	}{{&limits.First, firstWait}, {&limits.Slow, slowWait}, {&limits.Read, readTimeout}} {
		if *l.to <= 0 {
			*l.to = l.usual
		}
	}
	s := &Server{addr: addr, loops: min(max(1, loops), eventLoopCap), handler: handler, limits: limits, budget: b, log: log,
		stopped: make(chan struct{}), lanes: map[gnet.EventLoop]*lane{}}
	b.OnShort(func(n int) { s.each(func(l *lane) { l.closeIdle(n) }) })
	return s
}

// Addr is the address that the server is for.
func (s *Server) Addr() string { return s.addr }

// Start serves on a listening socket that another process has passed on, or, where
// there is none, on one of its own. gnet accepts only on sockets that it has made
// itself, so connections are accepted here and enrolled with its event loops.
func (s *Server) Start(ctx context.Context, passed *net.TCPListener) error {
	if passed == nil {
		if taken(ctx, s.addr) {
			s.log.Warn("another process listens on the same address and hands no socket over, sharing the address", "addr", s.addr)
		}
		var err error
		if passed, err = listen(ctx, s.addr); err != nil {
			return err
		}
	}
	client, err := gnet.NewClient(s, gnet.WithNumEventLoop(s.loops), gnet.WithReadBufferCap(readBuffer),
		gnet.WithWriteBufferCap(writeBuffer), gnet.WithLogger(evloop.Quiet(s.log)))
	if err == nil {
		err = client.Start()
	}
	if err != nil {
		_ = passed.Close()
		return fmt.Errorf("event loops for %s: %w", s.addr, err)
	}
	s.client, s.acceptor = client, newAcceptor(passed)
	go s.acceptor.accept(s.enrol, s.cannotAccept)
	go s.sweeper()
	return nil
}

// enrol gives a connection to an event loop.
func (s *Server) enrol(c *net.TCPConn) {
	if _, err := s.client.EnrollContext(c, nil); err != nil {
		s.log.Warn("a new connection was not taken", "err", err)
		s.each(func(l *lane) { l.evict(idleAtOnce) }) // it needs a second descriptor for a moment
	}
}

func (s *Server) cannotAccept(err error) {
	s.log.Error("cannot accept connections, trying again", "addr", s.addr, "err", err)
	s.each(func(l *lane) { l.evict(idleAtOnce) })
}

// Listener is the listening socket, to be passed on.
func (s *Server) Listener() *net.TCPListener { return s.acceptor.listener }

// Pause leaves new connections to whoever shares the listening socket.
func (s *Server) Pause() { s.acceptor.pause() }

// Resume accepts again.
func (s *Server) Resume() { s.acceptor.goOn() }

// taken reports whether somebody listens on the address.
func taken(ctx context.Context, addr string) bool {
	dialer := net.Dialer{Timeout: takenWait}
	c, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// Drain makes each further answer the last of its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// Clients returns how many connections are open.
func (s *Server) Clients() int { return int(s.clients.Load()) }

// Alive calls f on each event loop that has served somebody, to show that they have
// their turns; where none has, at once.
func (s *Server) Alive(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := int64(len(s.lanes))
	if left == 0 {
		f()
		return
	}
	for _, l := range s.lanes {
		l.box.Put(func() {
			if atomic.AddInt64(&left, -1) == 0 {
				f()
			}
		})
	}
}

// CloseIdle closes the connections that carry no request: its sending first, so that a
// request which crosses that is read and dropped, and its client told by the end alone.
func (s *Server) CloseIdle() { s.each(func(l *lane) { l.closeIdle(math.MaxInt) }) }

// Refuse lets no further connection come up and ends those on which no request is due an
// answer, also those that have begun to send one.
func (s *Server) Refuse() {
	s.acceptor.close()
	s.each(func(l *lane) {
		l.closeIdle(math.MaxInt)
		for _, waiting := range []*list{&l.fresh, &l.reading} {
			for c := waiting.first; c != nil; c = waiting.first {
				c.closeGracefully()
			}
		}
	})
}

// Stop ends the server with all its connections.
func (s *Server) Stop() error {
	s.acceptor.close()
	close(s.stopped)
	if err := s.client.Stop(); err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("stopping the server on %s: %w", s.addr, err)
	}
	return nil
}

func (s *Server) each(f func(*lane)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.lanes {
		l.box.Put(func() { f(l) })
	}
}

func (s *Server) sweeper() {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			s.each((*lane).sweep)
		case <-s.stopped:
			return
		}
	}
}
