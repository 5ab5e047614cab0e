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
	// watchTimeout is the longest duration of a long poll at the server; the next poll follows at once. It bounds how late
	// a silent connection is detected. A draining worker must be known to drain within 6 s after the connection went
	// silent, and within 6 s after discovery has the update and is reachable again. So the sum of watchTimeout,
	// responseTimeout, dialTimeout, the dispatcher's first retry delay (0.3 s) and the response to another call must be
	// less, which TestSilentConnectionIsDetected checks.
	watchTimeout        = 2500 * time.Millisecond
	responseTimeout     = 1200 * time.Millisecond // time for a response, in addition to the duration of a long poll
	dialTimeout         = 700 * time.Millisecond
	previousAddrTimeout = 2 * time.Second // time for an outstanding response from the previous address
	maxListBytes        = 8 << 20
)

// Watcher watches the list of workers by long polls over one connection.
type Watcher struct {
	loop      *evloop.Loop
	onUpdate  func(List)
	onFailure func()
	log       *slog.Logger

	mu      sync.Mutex // guards current
	current string     // copy of addr for other goroutines

	// The fields below are accessed on the loop only.
	addr           string
	watching       bool
	revision       int64 // revision of the last response
	fullListNeeded bool  // the next call requests the full list
	conn           *conn // nil if there is no connection
	previous       *conn // connection to the previous address with an outstanding response that is still used, or nil
	timer          *time.Timer
}

// NewWatcher returns a Watcher that requests the changes after the revision of known. It calls onUpdate with each list that it
// receives, and onFailure when the watch has failed, which ends it until the next call of Watch. Both are called on the loop.
func NewWatcher(loop *evloop.Loop, addr string, known List, onUpdate func(List), onFailure func(), log *slog.Logger) *Watcher {
	return &Watcher{loop: loop, addr: addr, current: addr, onUpdate: onUpdate, onFailure: onFailure, log: log, revision: known.Revision}
}

// StartAfter sets the revision after which the watch begins, which another process has received from addr. Revisions of
// different addresses are not comparable: if addr is not that of the Watcher, the full list is requested. StartAfter must be
// called before Watch.
func (w *Watcher) StartAfter(revision int64, addr string) {
	w.loop.Do(func() { w.revision, w.fullListNeeded = revision, addr != w.addr })
}

// Addr returns the address of the server. It is safe for concurrent use.
func (w *Watcher) Addr() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current
}

// Watch starts a watch unless one is active or there is no address. It is safe for concurrent use.
func (w *Watcher) Watch() {
	w.loop.Do(func() {
		if !w.watching && w.addr != "" {
			w.watching = true
			w.request()
		}
	})
}

// SetAddr changes the address of the server; an empty address ends the watch. Revisions of the new server are not comparable
// with those of the old one, so the full list is requested first. Until it has arrived, an outstanding response from the
// previous address is still used, because it may report that a worker drains. SetAddr is safe for concurrent use.
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

// request sends the next call of the watch, and connects first if there is no connection.
func (w *Watcher) request() {
	if w.conn == nil {
		c := &conn{watcher: w, parser: http1.NewParser(http1.Response)}
		w.conn = c
		w.loop.Dial(w.addr, dialTimeout, c, func(err error) { c.fail(fmt.Errorf("connecting: %w", err)) })
	} else {
		w.conn.send()
	}
}

// conn is a connection to service discovery. It implements evloop.Handler.
type conn struct {
	watcher          *Watcher
	raw              evloop.Conn
	parser           *http1.Parser
	body             []byte
	awaitingResponse bool // a response is outstanding
	deadline         time.Time
	closed           bool
}

var (
	errTimeout      = errors.New("timeout waiting for the response")
	errClosed       = errors.New("connection closed by the server")
	errListTooLarge = errors.New("list of workers is too large")
	errUnsolicited  = errors.New("unsolicited response")
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

// send sends the next call and sets its timeout.
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
	c.deadline = time.Now().Add(timeout) // set before the timer starts: checkTimeout ignores a timer that fires before the deadline
	c.watcher.timer = time.AfterFunc(timeout, func() { c.watcher.loop.Do(c.checkTimeout) })
	out := http1.AppendRequest(nil, "GET", target)
	out = http1.AppendField(out, "Host", c.watcher.addr)
	_, _ = c.raw.Write(append(out, "\r\n"...)) // an error closes the connection, which calls OnClose
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

// checkTimeout fails the connection if the response is overdue.
func (c *conn) checkTimeout() {
	if c.awaitingResponse && !time.Now().Before(c.deadline) {
		c.fail(errTimeout)
	}
}

// close closes the connection. It does nothing if c is nil or closed.
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

// fail ends the watch and reports the failure. On the connection to the previous address it only closes that connection.
func (c *conn) fail(err error) {
	if c.closed {
		return
	}
	w := c.watcher
	if c == w.previous { // the watch continues at the new address
		c.close()
		return
	}
	c.close()
	w.log.Warn("discovery watch failed, retrying after a delay", "addr", w.addr, "err", err)
	w.watching = false
	w.onFailure()
}

// handleResponse reports the received list and sends the next call. A response from the previous address is only reported.
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
