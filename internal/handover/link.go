package handover

import (
	"bytes"
	"encoding/json"
	"errors"
	"log/slog"
	"time"

	"sedgevale/internal/evloop"
)

// maxUnsentBytes is the number of unsent bytes above which the other process counts as hung and the link is closed.
const maxUnsentBytes = 32 << 20

// Handler handles the events of a Link. Its methods are called on the event loop.
type Handler interface {
	// Message is called for each message of the other process.
	Message(*Link, *Message)
	// Lost is called once when the link is closed, even if it was never established.
	Lost(*Link)
}

// Link is the connection of the two processes during an upgrade. It may be lost at any time;
// messages that are sent later are dropped.
type Link struct {
	loop    *evloop.Loop
	handler Handler
	log     *slog.Logger

	// The fields below are accessed on the loop only.
	conn    evloop.Conn
	partial []byte // the received part of an incomplete line
	unsent  []byte // messages that were sent before the link was established
	closed  bool
}

// Link moves the session's connection to an event loop. The session must not be used afterwards, except for its Sockets.
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
		l.log.Error("cannot encode a message for the other process of the upgrade, dropping it", "err", err)
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
	if _, err := l.conn.Write(b); err == nil && !l.closed && l.conn.OutboundBuffered() > maxUnsentBytes {
		l.close(errNotReading)
	}
}

// Drop closes the link and logs the reason. It may be called from any goroutine.
func (l *Link) Drop(reason error) { l.loop.Do(func() { l.close(reason) }) }

var (
	errNotReading  = errors.New("the other process has stopped reading messages")
	errPeerClosed  = errors.New("the other process has closed the connection")
	errLineTooLong = errors.New("a message of the other process is too long")
)

func (l *Link) close(err error) {
	if l.closed {
		return
	}
	l.closed = true
	l.partial, l.unsent = nil, nil
	l.log.Info("link to the other process of the upgrade closed, continuing alone", "err", err)
	if l.conn != nil {
		l.loop.Close(l.conn)
	}
	l.handler.Lost(l)
}

// OnOpen implements evloop.Handler: it sends and handles the messages from before the registration of the connection.
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

// OnTraffic implements evloop.Handler.
func (l *Link) OnTraffic(gc evloop.Conn) bool {
	buf, _ := gc.Peek(-1)
	l.receive(buf)
	if l.closed {
		return true // close has closed the connection already
	}
	evloop.Discard(gc, len(buf))
	return true
}

// OnClose implements evloop.Handler.
func (l *Link) OnClose(evloop.Conn) { l.close(errPeerClosed) }

// receive parses received bytes, which may end within a line. A malformed line closes the link.
func (l *Link) receive(b []byte) {
	for !l.closed {
		line, rest, complete := bytes.Cut(b, []byte{'\n'})
		if !complete {
			if l.partial = append(l.partial, b...); len(l.partial) > maxLineBytes {
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
