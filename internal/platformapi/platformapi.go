// Package platformapi serves the platform's protocol: each request is a job, and its response
// the job's result or why there is none.
package platformapi

import (
	"errors"
	"strconv"

	"sedgevale/internal/dispatch"
	"sedgevale/internal/http1"
	"sedgevale/internal/httpd"
	"sedgevale/internal/jobrequest"
)

// Planners accept jobs. SubmitRequest submits an exchange, ClientDisconnected reports that its
// client has disconnected.
type Planners interface {
	SubmitRequest(*dispatch.Exchange)
	ClientDisconnected(*dispatch.Exchange)
}

// Handler is the httpd.Handler of the platform's protocol.
type Handler struct {
	parser   *jobrequest.Parser
	planners Planners
	ready    func() bool
}

// New returns a Handler. Ready says whether the scheduler should be sent requests.
func New(parser *jobrequest.Parser, planners Planners, ready func() bool) *Handler {
	return &Handler{parser, planners, ready}
}

// Serve answers a request: a job, or whether the scheduler is ready.
func (h *Handler) Serve(c *httpd.Conn, q *httpd.Request) {
	if q.Target == "/ready" {
		Ready(c, q, h.ready())
		return
	}
	job, deadline, err := h.parser.Parse(q, "", 0)
	if err != nil {
		Reject(c, err)
		return
	}
	x := dispatch.NewExchange(job, deadline, responder{c})
	c.State = x
	h.planners.SubmitRequest(x)
}

// Disconnected is called when a client has disconnected before its response.
func (h *Handler) Disconnected(c *httpd.Conn) {
	if x, ok := c.State.(*dispatch.Exchange); ok {
		h.planners.ClientDisconnected(x)
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

// Reject responds to a request that is not a job with the error's status, 400 if it has none, and
// ends the connection.
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

// responder is the dispatch.Client of an exchange whose client waits for the response.
type responder struct{ c *httpd.Conn }

func (responder) Started()         {}
func (responder) Progress(float64) {}

func (w responder) Answer(a dispatch.Answer) {
	w.c.Post(func(c *httpd.Conn) {
		c.State = nil
		switch a.Kind {
		case dispatch.Served:
			c.Respond(200, nil, a.Result)
		case dispatch.Rejected:
			var fields []http1.Field
			if a.RetryAfter > 0 {
				fields = []http1.Field{{Name: "Retry-After",
					Value: strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64)}}
			}
			c.Respond(503, fields, []byte(a.Reason+"\n"))
		case dispatch.Failed:
			c.Respond(500, nil, []byte(a.Reason+"\n"))
		}
	})
}
