package httpd

import (
	"time"

	"github.com/panjf2000/gnet/v2"

	"sedgevale/internal/evloop"
	"sedgevale/internal/unbounded"
)

// lane is one event loop: what is asked of it from outside, and its connections.
type lane struct {
	loop gnet.EventLoop
	box  *unbounded.Box[func()]
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
