package sse

import (
	"encoding/json"
	"strconv"
	"time"

	"sedgevale/dispatcher"
	"sedgevale/internal/dispatch"
	"sedgevale/internal/httpd"
)

// event is one event of a stream as it is sent.
type event struct {
	seq      int
	progress bool
	text     []byte
}

// job is a request and its stream of events. It is the dispatch.Client of its exchange and
// lives on without a subscriber. The handler's lock guards it.
type job struct {
	handler    *Handler
	id         string
	epoch      string            // of the process that accepted it
	sibling    int               // the process that runs it, in an upgrade; 0: this one
	class      *dispatcher.Class // as it was when the job came
	events     []event
	seq        int
	bytes      int
	final      bool
	ended      time.Time
	subscriber *httpd.Conn // nil: none at the moment
	sentSeq    int         // of the last event sent to the subscriber
	lastWrite  time.Time   // to the subscriber
	flushing   bool        // a flush is on its way to the subscriber's event loop
}

// Started is called when a worker has started the job.
func (j *job) Started() { j.emit("started", nil, struct{}{}, false) }

// Progress is called when a worker reports which share of the job is done.
func (j *job) Progress(share float64) {
	j.emit("progress", nil, struct {
		Share float64 `json:"share"`
	}{share}, false)
}

// Answer is called once, with the job's outcome.
func (j *job) Answer(a dispatch.Answer) {
	switch a.Kind {
	case dispatch.Served:
		j.emit("result", nil, struct {
			Result string `json:"result"`
		}{string(a.Result)}, true)
	case dispatch.Rejected:
		var retry []byte
		if a.RetryAfter > 0 {
			ms := max(1, a.RetryAfter.Milliseconds())
			retry = append(strconv.AppendInt([]byte("retry: "), ms, 10), '\n')
		}
		j.emit("refused", retry, struct {
			Reason     string  `json:"reason"`
			RetryAfter float64 `json:"retry_after"`
		}{a.Reason, a.RetryAfter.Seconds()}, true)
	case dispatch.Failed:
		j.emit("failed", nil, newFailure(j.class, a.Reason, a.MayHaveRun), true)
	}
}

// emit adds an event and has it sent. After the final event nothing is added.
func (j *job) emit(name string, fields []byte, data any, final bool) {
	h := j.handler
	h.mu.Lock()
	defer h.mu.Unlock()
	if j.final {
		return
	}
	id := eventID{j.epoch, j.seq + 1, final, j.class.Name, j.id}
	j.add(event{id.seq, name == "progress", format(id, name, fields, data)}, final)
}

// dropProgress keeps the stream bounded: it drops the oldest progress event.
func (j *job) dropProgress() {
	for i := 0; len(j.events) > maxEvents && i < len(j.events); i++ {
		if j.events[i].progress {
			j.bytes -= len(j.events[i].text)
			j.handler.eventBytes -= len(j.events[i].text)
			j.events = append(j.events[:i], j.events[i+1:]...)
			return
		}
	}
}

// wake has the subscriber's event loop send the new events.
func (j *job) wake() {
	if j.subscriber != nil && !j.flushing {
		j.flushing = true
		j.subscriber.Post(j.flush)
	}
}

// flush sends the new events to c, on its event loop.
func (j *job) flush(c *httpd.Conn) {
	h := j.handler
	h.mu.Lock()
	if j.subscriber != c {
		h.mu.Unlock()
		return
	}
	j.flushing = false
	var out []byte
	for _, e := range j.events {
		if e.seq > j.sentSeq {
			out = append(out, e.text...)
			j.sentSeq = e.seq
		}
	}
	j.lastWrite = time.Now()
	last := j.final
	if last {
		j.subscriber = nil
		c.State = nil
	}
	h.mu.Unlock()
	c.Write(out)
	switch {
	case last:
		c.EndStream()
	case c.UnsentBytes() > maxUnsent:
		h.log.Warn("a subscriber reads too slowly, its connection is closed; it may resume", "request", j.id)
		c.Abort()
	}
}

// attach makes c the job's subscriber, which has had the events up to seq. An earlier
// subscriber's connection is closed: there is one at a time. It runs on the event loop of c,
// without the lock: a write that fails closes the connection and calls Disconnected, which
// takes the lock.
func (j *job) attach(c *httpd.Conn, seq int) {
	beginStream(c)
	if c.Closed() {
		return
	}
	j.handler.mu.Lock()
	defer j.handler.mu.Unlock()
	if old := j.subscriber; old != nil && old != c {
		old.Post((*httpd.Conn).Abort)
	}
	j.subscriber, j.sentSeq, j.lastWrite, j.flushing = c, seq, time.Now(), false
	c.State = j
	j.wake()
}

func format(id eventID, name string, fields []byte, data any) []byte {
	b := append([]byte("id: "), id.String()...)
	b = append(append(b, "\nevent: "...), name...)
	b = append(append(b, '\n'), fields...)
	text, err := json.Marshal(data) // has no line ends
	if err != nil {
		text = []byte("{}")
	}
	return append(append(append(b, "data: "...), text...), "\n\n"...)
}
