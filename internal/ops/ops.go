// Package ops is the HTTP server for operators' calls to a scheduler: health checks, cordons, the
// journal of one-shot jobs, and status pages. Each connection carries one call.
package ops

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"sedgevale/internal/http1"
	"sedgevale/internal/httpd"
)

// callTimeout is the timeout of a call. It is below the second for which callers wait.
const callTimeout = 800 * time.Millisecond

// ErrUnknownWorker is returned by Scheduler.Cordon for a worker that has not been in any list.
var ErrUnknownWorker = errors.New("no such worker")

// Scheduler executes operators' calls. Its methods may block until the context ends.
type Scheduler interface {
	// Healthy returns nil if the scheduler is ready to serve, and otherwise the reason.
	Healthy(context.Context) error
	// Cordon cordons a worker, or uncordons it if cordon is false. It returns when the change
	// is in effect.
	Cordon(ctx context.Context, host string, cordon bool) error
}

// Handler is an httpd.Handler for operators' calls.
type Handler struct {
	scheduler Scheduler
	journal   Journal // nil if the scheduler has no journal
	pages     map[string]Page
}

// Page is a status page.
type Page struct {
	Type string // Content-Type
	Read func() []byte
}

// New returns a Handler. Pages has the status pages by their paths. Journal and pages may be nil.
func New(s Scheduler, journal Journal, pages map[string]Page) *Handler {
	return &Handler{s, journal, pages}
}

// Serve implements httpd.Handler: it responds to a call.
func (h *Handler) Serve(c *httpd.Conn, q *httpd.Request) {
	if h.serveJournal(c, q) {
		return
	}
	if page, ok := h.pages[q.Target]; ok && q.Method == "GET" {
		c.RespondLast(200, []http1.Field{{Name: "Content-Type", Value: page.Type}}, page.Read())
		return
	}
	method, do := "POST", h.scheduler.Healthy
	switch q.Target {
	case "/admin/health":
		method = "GET"
	case "/admin/cordon", "/admin/uncordon":
	default:
		c.RespondLast(404, nil, []byte("no such call\n"))
		return
	}
	if q.Method != method {
		c.RespondLast(405, []http1.Field{{Name: "Allow", Value: method}}, []byte("only "+method+"\n"))
		return
	}
	if method == "POST" {
		var order struct {
			Host string `json:"host"`
		}
		if err := json.Unmarshal(q.Body, &order); err != nil || order.Host == "" {
			c.RespondLast(400, nil, []byte("the body must be {\"host\":\"ID\"}\n"))
			return
		}
		cordon := q.Target == "/admin/cordon"
		do = func(ctx context.Context) error { return h.scheduler.Cordon(ctx, order.Host, cordon) }
	}
	go func() { // the call may block, and the event loop must not
		ctx, stop := context.WithTimeout(context.Background(), callTimeout)
		defer stop()
		err := do(ctx)
		c.Post(func(c *httpd.Conn) { respond(c, err) })
	}()
}

// respond sends the response to a call that ended with err: 200 without an error, 404 if the worker or job does not exist, and
// 503 for any other error.
func respond(c *httpd.Conn, err error) {
	switch {
	case err == nil:
		c.RespondLast(200, nil, []byte("yes\n"))
	case isNotFound(err):
		c.RespondLast(404, nil, []byte("no: "+err.Error()+"\n"))
	default:
		c.RespondLast(503, nil, []byte("no: "+err.Error()+"\n"))
	}
}

// Disconnected implements httpd.Handler. A call is completed even if its caller has disconnected.
func (h *Handler) Disconnected(*httpd.Conn) {}
