package sse

import (
	"encoding/json"
	"strconv"
	"time"

	"sedgevale/dispatcher"
	"sedgevale/internal/dispatchdriver"
	"sedgevale/internal/httpd"
)

// event is one serialized event of a stream.
type event struct {
	seq      int
	progress bool
	text     []byte
}

// job is a request with its event stream. It is the dispatchdriver.Client of its exchange and
// continues without a subscriber. Handler.mu guards its fields.
type job struct {
	handler    *Handler
	id         string
	epoch      string            // Handler.epoch of the process that accepted it
	sibling    int               // process that runs it during an upgrade; 0 for this process
	class      *dispatcher.Class // class at the time the job was accepted
	events     []event
	seq        int
	bytes      int
	final      bool
	ended      time.Time
	subscriber *httpd.Conn // nil if there is none
	sentSeq    int         // sequence number of the last event sent to the subscriber
	lastWrite  time.Time   // time of the last write to the subscriber
	flushing   bool        // whether a flush is scheduled on the subscriber's event loop
}

// Started implements dispatchdriver.Client: a worker has started an attempt at the job.
func (j *job) Started() { j.emit("started", nil, struct{}{}, false) }

// Progress implements dispatchdriver.Client: a worker has reported the completed share of the job, from 0 to 1.
func (j *job) Progress(share float64) {
	j.emit("progress", nil, struct {
		Share float64 `json:"share"`
	}{share}, false)
}

// Respond implements dispatchdriver.Client: it is called once with the outcome of the job.
func (j *job) Respond(a dispatchdriver.Response) {
	switch a.Kind {
	case dispatchdriver.Served:
		j.emit("result", nil, struct {
			Result string `json:"result"`
		}{string(a.Result)}, true)
	case dispatchdriver.Rejected:
		var retry []byte
		if a.RetryAfter > 0 {
			ms := max(1, a.RetryAfter.Milliseconds())
			retry = append(strconv.AppendInt([]byte("retry: "), ms, 10), '\n')
		}
		j.emit("refused", retry, struct {
			Reason     string  `json:"reason"`
			RetryAfter float64 `json:"retry_after"`
		}{a.Reason, a.RetryAfter.Seconds()}, true)
	case dispatchdriver.Failed:
		j.emit("failed", nil, newFailure(j.class, a.Reason, a.MayHaveRun), true)
	}
}

// emit appends an event to the stream and schedules sending it. It ignores events after the final one.
func (j *job) emit(name string, fields []byte, data any, final bool) {
	h := j.handler
	h.mu.Lock()
	defer h.mu.Unlock()
	if j.final {
		return
	}
	id := eventID{j.epoch, j.seq + 1, final, j.class.Name, j.id}
	j.add(event{id.seq, name == "progress", formatEvent(id, name, fields, data)}, final)
}

// dropOldestProgress removes the oldest progress event if the stream has more than maxEventsPerJob events.
func (j *job) dropOldestProgress() {
	for i := 0; len(j.events) > maxEventsPerJob && i < len(j.events); i++ {
		if j.events[i].progress {
			j.bytes -= len(j.events[i].text)
			j.handler.eventBytes -= len(j.events[i].text)
			j.events = append(j.events[:i], j.events[i+1:]...)
			return
		}
	}
}

// scheduleFlush schedules a flush on the subscriber's event loop. The caller holds Handler.mu.
func (j *job) scheduleFlush() {
	if j.subscriber != nil && !j.flushing {
		j.flushing = true
		j.subscriber.Post(j.flush)
	}
}

// flush sends the events that the subscriber c has not received yet. It runs on c's event loop.
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
	case c.UnsentBytes() > maxUnsentBytes:
		h.log.Warn("subscriber reads its event stream too slowly; closing its connection (the client can resume)", "request", j.id)
		c.Abort()
	}
}

// attach makes c the job's subscriber, which has already received the events up to seq. Because a job has at most one
// subscriber, attach closes the connection of the previous one. It runs on c's event loop and must be called without
// Handler.mu: a failed write closes the connection and calls Disconnected, which acquires the lock.
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
	j.scheduleFlush()
}

func formatEvent(id eventID, name string, fields []byte, data any) []byte {
	b := append([]byte("id: "), id.String()...)
	b = append(append(b, "\nevent: "...), name...)
	b = append(append(b, '\n'), fields...)
	text, err := json.Marshal(data) // contains no line breaks
	if err != nil {
		text = []byte("{}")
	}
	return append(append(append(b, "data: "...), text...), "\n\n"...)
}
