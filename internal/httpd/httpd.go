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
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"sedgevale/internal/budget"
	"sedgevale/internal/evloop"
	"sedgevale/internal/http1"
	"sedgevale/internal/inbox"
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
	budget   *budget.Budget
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
func New(addr string, loops int, handler Handler, b *budget.Budget, log *slog.Logger) *Server {
	return NewLimited(addr, loops, handler, Limits{}, b, log)
}

// NewLimited returns a Server with limits of its own.
func NewLimited(addr string, loops int, handler Handler, limits Limits, b *budget.Budget, log *slog.Logger) *Server {
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
func (s *Server) Start(passed *net.TCPListener) error {
	if passed == nil {
		if taken(s.addr) {
			s.log.Warn("another process listens on the same address and passes nothing on, sharing it", "addr", s.addr)
		}
		var err error
		if passed, err = listen(s.addr); err != nil {
			return err
		}
	}
	client, err := gnet.NewClient(s, gnet.WithNumEventLoop(s.loops), gnet.WithReadBufferCap(readBuffer),
		gnet.WithWriteBufferCap(writeBuffer), gnet.WithLogger(evloop.Quiet(s.log)))
	if err == nil {
		err = client.Start()
	}
	if err != nil {
		passed.Close()
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
func taken(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, takenWait)
	if err == nil {
		c.Close()
	}
	return err == nil
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

// lane is one event loop: what is asked of it from outside, and its connections.
type lane struct {
	loop gnet.EventLoop
	box  *inbox.Box[func()]
	// The connections that are waited for, the longest first: to send anything at
	// all, to send a further request, to send the rest of one, to read the last answer.
	fresh, idle, reading, ending list
}

func (s *Server) laneOf(loop gnet.EventLoop) *lane {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.lanes[loop]
	if l == nil {
		l = &lane{loop: loop, box: evloop.NewBox(loop)}
		s.lanes[loop] = l
	}
	return l
}

// closeIdle closes so many connections that carry no request: those which may be
// kept for nothing, then those that have been silent since they were made. A new
// one is left alone, for its first request is on its way, and so is one on which a
// request has come that this loop has yet to read.
func (l *lane) closeIdle(most int) {
	now := time.Now()
	for _, silent := range []*list{&l.idle, &l.fresh} {
		for c := silent.first; most > 0 && c != nil; {
			next := c.next
			if silent == &l.fresh && now.Sub(c.opened) <= unheardLeast {
				return
			}
			if !c.unread() {
				c.closeGracefully()
				most--
			}
			c = next
		}
	}
}

// evict closes so many such connections at once, where descriptors are gone and whoever has
// them may not be waited for, and returns how many it has closed: also those that are new, the
// longest silent first. What is closed has nothing unread.
func (l *lane) evict(most int) (closed int) {
	for _, silent := range []*list{&l.ending, &l.idle, &l.fresh} {
		for c := silent.first; closed < most && c != nil; {
			next := c.next
			if !(silent == &l.ending && c.heard) && !c.unread() {
				l.close(c)
				closed++
			}
			c = next
		}
	}
	return closed
}

// sweep closes what has been waited for long enough.
func (l *lane) sweep() {
	now := time.Now()
	for c := l.fresh.first; c != nil && now.After(c.until); c = l.fresh.first {
		c.closeGracefully()
	}
	for c := l.idle.first; c != nil && c.srv.limits.Idle > 0 && now.After(c.until); c = l.idle.first {
		c.closeGracefully()
	}
	for c := l.reading.first; c != nil; { // not in the order of their times: a first request counts from connecting
		next := c.next
		if now.After(c.until) {
			c.fail(408, "the request did not come in time")
		}
		c = next
	}
	for c := l.ending.first; c != nil; { // nor here: a last answer is given longer to be read
		next := c.next
		if now.After(c.until) {
			l.close(c)
		} else {
			c.shutdown()
		}
		c = next
	}
}

func (l *lane) close(c *Conn) { _ = l.loop.Close(c.gc) }

type connState uint8

const (
	fresh   connState = iota // nothing has come yet
	idle                     // between two requests
	reading                  // part of a request has come
	busy                     // the request is the handler's
	ending                   // the last answer is out
	closed
)

// Conn is a client's connection. Its methods are for its event loop, but for
// Post.
type Conn struct {
	State any // the handler's

	gc         gnet.Conn
	srv        *Server
	lane       *lane
	parser     *http1.Parser
	body       []byte
	state      connState
	closeAfter bool
	detached   bool // its descriptor lives on elsewhere
	framing    Framing
	heard      bool // a request has come whole
	flooded    bool // far more came than one request, which is dropped
	opened     time.Time
	until      time.Time
	discarded  int // of a flood, and after the last answer
	prev, next *Conn
	in         *list
	out        []byte
}

// OnOpen is gnet's.
func (s *Server) OnOpen(gc gnet.Conn) ([]byte, gnet.Action) {
	c := &Conn{gc: gc, srv: s, lane: s.laneOf(gc.EventLoop()), parser: http1.NewParser(http1.Request),
		opened: time.Now()}
	gc.SetContext(c)
	c.setState(fresh)
	s.clients.Add(1)
	taken := s.budget.TakeClient()
	if !taken {
		c.setState(busy) // not to be the one that is closed for itself
		taken = c.lane.evict(1) > 0
		c.setState(fresh)
	}
	if !taken {
		// A descriptor more, and neither accepting nor dialling works, for anybody.
		// This one connection is the lesser loss.
		s.log.Error("no descriptors left, closing a new connection", "open", s.budget.Used())
		return nil, gnet.Close
	}
	return nil, gnet.None
}

// OnClose is gnet's.
func (s *Server) OnClose(gc gnet.Conn, _ error) gnet.Action {
	c, ok := gc.Context().(*Conn)
	if !ok {
		return gnet.None
	}
	s.budget.Release()
	s.clients.Add(-1)
	was := c.state
	c.setState(closed)
	if was == busy && !c.detached {
		s.handler.Gone(c)
	}
	return gnet.None
}

// OnTraffic is gnet's.
func (s *Server) OnTraffic(gc gnet.Conn) gnet.Action {
	if c, ok := gc.Context().(*Conn); ok {
		c.read()
	}
	return gnet.None
}

func (c *Conn) setState(to connState) {
	if c.in != nil {
		c.in.remove(c)
	}
	c.state = to
	switch to {
	case fresh:
		c.until = c.opened.Add(c.srv.limits.First)
		c.lane.fresh.push(c)
	case idle:
		if c.srv.limits.Idle > 0 {
			c.until = time.Now().Add(c.srv.limits.Idle)
		}
		c.lane.idle.push(c)
	case reading:
		c.until = c.opened.Add(c.srv.limits.Slow) // however the bytes trickle
		if c.heard {
			c.until = time.Now().Add(c.srv.limits.Read)
		}
		c.lane.reading.push(c)
	case ending:
		c.until = time.Now().Add(lingerFor)
		c.lane.ending.push(c)
	}
}

// read takes what has come, up to one request.
func (c *Conn) read() {
	for c.state != closed {
		if c.state == ending {
			n := c.gc.InboundBuffered()
			_, _ = c.gc.Discard(n)
			if c.discarded += n; c.discarded > lingerBytes { // it had time to read; the rest is not worth ours
				c.lane.close(c)
			}
			return
		}
		if c.state == busy {
			if n := c.gc.InboundBuffered(); n > maxAhead || c.flooded {
				c.flood(n)
			}
			return
		}
		buf, _ := c.gc.Peek(-1)
		if len(buf) == 0 && c.parser.Idle() {
			return
		}
		if c.state == idle || c.state == fresh {
			c.setState(reading)
		}
		n, ev, part, err := c.parser.Next(buf)
		if ev == http1.Body {
			if len(c.body)+len(part) > MaxBody {
				if over, ok := c.srv.handler.(Overflower); ok {
					c.body = append(c.body, part...)
					c.overflow(over, buf[n:])
					return
				}
				err = &http1.Error{Status: 413, Text: "body too large"}
			} else {
				c.body = append(c.body, part...)
			}
		}
		evloop.Take(c.gc, n)
		switch {
		case err != nil:
			var wrong *http1.Error
			if !errors.As(err, &wrong) {
				wrong = &http1.Error{Status: 400, Text: err.Error()}
			}
			c.fail(wrong.Status, wrong.Text)
			return
		case ev == http1.Headed:
			c.body = nil
			if c.parser.Head.Length > MaxBody {
				if over, ok := c.srv.handler.(Overflower); ok {
					c.overflow(over, buf[n:])
					return
				}
				c.fail(413, "body too large")
				return
			}
			if len(c.parser.Head.Get("Expect")) > 0 && !c.parser.Head.Old {
				_, _ = c.gc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
			}
		case ev == http1.Ended:
			c.setState(busy)
			c.heard = true
			head := c.parser.Head
			c.closeAfter = head.Close
			body := c.body
			c.body = nil
			c.srv.handler.Serve(c, &Request{Head: &head, Body: body, At: time.Now()})
		case ev == http1.More:
			return
		}
	}
}

// flood drops what a client sends far ahead of its turn. The request at hand still gets its
// answer, which is the last; but a client that goes on is not followed for long.
func (c *Conn) flood(n int) {
	if !c.flooded {
		c.flooded, c.closeAfter = true, true
		c.srv.log.Warn("a client sends far ahead of its turn, its answer will be the last")
	}
	_, _ = c.gc.Discard(n)
	if c.discarded += n; c.discarded > lingerBytes {
		c.lane.close(c)
	}
}

// unread reports whether something has come that the loop has yet to read.
func (c *Conn) unread() bool {
	if c.gc.InboundBuffered() > 0 {
		return true
	}
	var b [1]byte
	n, _, err := unix.Recvfrom(c.gc.Fd(), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == nil && n > 0
}

// closeGracefully ends a connection on which no answer is due.
func (c *Conn) closeGracefully() {
	c.setState(ending)
	c.until = time.Now().Add(gracefulFor)
	c.shutdown()
}

// fail answers what cannot be understood and ends the connection.
func (c *Conn) fail(status int, text string) {
	c.RespondLast(status, nil, append([]byte(text), '\n'))
}

// RespondLast answers the request and ends the connection.
func (c *Conn) RespondLast(status int, fields []http1.Field, body []byte) {
	c.closeAfter = true
	c.Respond(status, fields, body)
}

// Respond answers the request.
func (c *Conn) Respond(status int, fields []http1.Field, body []byte) {
	if c.state == closed {
		return
	}
	c.begin(status, fields)
	if status == 204 {
		c.out = append(c.out, "\r\n"...)
	} else {
		c.out = http1.AppendBody(c.out, body)
	}
	_, _ = c.gc.Write(c.out)
	c.finish()
}

// BeginStream sends a head whose body goes on until EndStream.
func (c *Conn) BeginStream(fields []http1.Field) {
	if c.state == closed {
		return
	}
	c.closeAfter = true // the end of the connection ends the body
	c.begin(200, fields)
	c.out = append(c.out, "\r\n"...)
	_, _ = c.gc.Write(c.out)
}

// Write sends a part of a stream.
func (c *Conn) Write(b []byte) {
	if c.state != closed {
		_, _ = c.gc.Write(b)
	}
}

// Unsent is how much of what was written the kernel has not taken yet.
func (c *Conn) Unsent() int {
	if c.state == closed {
		return 0
	}
	return c.gc.OutboundBuffered()
}

// Closed reports whether the connection is closed. A write can find that out.
func (c *Conn) Closed() bool { return c.state == closed }

// EndStream ends a stream.
func (c *Conn) EndStream() { c.finish() }

// Abort closes the connection at once.
func (c *Conn) Abort() {
	if c.state != closed {
		c.lane.close(c)
	}
}

func (c *Conn) begin(status int, fields []http1.Field) {
	c.closeAfter = c.closeAfter || c.srv.draining.Load()
	c.out = http1.AppendStatus(c.out[:0], status)
	for _, f := range fields {
		c.out = http1.AppendField(c.out, f.Name, f.Value)
	}
	if c.closeAfter {
		c.out = http1.AppendField(c.out, "Connection", "close")
	}
}

// finish makes the connection ready for the next request, or ends it. The end
// leaves the client time to read: closing with unread bytes about would reset
// the connection under the answer.
func (c *Conn) finish() {
	if c.state == closed {
		return
	}
	if !c.closeAfter {
		c.setState(idle)
		if most := c.srv.budget.Idle(); c.lane.idle.n > most {
			c.Post(func(*Conn) { c.lane.closeIdle(c.lane.idle.n - most) })
		}
		if c.gc.InboundBuffered() > 0 {
			c.Post((*Conn).read)
		}
		return
	}
	c.setState(ending)
	c.shutdown()
}

// shutdown ends our sending once all is out; sweep closes the rest.
func (c *Conn) shutdown() {
	if c.gc.OutboundBuffered() == 0 {
		_ = unix.Shutdown(c.gc.Fd(), syscall.SHUT_WR)
	}
}

// Post calls f on the connection's event loop unless it is closed by then. It
// may be called from anywhere.
func (c *Conn) Post(f func(*Conn)) {
	c.lane.box.Put(func() {
		if c.state != closed {
			f(c)
		}
	})
}

// list is a list of connections in the order in which they came to it.
type list struct {
	first, last *Conn
	n           int
}

func (l *list) push(c *Conn) {
	c.in, c.prev, c.next = l, l.last, nil
	if l.last != nil {
		l.last.next = c
	} else {
		l.first = c
	}
	l.last = c
	l.n++
}

func (l *list) remove(c *Conn) {
	l.n--
	if c.prev != nil {
		c.prev.next = c.next
	} else {
		l.first = c.next
	}
	if c.next != nil {
		c.next.prev = c.prev
	} else {
		l.last = c.prev
	}
	c.in, c.prev, c.next = nil, nil, nil
}
