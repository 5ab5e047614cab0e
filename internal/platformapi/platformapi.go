// Package platformapi serves the platform's HTTP protocol for jobs: it submits each request as a
// job and responds with the job's result or with the reason why there is none.
package platformapi

import (
	"errors"
	"strconv"

	"sedgevale/internal/dispatchdriver"
	"sedgevale/internal/http1"
	"sedgevale/internal/httpd"
	"sedgevale/internal/jobrequest"
)

// Planners accepts jobs; [dispatchdriver.Set] implements it.
type Planners interface {
	// SubmitRequest submits an exchange.
	SubmitRequest(*dispatchdriver.Exchange)
	// ClientDisconnected reports that the client of an exchange has disconnected.
	ClientDisconnected(*dispatchdriver.Exchange)
}

// Handler implements [httpd.Handler] for the platform's protocol.
type Handler struct {
	parser   *jobrequest.Parser
	planners Planners
	ready    func() bool
}

// New returns a Handler. Ready reports whether the scheduler is ready for requests.
func New(parser *jobrequest.Parser, planners Planners, ready func() bool) *Handler {
	return &Handler{parser, planners, ready}
}

// Serve handles a readiness check or a request for a job.
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
	x := dispatchdriver.NewExchange(job, deadline, responder{c})
	c.State = x
	h.planners.SubmitRequest(x)
}

// Disconnected reports to the planners that a client has disconnected before its response.
func (h *Handler) Disconnected(c *httpd.Conn) {
	if x, ok := c.State.(*dispatchdriver.Exchange); ok {
		h.planners.ClientDisconnected(x)
	}
}

// Ready responds to a readiness check with status 200 if the scheduler is ready for requests and
// with 503 otherwise.
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

// Reject responds to an invalid request with the status and the text of the error, and closes the
// connection. The status is 400 if the error is not a [jobrequest.Error].
func Reject(c *httpd.Conn, err error) {
	status := 400
	var requestErr *jobrequest.Error
	if errors.As(err, &requestErr) {
		status = requestErr.Status
	}
	var fields []http1.Field
	if status == 405 {
		fields = []http1.Field{{Name: "Allow", Value: "POST"}}
	}
	c.RespondLast(status, fields, []byte(err.Error()+"\n"))
}

// responder implements [dispatchdriver.Client] for a connection that waits for the response.
type responder struct{ conn *httpd.Conn }

func (responder) Started()         {}
func (responder) Progress(float64) {}

// Respond responds with the answer on the event loop of the connection.
func (r responder) Respond(a dispatchdriver.Response) {
	r.conn.Post(func(c *httpd.Conn) {
		c.State = nil
		switch a.Kind {
		case dispatchdriver.Served:
			c.Respond(200, nil, a.Result)
		case dispatchdriver.Rejected:
			var fields []http1.Field
			if a.RetryAfter > 0 {
				fields = []http1.Field{{Name: "Retry-After",
					Value: strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64)}}
			}
			c.Respond(503, fields, []byte(a.Reason+"\n"))
		case dispatchdriver.Failed:
			c.Respond(500, nil, []byte(a.Reason+"\n"))
		}
	})
}
