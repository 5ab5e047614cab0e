// Package platformapi is the thin front for the platform's protocol: a request comes,
// one answer goes.
package platformapi

import (
	"errors"
	"strconv"

	"sedgevale/internal/dispatch"
	"sedgevale/internal/http1"
	"sedgevale/internal/httpd"
	"sedgevale/internal/jobrequest"
)

// Planners take requests in.
type Planners interface {
	Request(*dispatch.Exchange)
	Gone(*dispatch.Exchange)
}

// Handler is an httpd.Handler.
type Handler struct {
	rules    *jobrequest.Parser
	planners Planners
	ready    func() bool
}

// New returns a Front. Ready says whether the scheduler should be sent requests.
func New(rules *jobrequest.Parser, planners Planners, ready func() bool) *Handler {
	return &Handler{rules, planners, ready}
}

// Serve is called with each request.
func (h *Handler) Serve(c *httpd.Conn, q *httpd.Request) {
	if q.Target == "/ready" {
		Ready(c, q, h.ready())
		return
	}
	job, deadline, err := h.rules.Parse(q, "", 0)
	if err != nil {
		Reject(c, err)
		return
	}
	x := dispatch.NewExchange(job, deadline, waiter{c})
	c.State = x
	h.planners.Request(x)
}

// Gone is called when the client left before its answer.
func (h *Handler) Gone(c *httpd.Conn) {
	if x, ok := c.State.(*dispatch.Exchange); ok {
		h.planners.Gone(x)
	}
}

// Ready answers whether the scheduler should be sent requests.
func Ready(c *httpd.Conn, q *httpd.Request, ready bool) {
	switch {
	case q.Method != "GET":
		Reject(c, &jobrequest.Error{Status: 405, Text: "only GET"})
	case ready:
		c.Respond(200, nil, []byte("ready\n"))
	default:
		c.Respond(503, nil, []byte("not ready\n"))
	}
}

// Reject answers a request that is no job, and ends its connection.
func Reject(c *httpd.Conn, err error) {
	status := 400
	var why *jobrequest.Error
	if errors.As(err, &why) {
		status = why.Status
	}
	var fields []http1.Field
	if status == 405 {
		fields = []http1.Field{{Name: "Allow", Value: "POST"}}
	}
	c.RespondLast(status, fields, []byte(err.Error()+"\n"))
}

// waiter is the client side of an exchange: a client that waits for the answer.
type waiter struct{ c *httpd.Conn }

func (waiter) Started()         {}
func (waiter) Progress(float64) {}

func (w waiter) Answer(a dispatch.Answer) {
	w.c.Post(func(c *httpd.Conn) {
		c.State = nil
		switch a.Kind {
		case dispatch.Served:
			c.Respond(200, nil, a.Result)
		case dispatch.Refused:
			var fields []http1.Field
			if a.After > 0 {
				fields = []http1.Field{{Name: "Retry-After",
					Value: strconv.FormatFloat(a.After.Seconds(), 'f', 3, 64)}}
			}
			c.Respond(503, fields, []byte(a.Reason+"\n"))
		case dispatch.Failed:
			c.Respond(500, nil, []byte(a.Reason+"\n"))
		}
	})
}
