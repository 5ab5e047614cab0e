// Package sse serves jobs whose clients follow them by server-sent events. Requests are those
// of the platform's protocol. A stream has any number of accepted, started and progress
// events and then exactly one final event: result, refused or failed. A client that lost its
// connection resumes after the last event that it has received.
package sse

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"time"

	"sedgevale/dispatcher"
	"sedgevale/internal/dispatch"
	"sedgevale/internal/http1"
	"sedgevale/internal/httpd"
	"sedgevale/internal/jobrequest"
	"sedgevale/internal/platformapi"
)

const (
	maxEvents    = 64       // of a job; older progress events are dropped beyond
	maxUnsent    = 64 << 10 // bytes that a slow subscriber may leave unread
	maxFinished  = 4096     // finished jobs that are kept
	maxBytes     = 16 << 20 // of the events of all jobs
	tickInterval = time.Second
)

// Options are a Handler's dependencies and bounds.
type Options struct {
	Parser    *jobrequest.Parser
	Planners  platformapi.Planners
	Ready     func() bool
	Heartbeat time.Duration // between comments on a silent stream; 0: 10 s
	Retain    time.Duration // how long a finished job can be resumed; 0: a minute
	Log       *slog.Logger
}

// Handler is the httpd.Handler of event streams.
type Handler struct {
	parser    *jobrequest.Parser
	planners  platformapi.Planners
	ready     func() bool
	heartbeat time.Duration
	retain    time.Duration
	log       *slog.Logger
	epoch     string // of this process, in the ids of its events

	mu         sync.Mutex      // guards all below
	jobs       map[string]*job // by the request's id
	finished   []*job          // the oldest first
	eventBytes int

	mirrors map[int]func(*Stream) // by sibling process
}

// New returns a Handler. Each has an epoch of its own, so that event ids of an earlier process
// are recognized.
func New(o Options) *Handler {
	h := &Handler{parser: o.Parser, planners: o.Planners, ready: o.Ready, heartbeat: o.Heartbeat, retain: o.Retain,
		log: o.Log, epoch: randomID(), jobs: map[string]*job{},
		mirrors: map[int]func(*Stream){}}
	if h.heartbeat <= 0 {
		h.heartbeat = 10 * time.Second
	}
	if h.retain <= 0 {
		h.retain = time.Minute
	}
	return h
}

func randomID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// Run sends heartbeats and drops finished jobs in time, until the context ends.
func (h *Handler) Run(ctx context.Context) {
	tick := time.NewTicker(min(tickInterval, h.heartbeat, h.retain))
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			h.tick(now)
		case <-ctx.Done():
			return
		}
	}
}

func (h *Handler) tick(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropFinished(now)
	for _, j := range h.jobs {
		if j.subscriber != nil && now.Sub(j.lastWrite) >= h.heartbeat {
			j.lastWrite = now
			j.subscriber.Post(func(c *httpd.Conn) {
				if c.Write([]byte(":\n\n")); c.UnsentBytes() > maxUnsent {
					c.Abort()
				}
			})
		}
	}
}

// dropFinished drops finished jobs that are too old, too many or too large. The lock is held.
func (h *Handler) dropFinished(now time.Time) {
	n := 0
	for n < len(h.finished) && (now.Sub(h.finished[n].ended) >= h.retain || len(h.finished)-n > maxFinished || h.eventBytes > maxBytes) {
		j := h.finished[n]
		if j.subscriber != nil { // its last events are on their way
			break
		}
		h.eventBytes -= j.bytes
		delete(h.jobs, j.id)
		h.finished[n] = nil
		n++
	}
	h.finished = h.finished[n:]
}

// Serve answers a request: a new job, or one to be resumed.
func (h *Handler) Serve(c *httpd.Conn, q *httpd.Request) {
	if q.Target == "/ready" {
		platformapi.Ready(c, q, h.ready())
		return
	}
	name := jobrequest.ClassName(q.Target)
	class := h.parser.Class(name)
	var err error
	switch {
	case class == nil && (q.Method != "GET" || !h.hasJobOf(name)):
		err = &jobrequest.Error{Status: 404, Text: "no such class"}
	case q.Method != "POST" && q.Method != "GET":
		c.RespondLast(405, []http1.Field{{Name: "Allow", Value: "GET, POST"}}, []byte("only GET and POST\n"))
		return
	case !accepts(q.Get("Accept")):
		err = &jobrequest.Error{Status: 406, Text: "answers here are text/event-stream"}
	case q.Method == "POST":
		err = h.post(c, q, class)
	default:
		err = h.resume(c, q, name, class)
	}
	if err != nil {
		platformapi.Reject(c, err)
	}
}

// Disconnected is called when a subscriber has disconnected. Its job goes on.
func (h *Handler) Disconnected(c *httpd.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if j, ok := c.State.(*job); ok && j.subscriber == c {
		j.subscriber, j.flushing = nil, false
	}
}

func accepts(accept string) bool {
	for part := range strings.SplitSeq(accept, ",") {
		kind, _, _ := strings.Cut(part, ";")
		if strings.EqualFold(strings.TrimSpace(kind), "text/event-stream") {
			return true
		}
	}
	return false
}

// post accepts a job and makes the client its subscriber.
func (h *Handler) post(c *httpd.Conn, q *httpd.Request, class *dispatcher.Class) error {
	limit := class.ClientTimeout
	parsed, deadline, err := h.parser.Parse(q, randomID(), limit)
	if err != nil {
		return err
	}
	deadline = min(deadline, h.parser.Time(q.At)+limit)
	h.mu.Lock()
	if h.jobs[parsed.ID] != nil {
		h.mu.Unlock()
		return &jobrequest.Error{Status: 409, Text: "this Request-Id is known; GET with it, or with Last-Event-ID, resumes"}
	}
	j := &job{handler: h, id: parsed.ID, epoch: h.epoch, class: parsed.Class}
	h.jobs[j.id] = j
	h.mu.Unlock()
	j.attach(c, 0)
	j.emit("accepted", nil, struct {
		Request string `json:"request"`
	}{j.id}, false)
	h.planners.SubmitRequest(dispatch.NewExchange(parsed, deadline, j))
	return nil
}

// hasJobOf reports whether there are jobs of a class, which may be gone from the settings.
func (h *Handler) hasJobOf(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, j := range h.jobs {
		if j.class.Name == name {
			return true
		}
	}
	return false
}

func beginStream(c *httpd.Conn) {
	c.BeginStream([]http1.Field{{Name: "Content-Type", Value: "text/event-stream"},
		{Name: "Cache-Control", Value: "no-store"}})
}

var errNothingToResume = errors.New("nothing to resume: send Last-Event-ID, or the Request-Id of a job")

// resume goes on with a stream after the last event that the client has received.
func (h *Handler) resume(c *httpd.Conn, q *httpd.Request, name string, class *dispatcher.Class) error {
	id := eventID{class: name, request: q.Get("Request-Id")} // of whichever epoch
	if last := q.Get("Last-Event-ID"); last != "" {
		var ok bool
		if id, ok = parseEventID(last); !ok || id.class != name {
			return &jobrequest.Error{Status: 400, Text: "Last-Event-ID is none of this path's"}
		}
	} else if id.request == "" {
		return errNothingToResume
	}
	if id.final {
		c.Respond(204, nil, nil) // the client has all; it need not come again
		return nil
	}
	h.mu.Lock()
	j := h.jobs[id.request]
	known := j != nil && (id.epoch == "" || id.epoch == j.epoch) && j.class.Name == name && id.seq <= j.seq
	h.mu.Unlock()
	if known {
		j.attach(c, id.seq)
		return nil
	}
	// Another process accepted the job, or it is too long ago. Its outcome is not known here,
	// and nothing is run again.
	reason := "the job is no longer known"
	if id.epoch != "" && id.epoch != h.epoch {
		reason = "the scheduler has restarted since; what became of the job is unknown"
	}
	beginStream(c)
	id = eventID{h.epoch, id.seq + 1, true, name, id.request}
	c.Write(format(id, "failed", nil, newFailure(class, reason, true)))
	c.EndStream()
	return nil
}

type failure struct {
	Reason     string `json:"reason"`
	Outcome    string `json:"outcome"`     // whether the job ran, as far as is known
	RepeatSafe bool   `json:"repeat_safe"` // the client may post the job again
}

// newFailure returns the data of the event of a job that failed. A class that is gone is taken
// for one whose jobs must not run twice.
func newFailure(c *dispatcher.Class, reason string, ran bool) failure {
	out := failure{reason, "not run", true}
	if ran {
		out.Outcome = "unknown"
		out.RepeatSafe = c != nil && (c.Idempotency == dispatcher.Idempotent || c.Idempotency == dispatcher.IdempotentByKey && c.DedupScope == dispatcher.DedupAll)
	}
	return out
}
