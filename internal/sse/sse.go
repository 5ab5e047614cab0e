// Package sse is the second front: clients follow their jobs by server-sent
// events. It keeps the same rules as the first. A stream has any number of
// accepted, started and progress events and then exactly one final event:
// result, refused or failed. A client that lost its connection goes on from the
// last event it has had.
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

	"sedgevale"
	"sedgevale/internal/dispatch"
	"sedgevale/internal/http1"
	"sedgevale/internal/httpd"
	"sedgevale/internal/jobrequest"
	"sedgevale/internal/platformapi"
)

const (
	maxEvents = 64       // of a job; older progress events are dropped beyond
	maxUnsent = 64 << 10 // what a slow subscriber may leave unread
	maxFinished   = 4096     // jobs kept after their end
	maxBytes  = 16 << 20 // of all events kept
	tickInterval = time.Second
)

// Options set a Front up.
type Options struct {
	Rules     *jobrequest.Parser
	Planners  platformapi.Planners
	Ready     func() bool
	Heartbeat time.Duration // between comments on a stream that says nothing; 0: 10 s
	Retain    time.Duration // how long a finished job can be asked for; 0: a minute
	Log       *slog.Logger
}

// Handler is an httpd.Handler.
type Handler struct {
	rules     *jobrequest.Parser
	planners  platformapi.Planners
	ready     func() bool
	heartbeat time.Duration
	retain    time.Duration
	log       *slog.Logger
	epoch     string

	mu    sync.Mutex
	jobs  map[string]*job
	finished  []*job // finished, the oldest first
	bytes int

	mirrors map[int]func(*Stream) // by partner
}

// New returns a Front. Its epoch is new with each: ids of an earlier run are
// known as such.
func New(o Options) *Handler {
	f := &Handler{rules: o.Rules, planners: o.Planners, ready: o.Ready, heartbeat: o.Heartbeat, retain: o.Retain,
		log: o.Log, epoch: randomID(), jobs: map[string]*job{},
		mirrors: map[int]func(*Stream){}}
	if f.heartbeat <= 0 {
		f.heartbeat = 10 * time.Second
	}
	if f.retain <= 0 {
		f.retain = time.Minute
	}
	return f
}

func randomID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// Run sends heartbeats and drops what was kept long enough, until the context
// ends.
func (f *Handler) Run(ctx context.Context) {
	tick := time.NewTicker(min(tickInterval, f.heartbeat, f.retain))
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			f.tick(now)
		case <-ctx.Done():
			return
		}
	}
}

func (f *Handler) tick(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retire(now)
	for _, j := range f.jobs {
		if j.sub != nil && now.Sub(j.wrote) >= f.heartbeat {
			j.wrote = now
			j.sub.Post(func(c *httpd.Conn) {
				if c.Write([]byte(":\n\n")); c.Unsent() > maxUnsent {
					c.Abort()
				}
			})
		}
	}
}

// retire drops finished jobs that are too old or too many.
func (f *Handler) retire(now time.Time) {
	n := 0
	for n < len(f.finished) && (now.Sub(f.finished[n].ended) >= f.retain || len(f.finished)-n > maxFinished || f.bytes > maxBytes) {
		j := f.finished[n]
		if j.sub != nil { // its last events are on their way
			break
		}
		f.bytes -= j.bytes
		delete(f.jobs, j.id)
		f.finished[n] = nil
		n++
	}
	f.finished = f.finished[n:]
}

// Serve is called with each request.
func (f *Handler) Serve(c *httpd.Conn, q *httpd.Request) {
	if q.Target == "/ready" {
		platformapi.Ready(c, q, f.ready())
		return
	}
	name := jobrequest.ClassName(q.Target)
	class := f.rules.Class(name)
	var err error
	switch {
	case class == nil && (q.Method != "GET" || !f.hasJobOf(name)):
		err = &jobrequest.Error{Status: 404, Text: "no such class"}
	case q.Method != "POST" && q.Method != "GET":
		c.RespondLast(405, []http1.Field{{Name: "Allow", Value: "GET, POST"}}, []byte("only GET and POST\n"))
		return
	case !accepts(q.Get("Accept")):
		err = &jobrequest.Error{Status: 406, Text: "answers here are text/event-stream"}
	case q.Method == "POST":
		err = f.post(c, q, class)
	default:
		err = f.resume(c, q, name, class)
	}
	if err != nil {
		platformapi.Reject(c, err)
	}
}

// Gone is called when a subscriber has left. Its job goes on.
func (f *Handler) Gone(c *httpd.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if j, ok := c.State.(*job); ok && j.sub == c {
		j.sub, j.waiting = nil, false
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

// post takes a job in.
func (f *Handler) post(c *httpd.Conn, q *httpd.Request, class *sedgevale.Class) error {
	limit := class.Limit
	work, deadline, err := f.rules.Parse(q, randomID(), limit)
	if err != nil {
		return err
	}
	deadline = min(deadline, f.rules.Time(q.At)+limit)
	f.mu.Lock()
	if f.jobs[work.ID] != nil {
		f.mu.Unlock()
		return &jobrequest.Error{Status: 409, Text: "this Request-Id is known; GET with it, or with Last-Event-ID, resumes"}
	}
	j := &job{front: f, id: work.ID, epoch: f.epoch, class: work.Class}
	f.jobs[j.id] = j
	f.mu.Unlock()
	j.attach(c, 0)
	j.emit("accepted", nil, struct {
		Request string `json:"request"`
	}{j.id}, false)
	f.planners.Request(dispatch.NewExchange(work, deadline, j))
	return nil
}

// hasJobOf reports whether there are jobs of a class by that name, which may be gone by now.
func (f *Handler) hasJobOf(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, j := range f.jobs {
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

// resume goes on with a stream after the last event that the client has had.
func (f *Handler) resume(c *httpd.Conn, q *httpd.Request, name string, class *sedgevale.Class) error {
	id := eventID{class: name, request: q.Get("Request-Id")} // of whichever run has it
	if last := q.Get("Last-Event-ID"); last != "" {
		var ok bool
		if id, ok = parseID(last); !ok || id.class != name {
			return &jobrequest.Error{Status: 400, Text: "Last-Event-ID is none of this path's"}
		}
	} else if id.request == "" {
		return errNothingToResume
	}
	if id.final {
		c.Respond(204, nil, nil) // the client has all; it need not come again
		return nil
	}
	f.mu.Lock()
	j := f.jobs[id.request]
	known := j != nil && (id.epoch == "" || id.epoch == j.epoch) && j.class.Name == name && id.seq <= j.seq
	f.mu.Unlock()
	if known {
		j.attach(c, id.seq)
		return nil
	}
	// Another run of the scheduler took the job, or it is too long ago. Nobody
	// knows here what became of it, and nothing is run again.
	reason := "the job is no longer known"
	if id.epoch != "" && id.epoch != f.epoch {
		reason = "the scheduler has restarted since; what became of the job is unknown"
	}
	beginStream(c)
	id = eventID{f.epoch, id.seq + 1, true, name, id.request}
	c.Write(format(id, "failed", nil, failureOf(class, reason, true)))
	c.EndStream()
	return nil
}

type failure struct {
	Reason     string `json:"reason"`
	Outcome    string `json:"outcome"`     // what the worker did, as far as is known
	RepeatSafe bool   `json:"repeat_safe"` // the client may post the job again
}

// failureOf says what a client may do. A class that is gone is taken for one that
// must not run twice.
func failureOf(c *sedgevale.Class, reason string, ran bool) failure {
	out := failure{reason, "not run", true}
	if ran {
		out.Outcome = "unknown"
		out.RepeatSafe = c != nil && (c.Effect == sedgevale.Safe || c.Effect == sedgevale.Keyed && c.Scope == sedgevale.ScopeAll)
	}
	return out
}
