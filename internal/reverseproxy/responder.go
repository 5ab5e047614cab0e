package reverseproxy

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"sedgevale/internal/http1"
	"sedgevale/internal/httpd"
)

// loopResponder is the responder for a client connection on an event loop.
type loopResponder struct {
	conn    *httpd.Conn
	request *proxyRequest

	mu      sync.Mutex // guards pending
	pending int        // body bytes posted to the event loop but not yet written by it
}

func (lr *loopResponder) reply(status int, fields []http1.Field, body []byte, last bool) {
	lr.conn.Post(func(c *httpd.Conn) {
		c.State = nil
		if last {
			c.CloseAfterResponse()
		}
		if lr.request.head.Method == "HEAD" || status == 304 {
			fields = append(slices.Clip(fields), http1.Field{Name: "Content-Length", Value: strconv.Itoa(len(body))})
			c.BeginResponse(status, fields, httpd.FramingLength)
			c.EndBody(nil)
			return
		}
		c.Respond(status, fields, body)
	})
}

func (lr *loopResponder) deliver(part *responsePart) {
	lr.mu.Lock()
	lr.pending += part.size
	lr.mu.Unlock()
	lr.conn.Post(func(c *httpd.Conn) {
		r := lr.request
		if part.head != nil {
			status, fields, framing, replacement := r.prepareResponse(part.head)
			if replacement != nil {
				r.finish()
				r.proxy.transport.cancelRequest(r)
				c.State = nil
				c.Respond(replacement.Status, replacement.Fields, replacement.Body)
				return
			}
			c.BeginResponse(status, fields, framing)
		}
		for _, p := range part.parts {
			c.WriteBody(p)
		}
		lr.mu.Lock()
		lr.pending -= part.size
		lr.mu.Unlock()
		if part.end {
			r.finish()
			c.State = nil
			c.EndBody(part.trailer)
		}
	})
}

func (lr *loopResponder) abort() {
	lr.conn.Post(func(c *httpd.Conn) { c.Abort() })
}

// awaitDrained returns true once at most unsentLowWatermark bytes are unsent, or false if the
// client has disconnected. It blocks, so it must not be called on an event loop.
func (lr *loopResponder) awaitDrained() bool {
	for backoff := minDrainBackoff; ; backoff = min(2*backoff, maxDrainBackoff) {
		unsent := make(chan int, 1)
		lr.conn.Post(func(c *httpd.Conn) { unsent <- c.UnsentBytes() })
		select {
		case n := <-unsent:
			if n <= unsentLowWatermark {
				return true
			}
		case <-time.After(postTimeout): // Post drops the call if the connection is closed
		}
		if lr.request.isFinished() {
			return false
		}
		time.Sleep(backoff)
	}
}

const (
	unsentLowWatermark = 128 << 10   // bytes
	postTimeout        = time.Second // time for an event loop to run a posted function
	minDrainBackoff    = 200 * time.Microsecond
	maxDrainBackoff    = 5 * time.Millisecond
)
