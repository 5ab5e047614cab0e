package reverseproxy

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"sedgevale/internal/http1"
	"sedgevale/internal/httpd"
)

// loopResponder is a client on an event loop.
type loopResponder struct {
	conn    *httpd.Conn
	request *proxyRequest

	mu      sync.Mutex // guards pending
	pending int        // bytes delivered that the loop has not taken yet
}

func (lr *loopResponder) reply(status int, fields []http1.Field, body []byte, last bool) {
	lr.conn.Post(func(c *httpd.Conn) {
		c.State = nil
		if last {
			c.CloseAfter()
		}
		if lr.request.head.Method == "HEAD" || status == 304 {
			fields = append(slices.Clip(fields), http1.Field{Name: "Content-Length", Value: strconv.Itoa(len(body))})
			c.BeginResponse(status, fields, httpd.ByLength)
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
			status, fields, framing, own := r.respond(part.head)
			if own != nil {
				r.finish()
				r.proxy.transport.cancelRequest(r)
				c.State = nil
				c.Respond(own.Status, own.Fields, own.Body)
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

// awaitDrained returns true once no more than unsentLowWatermark bytes are unsent, or false if the
// client has disconnected. It blocks, so it is not for the loop.
func (lr *loopResponder) awaitDrained() bool {
	for backoff := minDrainBackoff; ; backoff = min(2*backoff, maxDrainBackoff) {
		got := make(chan int, 1)
		lr.conn.Post(func(c *httpd.Conn) { got <- c.UnsentBytes() })
		select {
		case n := <-got:
			if n <= unsentLowWatermark {
				return true
			}
		case <-time.After(unsentTimeout): // closed connections are not called
		}
		if lr.request.isFinished() {
			return false
		}
		time.Sleep(backoff)
	}
}

const (
	unsentLowWatermark = 128 << 10   // bytes
	unsentTimeout      = time.Second // for the loop to call back
	minDrainBackoff    = 200 * time.Microsecond
	maxDrainBackoff    = 5 * time.Millisecond
)
