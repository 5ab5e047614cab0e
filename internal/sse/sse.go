// Package sse implements the job frontend whose clients receive progress and results as server-sent events. Requests
// have the form of the platform's protocol. A stream has any number of accepted, started and progress
// events and then exactly one final event: result, refused or failed. A client that has lost its
// connection can resume after the last event that it received.
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
	"sedgevale/internal/dispatchdriver"
	"sedgevale/internal/http1"
	"sedgevale/internal/httpd"
	"sedgevale/internal/jobrequest"
	"sedgevale/internal/platformapi"
)

const (
	maxEventsPerJob = 64          // events of a job above which the oldest progress events are dropped
	maxUnsentBytes  = 64 << 10    // unsent bytes above which the connection of a slow subscriber is closed
	maxFinishedJobs = 4096        // finished jobs that are kept for resumption
	maxEventBytes   = 16 << 20    // bytes of all events above which finished jobs are evicted
	tickInterval    = time.Second // maximum interval between checks for heartbeats and expired jobs
)

// Options configures a Handler.
type Options struct {
	Parser    *jobrequest.Parser
	Planners  platformapi.Planners
	Ready     func() bool
	Heartbeat time.Duration // interval between comments on a stream without events; 0 selects 10 s
	Retain    time.Duration // how long a finished job can be resumed; 0 selects 1 minute
	Log       *slog.Logger
}

// Handler is an httpd.Handler that accepts jobs and serves their event streams.
type Handler struct {
	parser    *jobrequest.Parser
	planners  platformapi.Planners
	ready     func() bool
	heartbeat time.Duration
	retain    time.Duration
	log       *slog.Logger
	epoch     string // random id of this process, part of its event ids

	mu         sync.Mutex      // guards the fields below
	jobs       map[string]*job // by request id
	finished   []*job          // finished jobs, oldest first
	eventBytes int             // size of all events in bytes

	mirrors map[int]func(*Stream) // send functions by sibling process
}

// New returns a Handler with a new random epoch, by which it recognizes event ids of earlier processes.
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

// Run sends heartbeats and evicts expired jobs until ctx is done.
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
	h.evictFinished(now)
	for _, j := range h.jobs {
		if j.subscriber != nil && now.Sub(j.lastWrite) >= h.heartbeat {
			j.lastWrite = now
			j.subscriber.Post(func(c *httpd.Conn) {
				if c.Write([]byte(":\n\n")); c.UnsentBytes() > maxUnsentBytes {
					c.Abort()
				}
			})
		}
	}
}

// evictFinished evicts the oldest finished jobs that exceed the retention time, maxFinishedJobs or maxEventBytes. The
// caller holds h.mu.
func (h *Handler) evictFinished(now time.Time) {
	n := 0
	for n < len(h.finished) && (now.Sub(h.finished[n].ended) >= h.retain || len(h.finished)-n > maxFinishedJobs || h.eventBytes > maxEventBytes) {
		j := h.finished[n]
		if j.subscriber != nil { // its last events have not been sent yet
			break
		}
		h.eventBytes -= j.bytes
		delete(h.jobs, j.id)
		h.finished[n] = nil
		n++
	}
	h.finished = h.finished[n:]
}

// Serve handles a request that submits a job or resumes its stream.
func (h *Handler) Serve(c *httpd.Conn, q *httpd.Request) {
	if q.Target == "/ready" {
		platformapi.Ready(c, q, h.ready())
		return
	}
	name := jobrequest.ClassName(q.Target)
	class := h.parser.Class(name)
	var err error
	switch {
	case class == nil && (q.Method != "GET" || !h.hasJobsOfClass(name)):
		err = &jobrequest.Error{Status: 404, Text: "no such class"}
	case q.Method != "POST" && q.Method != "GET":
		c.RespondLast(405, []http1.Field{{Name: "Allow", Value: "GET, POST"}}, []byte("only GET and POST\n"))
		return
	case !acceptsEventStream(q.Get("Accept")):
		err = &jobrequest.Error{Status: 406, Text: "answers here are text/event-stream"}
	case q.Method == "POST":
		err = h.create(c, q, class)
	default:
		err = h.resume(c, q, name, class)
	}
	if err != nil {
		platformapi.Reject(c, err)
	}
}

// Disconnected removes a subscriber that has disconnected. Its job continues.
func (h *Handler) Disconnected(c *httpd.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if j, ok := c.State.(*job); ok && j.subscriber == c {
		j.subscriber, j.flushing = nil, false
	}
}

func acceptsEventStream(accept string) bool {
	for part := range strings.SplitSeq(accept, ",") {
		kind, _, _ := strings.Cut(part, ";")
		if strings.EqualFold(strings.TrimSpace(kind), "text/event-stream") {
			return true
		}
	}
	return false
}

// create accepts a job, makes the client its subscriber and submits it to the planners.
func (h *Handler) create(c *httpd.Conn, q *httpd.Request, class *dispatcher.Class) error {
	limit := class.ClientTimeout
	parsed, deadline, err := h.parser.Parse(q, randomID(), limit)
	if err != nil {
		return err
	}
	deadline = min(deadline, h.parser.ClockTime(q.At)+limit)
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
	h.planners.SubmitRequest(dispatchdriver.NewExchange(parsed, deadline, j))
	return nil
}

// hasJobsOfClass reports whether there are jobs of a class, even if the class was removed from the settings.
func (h *Handler) hasJobsOfClass(name string) bool {
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

// resume continues a stream after the last event that the client has received.
func (h *Handler) resume(c *httpd.Conn, q *httpd.Request, name string, class *dispatcher.Class) error {
	id := eventID{class: name, request: q.Get("Request-Id")} // matches any epoch
	if last := q.Get("Last-Event-ID"); last != "" {
		var ok bool
		if id, ok = parseEventID(last); !ok || id.class != name {
			return &jobrequest.Error{Status: 400, Text: "Last-Event-ID is none of this path's"}
		}
	} else if id.request == "" {
		return errNothingToResume
	}
	if id.final {
		c.Respond(204, nil, nil) // the client has received the whole stream; 204 stops it from reconnecting
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
	// Another process accepted the job, or the job was evicted. Its outcome is unknown, and it is not run
	// again.
	reason := "the job is no longer known"
	if id.epoch != "" && id.epoch != h.epoch {
		reason = "the scheduler has restarted since; what became of the job is unknown"
	}
	beginStream(c)
	id = eventID{h.epoch, id.seq + 1, true, name, id.request}
	c.Write(formatEvent(id, "failed", nil, newFailure(class, reason, true)))
	c.EndStream()
	return nil
}

type failure struct {
	Reason     string `json:"reason"`
	Outcome    string `json:"outcome"`     // "not run", or "unknown" if the job may have run
	RepeatSafe bool   `json:"repeat_safe"` // whether the client may safely post the job again
}

// newFailure returns the data of a failed event. A job whose class was removed from the settings (c is nil) counts as not
// idempotent.
func newFailure(c *dispatcher.Class, reason string, mayHaveRun bool) failure {
	out := failure{reason, "not run", true}
	if mayHaveRun {
		out.Outcome = "unknown"
		out.RepeatSafe = c != nil && (c.Idempotency == dispatcher.Idempotent || c.Idempotency == dispatcher.IdempotentByKey && c.DedupScope == dispatcher.DedupAll)
	}
	return out
}
