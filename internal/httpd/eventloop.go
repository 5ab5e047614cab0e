package httpd

import (
	"time"

	"github.com/panjf2000/gnet/v2"

	"sedgevale/internal/evloop"
	"sedgevale/internal/unbounded"
)

// eventLoop is one event loop with its connections. But for tasks its fields are its own
// goroutine's.
type eventLoop struct {
	loop  gnet.EventLoop
	tasks *unbounded.Queue[func()]
	// The connections in each state, the longest first.
	fresh, idle, reading, ending connList
}

func (s *Server) eventLoopOf(loop gnet.EventLoop) *eventLoop {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.eventLoops[loop]
	if l == nil {
		l = &eventLoop{loop: loop, tasks: evloop.NewFunctionQueue(loop)}
		s.eventLoops[loop] = l
	}
	return l
}

// closeIdle closes up to n connections that carry no request: idle ones, then those on which
// nothing has come since they were made. A new one is left alone, for its first request is on
// its way, and so is one on which a request has come that this loop has yet to read.
func (l *eventLoop) closeIdle(n int) {
	now := time.Now()
	for _, list := range []*connList{&l.idle, &l.fresh} {
		for c := list.first; n > 0 && c != nil; {
			next := c.next
			if list == &l.fresh && now.Sub(c.opened) <= minFreshAge {
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

// evict closes up to n such connections at once, without a graceful end, where descriptors
// have run out, and returns how many it has closed. New ones are closed too, the longest
// silent first. What is closed has nothing unread.
func (l *eventLoop) evict(n int) (closed int) {
	for _, list := range []*connList{&l.ending, &l.idle, &l.fresh} {
		for c := list.first; closed < n && c != nil; {
			next := c.next
			if (list != &l.ending || !c.received) && !c.hasUnread() {
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
	for c := l.fresh.first; c != nil && now.After(c.deadline); c = l.fresh.first {
		c.closeGracefully()
	}
	for c := l.idle.first; c != nil && c.server.limits.Idle > 0 && now.After(c.deadline); c = l.idle.first {
		c.closeGracefully()
	}
	for c := l.reading.first; c != nil; { // not in the order of deadlines: that of a first request counts from connecting
		next := c.next
		if now.After(c.deadline) {
			c.reject(408, "the request did not come in time")
		}
		c = next
	}
	for c := l.ending.first; c != nil; { // nor here: a last response is given longer to be read
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

// connList is a linked list of connections in the order in which they came to it.
type connList struct {
	first, last *Conn
	n           int
}

func (l *connList) push(c *Conn) {
	c.queue, c.prev, c.next = l, l.last, nil
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
	c.queue, c.prev, c.next = nil, nil, nil
}
