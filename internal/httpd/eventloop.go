package httpd

import (
	"time"

	"github.com/panjf2000/gnet/v2"

	"sedgevale/internal/evloop"
	"sedgevale/internal/unbounded"
)

// eventLoop is a gnet event loop with its connections. All fields except tasks must be used on its
// goroutine only.
type eventLoop struct {
	loop  gnet.EventLoop
	tasks *unbounded.Queue[func()]
	// The connections in each state, in the order in which they entered it.
	newConns, idle, reading, closing connList
	unread                           map[*Conn]struct{} // connections with unsent parts of responses
}

func (s *Server) eventLoopFor(loop gnet.EventLoop) *eventLoop {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.eventLoops[loop]
	if l == nil {
		l = &eventLoop{loop: loop, tasks: evloop.NewFunctionQueue(loop), unread: map[*Conn]struct{}{}}
		s.eventLoops[loop] = l
	}
	return l
}

// closeIdle gracefully closes up to n connections without a request: first idle connections, then connections that have
// not received any byte. It skips connections younger than minNewConnAge, whose first request is probably on
// its way, and connections with unread bytes.
func (l *eventLoop) closeIdle(n int) {
	now := time.Now()
	for _, list := range []*connList{&l.idle, &l.newConns} {
		for c := list.first; n > 0 && c != nil; {
			next := c.next
			if list == &l.newConns && now.Sub(c.opened) <= minNewConnAge {
				return
			}
			if !c.hasUnread() {
				c.closeGracefully()
				n--
			}
			c = next
		}
	}
}

// evict closes up to n connections without a request immediately, because file descriptors are exhausted, and returns
// how many it closed. Unlike closeIdle it also closes connections in stateClosing that never sent a complete request, and
// connections younger than minNewConnAge, oldest first. It skips connections with unread bytes.
func (l *eventLoop) evict(n int) (closed int) {
	for _, list := range []*connList{&l.closing, &l.idle, &l.newConns} {
		for c := list.first; closed < n && c != nil; {
			next := c.next
			if (list != &l.closing || !c.received) && !c.hasUnread() {
				l.close(c)
				closed++
			}
			c = next
		}
	}
	return closed
}

// sweep closes the connections whose deadlines have passed.
func (l *eventLoop) sweep() {
	now := time.Now()
	l.sweepUnread(now)
	for c := l.newConns.first; c != nil && now.After(c.deadline); c = l.newConns.first {
		c.closeGracefully()
	}
	for c := l.idle.first; c != nil && c.server.limits.Idle > 0 && now.After(c.deadline); c = l.idle.first {
		c.closeGracefully()
	}
	for c := l.reading.first; c != nil; { // not sorted by deadline, because the deadline of a first request counts from the connect time
		next := c.next
		if now.After(c.deadline) {
			c.reject(408, "the request did not come in time")
		}
		c = next
	}
	for c := l.closing.first; c != nil; { // not sorted by deadline, because lingerTimeout is longer than closeTimeout
		next := c.next
		if now.After(c.deadline) {
			l.close(c)
		} else {
			c.shutdown()
		}
		c = next
	}
}

func (l *eventLoop) close(c *Conn) { _ = l.loop.Close(c.conn) }

// connList is a doubly linked list of connections in insertion order.
type connList struct {
	first, last *Conn
	n           int
}

func (l *connList) push(c *Conn) {
	c.list, c.prev, c.next = l, l.last, nil
	if l.last != nil {
		l.last.next = c
	} else {
		l.first = c
	}
	l.last = c
	l.n++
}

func (l *connList) remove(c *Conn) {
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
	c.list, c.prev, c.next = nil, nil, nil
}
