package handover

import (
	"bytes"
	"encoding/json"
	"errors"
	"log/slog"
	"time"

	"sedgevale/internal/evloop"
)

// maxUnsent is how many bytes the other process may leave unread before it counts as hung.
const maxUnsent = 32 << 20

// Handler receives what comes over a Link. Its methods are called on the event loop.
type Handler interface {
	Message(*Link, *Message)
	Lost(*Link) // once, also where the link never came up
}

// Link is the connection of the two processes. It may be lost at any time; what is sent
// after that is dropped.
type Link struct {
	loop    *evloop.Loop
	handler Handler
	log     *slog.Logger

	// The fields below are accessed on the loop only.
	conn    evloop.Conn
	partial []byte // received of a line that is not complete yet
	unsent  []byte // sent before the link was up
	closed  bool
}

// Link turns the session into a Link on an event loop. The session must not be used any more.
func (s *Session) Link(loop *evloop.Loop, h Handler, log *slog.Logger) *Link {
	l := &Link{loop: loop, handler: h, log: log}
	_ = s.conn.SetDeadline(time.Time{})
	early, _ := s.reader.Peek(s.reader.Buffered())
	l.partial = bytes.Clone(early)
	loop.Enrol(s.conn, l, l.close)
	return l
}

// Send sends a message. It may be called from any goroutine.
func (l *Link) Send(m *Message) {
	b, err := json.Marshal(m)
	if err != nil {
		l.log.Error("cannot encode a message to the other process", "err", err)
		return
	}
	b = append(b, '\n')
	l.loop.Do(func() {
		switch {
		case l.closed:
		case l.conn == nil:
			l.unsent = append(l.unsent, b...)
		default:
			l.write(b)
		}
	})
}

func (l *Link) write(b []byte) {
	if _, err := l.conn.Write(b); err == nil && !l.closed && l.conn.OutboundBuffered() > maxUnsent {
		l.close(errNotReading)
	}
}

// Drop closes the link; the reason is logged. It may be called from any goroutine.
func (l *Link) Drop(why error) { l.loop.Do(func() { l.close(why) }) }

var (
	errNotReading  = errors.New("the other process does not read its messages")
	errEnded       = errors.New("the other process has closed the connection")
	errLineTooLong = errors.New("a line of the other process is too long")
)

func (l *Link) close(err error) {
	if l.closed {
		return
	}
	l.closed = true
	l.partial, l.unsent = nil, nil
	l.log.Info("the other process of the upgrade is gone, continuing alone", "why", err)
	if l.conn != nil {
		l.loop.Close(l.conn)
	}
	l.handler.Lost(l)
}

// OnOpen is called by the event loop when the connection is registered.
func (l *Link) OnOpen(gc evloop.Conn) bool {
	if l.closed {
		return false
	}
	l.conn = gc
	if unsent := l.unsent; len(unsent) > 0 {
		l.unsent = nil
		l.write(unsent)
	}
	early := l.partial
	l.partial = nil
	l.receive(early)
	return !l.closed
}

// OnTraffic is called by the event loop when bytes have come.
func (l *Link) OnTraffic(gc evloop.Conn) bool {
	buf, _ := gc.Peek(-1)
	l.receive(buf)
	if l.closed {
		return true // closed already
	}
	evloop.Discard(gc, len(buf))
	return true
}

// OnClose is called by the event loop when the connection has ended.
func (l *Link) OnClose(evloop.Conn) { l.close(errEnded) }

// receive parses bytes as they come. A malformed line closes the link and does nothing else.
func (l *Link) receive(b []byte) {
	for !l.closed {
		line, rest, complete := bytes.Cut(b, []byte{'\n'})
		if !complete {
			if l.partial = append(l.partial, b...); len(l.partial) > maxLine {
				l.close(errLineTooLong)
			}
			return
		}
		if len(l.partial) > 0 {
			line = append(l.partial, line...)
			l.partial = nil
		}
		b = rest
		var m Message
		if err := json.Unmarshal(line, &m); err != nil {
			l.close(err)
			return
		}
		l.handler.Message(l, &m)
	}
}
