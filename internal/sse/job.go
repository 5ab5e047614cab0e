package sse

import (
	"encoding/json"
	"strconv"
	"time"

	"sedgevale"
	"sedgevale/internal/dispatch"
	"sedgevale/internal/httpd"
)

// event is one event of a stream as it is sent.
type event struct {
	seq      int
	progress bool
	text     []byte
}

// job is a request and its stream of events. It is the client side of its
// exchange and lives on without a subscriber. The front's lock guards it.
type job struct {
	front   *Handler
	id      string
	epoch   string           // of the run that took it
	partner int              // the process that has it, in an upgrade; 0: this one
	class   *sedgevale.Class // as it was when the job came
	events  []event
	seq     int
	bytes   int
	final   bool
	ended   time.Time
	sub     *httpd.Conn // nil: nobody listens now
	sent    int         // the last event given to sub
	wrote   time.Time   // when sub was last written to
	waiting bool        // a flush is on its way to sub's event loop
}

// Started is the core's.
func (j *job) Started() { j.emit("started", nil, struct{}{}, false) }

// Progress is the core's.
func (j *job) Progress(share float64) {
	j.emit("progress", nil, struct {
		Share float64 `json:"share"`
	}{share}, false)
}

// Answer is the core's.
func (j *job) Answer(a dispatch.Answer) {
	switch a.Kind {
	case dispatch.Served:
		j.emit("result", nil, struct {
			Result string `json:"result"`
		}{string(a.Result)}, true)
	case dispatch.Refused:
		var retry []byte
		if a.After > 0 {
			ms := max(1, a.After.Milliseconds())
			retry = append(strconv.AppendInt([]byte("retry: "), ms, 10), '\n')
		}
		j.emit("refused", retry, struct {
			Reason     string  `json:"reason"`
			RetryAfter float64 `json:"retry_after"`
		}{a.Reason, a.After.Seconds()}, true)
	case dispatch.Failed:
		j.emit("failed", nil, failureOf(j.class, a.Reason, a.Ran), true)
	}
}

// emit adds an event and has it sent. After the final one nothing is added.
func (j *job) emit(name string, fields []byte, data any, final bool) {
	f := j.front
	f.mu.Lock()
	defer f.mu.Unlock()
	if j.final {
		return
	}
	id := eventID{j.epoch, j.seq + 1, final, j.class.Name, j.id}
	j.add(event{id.seq, name == "progress", format(id, name, fields, data)}, final)
}

// trim keeps the stream bounded: of many progress events the oldest tell least.
func (j *job) trim() {
	for i := 0; len(j.events) > maxEvents && i < len(j.events); i++ {
		if j.events[i].progress {
			j.bytes -= len(j.events[i].text)
			j.front.bytes -= len(j.events[i].text)
			j.events = append(j.events[:i], j.events[i+1:]...)
			return
		}
	}
}

// wake has the subscriber's event loop send what is new.
func (j *job) wake() {
	if j.sub != nil && !j.waiting {
		j.waiting = true
		j.sub.Post(j.flush)
	}
}

// flush runs on the event loop of c.
func (j *job) flush(c *httpd.Conn) {
	f := j.front
	f.mu.Lock()
	if j.sub != c {
		f.mu.Unlock()
		return
	}
	j.waiting = false
	var out []byte
	for _, e := range j.events {
		if e.seq > j.sent {
			out = append(out, e.text...)
			j.sent = e.seq
		}
	}
	j.wrote = time.Now()
	last := j.final
	if last {
		j.sub = nil
		c.State = nil
	}
	f.mu.Unlock()
	c.Write(out)
	switch {
	case last:
		c.EndStream()
	case c.Unsent() > maxUnsent:
		f.log.Warn("a subscriber reads too slowly, its connection is closed; it may resume", "request", j.id)
		c.Abort()
	}
}

// attach makes c the job's subscriber, who has had the events up to seq. An
// earlier subscriber's connection is closed: one client cannot listen twice. It
// runs on the event loop of c, without the lock: a write that fails closes the
// connection and calls Gone, which takes the lock.
func (j *job) attach(c *httpd.Conn, seq int) {
	beginStream(c)
	if c.Closed() {
		return
	}
	j.front.mu.Lock()
	defer j.front.mu.Unlock()
	if old := j.sub; old != nil && old != c {
		old.Post((*httpd.Conn).Abort)
	}
	j.sub, j.sent, j.wrote, j.waiting = c, seq, time.Now(), false
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
