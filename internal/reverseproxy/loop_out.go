package reverseproxy

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"sedgevale/internal/http1"
	"sedgevale/internal/httpd"
)

// loopOut is a client on an event loop.
type loopOut struct {
	c       *httpd.Conn
	call    *call
	mu      sync.Mutex
	pending int // bytes delivered and not written to the kernel
}

func (o *loopOut) answer(status int, fields []http1.Field, body []byte, last bool) {
	o.c.Post(func(c *httpd.Conn) {
		c.State = nil
		if last {
			c.CloseAfter()
		}
		if o.call.head.Method == "HEAD" || status == 304 {
			fields = append(slices.Clip(fields), http1.Field{Name: "Content-Length", Value: strconv.Itoa(len(body))})
			c.Begin(status, fields, httpd.ByLength)
			c.EndBody(nil)
			return
		}
		c.Respond(status, fields, body)
	})
}

func (o *loopOut) deliver(d *delivery) {
	o.mu.Lock()
	o.pending += d.size
	o.mu.Unlock()
	o.c.Post(func(c *httpd.Conn) {
		k := o.call
		if d.head != nil {
			status, fields, framing, own := k.respond(d.head)
			if own != nil {
				k.finish()
				k.site.relay.cancel(k)
				c.State = nil
				c.Respond(own.Status, own.Fields, own.Body)
				return
			}
			c.Begin(status, fields, framing)
		}
		for _, p := range d.parts {
			c.Part(p)
		}
		o.mu.Lock()
		o.pending -= d.size
		o.mu.Unlock()
		if d.end {
			k.finish()
			c.State = nil
			c.EndBody(d.trailer)
		}
	})
}

func (o *loopOut) broken() {
	o.c.Post(func(c *httpd.Conn) { c.Abort() })
}

// wait returns once little of what was delivered is unsent, or false if the client has
// gone. It is for goroutines of their own.
func (o *loopOut) wait() bool {
	for pause := 200 * time.Microsecond; ; pause = min(2*pause, 5*time.Millisecond) {
		got := make(chan int, 1)
		o.c.Post(func(c *httpd.Conn) { got <- c.Unsent() })
		select {
		case n := <-got:
			if n <= unsentLow {
				return true
			}
		case <-time.After(unsentPatience): // closed connections are not called
		}
		o.call.mu.Lock()
		over := o.call.over
		o.call.mu.Unlock()
		if over {
			return false
		}
		time.Sleep(pause)
	}
}

const (
	unsentLow      = 128 << 10
	unsentPatience = time.Second
)
