package handover

import (
	"bytes"
	"encoding/json"
	"errors"
	"log/slog"
	"time"

	"sedgevale/internal/evloop"
)

// maxUnsent is what the other process may leave unread before it counts as hung.
const maxUnsent = 32 << 20

// Handler deals with a Link. Its methods are called on the event loop.
type Handler interface {
	Message(*Link, *Message)
	Lost(*Link) // once, also where the link never came up
}

// Link is the connection of the two processes.
type Link struct {
	loop    *evloop.Loop
	handler Handler
	log     *slog.Logger

	// For the loop alone.
	gc   evloop.Conn
	part []byte // come already, of a line that is not whole yet
	wait []byte // to be sent once the link is up
	dead bool
}

// Link makes a link of the session, on an event loop.
func (s *Session) Link(loop *evloop.Loop, h Handler, log *slog.Logger) *Link {
	l := &Link{loop: loop, handler: h, log: log}
	_ = s.conn.SetDeadline(time.Time{})
	early, _ := s.in.Peek(s.in.Buffered())
	l.part = bytes.Clone(early)
	loop.Enrol(s.conn, l, l.lose)
	return l
}

// Send sends a message. It may be called from anywhere.
func (l *Link) Send(m *Message) {
	b, err := json.Marshal(m)
	if err != nil {
		l.log.Error("a message to the other process cannot be written", "err", err)
		return
	}
	b = append(b, '\n')
	l.loop.Do(func() {
		switch {
		case l.dead:
		case l.gc == nil:
			l.wait = append(l.wait, b...)
		default:
			l.write(b)
		}
	})
}

func (l *Link) write(b []byte) {
	if _, err := l.gc.Write(b); err == nil && !l.dead && l.gc.OutboundBuffered() > maxUnsent {
		l.lose(errHung)
	}
}

// Drop ends the link. It may be called from anywhere.
func (l *Link) Drop(why error) { l.loop.Do(func() { l.lose(why) }) }

var (
	errHung  = errors.New("it does not read")
	errEnded = errors.New("it has ended")
	errLong  = errors.New("a line is too long")
)

func (l *Link) lose(err error) {
	if l.dead {
		return
	}
	l.dead = true
	l.part, l.wait = nil, nil
	l.log.Info("the other process of the upgrade is gone, this one is alone", "why", err)
	if l.gc != nil {
		l.loop.Close(l.gc)
	}
	l.handler.Lost(l)
}

// Opened is the loop's.
func (l *Link) Opened(gc evloop.Conn) bool {
	if l.dead {
		return false
	}
	l.gc = gc
	if wait := l.wait; len(wait) > 0 {
		l.wait = nil
		l.write(wait)
	}
	early := l.part
	l.part = nil
	l.take(early)
	return !l.dead
}

// Traffic is the loop's.
func (l *Link) Traffic(gc evloop.Conn) bool {
	buf, _ := gc.Peek(-1)
	l.take(buf)
	if l.dead {
		return true // closed already
	}
	evloop.Take(gc, len(buf))
	return true
}

// Closed is the loop's.
func (l *Link) Closed(evloop.Conn) { l.lose(errEnded) }

// take deals with bytes as they come; what is malformed ends the link, nothing else.
func (l *Link) take(b []byte) {
	for !l.dead {
		line, rest, whole := bytes.Cut(b, []byte{'\n'})
		if !whole {
			if l.part = append(l.part, b...); len(l.part) > maxLine {
				l.lose(errLong)
			}
			return
		}
		if len(l.part) > 0 {
			line = append(l.part, line...)
			l.part = nil
		}
		b = rest
		var m Message
		if err := json.Unmarshal(line, &m); err != nil {
			l.lose(err)
			return
		}
		l.handler.Message(l, &m)
	}
}
