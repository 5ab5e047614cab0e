package discovery

import (
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"sedgevale/internal/evloop"
	"sedgevale/internal/http1"
)

const (
	// watchTimeout is how long a long poll may last at the server; the next follows at once. It is short because a
	// connection that has gone silent is noticed only after it, while workers that drain count as known to be draining 6 s
	// after it went silent, and 6 s after discovery has the update and can be reached again. The sum of the timeouts below,
	// the dispatcher's first retry delay (0.3 s) and the answer to another call must be less; TestSilenceIsNoticed checks it.
	watchTimeout        = 2500 * time.Millisecond
	responseTimeout     = 1200 * time.Millisecond // on top of the long poll, after which the watch has failed
	dialTimeout         = 700 * time.Millisecond
	previousAddrTimeout = 2 * time.Second // for the outstanding answer of the address before
	maxListBytes        = 8 << 20
)

// Watcher watches the list of workers by long polls over one connection.
type Watcher struct {
	loop      *evloop.Loop
	onUpdate  func(List)
	onFailure func()
	log       *slog.Logger

	mu      sync.Mutex // guards current
	current string     // addr, for other goroutines

	// The fields below are accessed on the loop only.
	addr           string
	watching       bool
	revision       int64 // of the last answer
	fullListNeeded bool  // the next call asks for the full list
	conn           *conn // nil if there is no connection
	previous       *conn // to the address before, whose outstanding answer still counts; nil if there is none
	timer          *time.Timer
}

// NewWatcher returns a Watcher that begins after the revision of known. OnUpdate is called with each answer. OnFailure is
// called when the watch has failed; it ends then, until Watch is called again. Both are called on the loop.
func NewWatcher(loop *evloop.Loop, addr string, known List, onUpdate func(List), onFailure func(), log *slog.Logger) *Watcher {
	return &Watcher{loop: loop, addr: addr, current: addr, onUpdate: onUpdate, onFailure: onFailure, log: log, revision: known.Revision}
}

// StartAfter has the watch begin after a revision that another process has received from addr. Revisions of different addresses
// are not comparable: if addr is not the Watcher's the full list is requested. It must be called before Watch.
func (w *Watcher) StartAfter(revision int64, addr string) {
	w.loop.Do(func() { w.revision, w.fullListNeeded = revision, addr != w.addr })
}

// Addr returns the address of the server.
func (w *Watcher) Addr() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current
}

// Watch starts a watch unless one is active. It is safe for concurrent use.
func (w *Watcher) Watch() {
	w.loop.Do(func() {
		if !w.watching && w.addr != "" {
			w.watching = true
			w.request()
		}
	})
}

// SetAddr changes the address of the server; with an empty one the watch ends. The new server may count revisions differently,
// so the full list is requested first. Until it has arrived an outstanding answer from the address before still counts: it
// may say that a worker drains. It is safe for concurrent use.
func (w *Watcher) SetAddr(addr string) {
	w.loop.Do(func() {
		if addr == w.addr {
			return
		}
		if w.timer != nil {
			w.timer.Stop()
		}
		w.previous.close()
		w.previous, w.conn = w.conn, nil
		w.addr, w.watching, w.fullListNeeded = addr, addr != "", true
		w.mu.Lock()
		w.current = addr
		w.mu.Unlock()
		if previous := w.previous; previous != nil && previous.awaitingResponse && w.watching {
			time.AfterFunc(previousAddrTimeout, func() { w.loop.Do(previous.close) })
		} else {
			previous.close()
		}
		if w.watching {
			w.request()
		}
	})
}

// request sends one call of the watch, over a new connection if there is none.
func (w *Watcher) request() {
	if w.conn == nil {
		c := &conn{watcher: w, parser: http1.NewParser(http1.Response)}
		w.conn = c
		w.loop.Dial(w.addr, dialTimeout, c, func(err error) { c.fail(fmt.Errorf("connecting: %w", err)) })
	} else {
		w.conn.send()
	}
}

// conn is a connection to discovery. It implements evloop.Handler.
type conn struct {
	watcher          *Watcher
	raw              evloop.Conn
	parser           *http1.Parser
	body             []byte
	awaitingResponse bool // an answer is outstanding
	deadline         time.Time
	closed           bool
}

var (
	errTimeout      = errors.New("no answer in time")
	errClosed       = errors.New("connection closed by the server")
	errListTooLarge = errors.New("list too long")
	errUnsolicited  = errors.New("unsolicited answer")
)

// OnOpen implements evloop.Handler.
func (c *conn) OnOpen(raw evloop.Conn) bool {
	c.raw = raw
	if c.closed {
		return false
	}
	c.send()
	return true
}

func (c *conn) send() {
	c.awaitingResponse, c.body = true, c.body[:0]
	timeout := responseTimeout
	target := "/v1/endpoints"
	if !c.watcher.fullListNeeded {
		timeout += watchTimeout
		target += "?since=" + strconv.FormatInt(c.watcher.revision, 10) +
			"&timeout_ms=" + strconv.FormatInt(watchTimeout.Milliseconds(), 10)
	}
	if c.watcher.timer != nil {
		c.watcher.timer.Stop()
	}
	c.deadline = time.Now().Add(timeout) // before the timer: one that fires with the deadline still ahead is lost
	c.watcher.timer = time.AfterFunc(timeout, func() { c.watcher.loop.Do(c.checkTimeout) })
	out := http1.AppendRequest(nil, "GET", target)
	out = http1.AppendField(out, "Host", c.watcher.addr)
	_, _ = c.raw.Write(append(out, "\r\n"...)) // a failure closes the connection, which calls OnClose
}

// OnTraffic implements evloop.Handler.
func (c *conn) OnTraffic(raw evloop.Conn) bool {
	for !c.closed {
		buf, _ := raw.Peek(-1)
		n, ev, part, err := c.parser.Next(buf)
		c.body = append(c.body, part...)
		evloop.Discard(raw, n)
		switch {
		case err != nil:
			c.fail(err)
		case len(c.body) > maxListBytes:
			c.fail(errListTooLarge)
		case ev == http1.HeadParsed && !c.awaitingResponse:
			c.fail(errUnsolicited)
		case ev == http1.Ended && c.parser.Head.Status >= 200:
			c.handleResponse()
		case ev == http1.NeedMore:
			return true
		}
	}
	return true
}

// OnClose implements evloop.Handler.
func (c *conn) OnClose(evloop.Conn) {
	switch {
	case c.awaitingResponse && c.parser.UntilClose():
		c.parser.Head.Close = true
		c.handleResponse()
	case c.awaitingResponse:
		c.fail(errClosed)
	case c.watcher.conn == c:
		c.watcher.conn = nil
	}
}

func (c *conn) checkTimeout() {
	if c.awaitingResponse && !time.Now().Before(c.deadline) {
		c.fail(errTimeout)
	}
}

// close closes the connection. On nil or a closed one it does nothing.
func (c *conn) close() {
	if c == nil || c.closed {
		return
	}
	c.awaitingResponse, c.closed = false, true
	if c.watcher.conn == c {
		c.watcher.conn = nil
	}
	if c.watcher.previous == c {
		c.watcher.previous = nil
	}
	if c.raw != nil {
		c.watcher.loop.Close(c.raw)
	}
}

// fail ends the watch and reports it.
func (c *conn) fail(err error) {
	if c.closed {
		return
	}
	w := c.watcher
	if c == w.previous { // it was to be closed anyway
		c.close()
		return
	}
	c.close()
	w.log.Warn("discovery watch failed", "addr", w.addr, "err", err)
	w.watching = false
	w.onFailure()
}

// handleResponse reports the list that was received and continues the watch.
func (c *conn) handleResponse() {
	w := c.watcher
	c.awaitingResponse = false
	if status := c.parser.Head.Status; status != 200 {
		c.fail(fmt.Errorf("status %d", status))
		return
	}
	list, err := Parse(c.body)
	if err != nil {
		c.fail(err)
		return
	}
	w.revision = list.Revision
	if c == w.previous {
		c.close()
		w.onUpdate(list)
		return
	}
	w.fullListNeeded = false
	w.previous.close()
	if c.parser.Head.Close {
		c.close()
	}
	w.onUpdate(list)
	w.request()
}
