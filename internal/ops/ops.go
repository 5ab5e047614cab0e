// Package ops serves operators' calls over HTTP: health, cordons, the journal of jobs, and
// pages of status. Each connection carries one call.
package ops

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"sedgevale/internal/http1"
	"sedgevale/internal/httpd"
)

// callTimeout bounds a call; the caller waits a second.
const callTimeout = 800 * time.Millisecond

// ErrUnknownWorker is returned by Scheduler.Cordon for a worker that no list has named.
var ErrUnknownWorker = errors.New("no such worker")

// Scheduler carries out operators' calls. Its methods may block until the context ends.
type Scheduler interface {
	// Healthy returns why the scheduler is not ready to serve, or nil.
	Healthy(context.Context) error
	// Cordon cordons a worker, or uncordons it if cordon is false. It returns once that is
	// in force.
	Cordon(ctx context.Context, host string, cordon bool) error
}

// Handler is an httpd.Handler for operators' calls.
type Handler struct {
	scheduler Scheduler
	journal   Journal // nil: none
	pages     map[string]Page
}

// Page is a status that operators can read.
type Page struct {
	Type string // its Content-Type
	Read func() []byte
}

// New returns a Handler. Pages are by path. Journal and pages may be nil.
func New(s Scheduler, journal Journal, pages map[string]Page) *Handler {
	return &Handler{s, journal, pages}
}

// Serve answers a call.
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
	go func() { // it may have to wait, which the event loop must not
		ctx, stop := context.WithTimeout(context.Background(), callTimeout)
		defer stop()
		err := do(ctx)
		c.Post(func(c *httpd.Conn) { respond(c, err) })
	}()
}

// respond answers a call that was carried out, or why it was not.
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

// Disconnected is called when a caller has disconnected. Its call is carried out all the same.
func (h *Handler) Disconnected(*httpd.Conn) {}
