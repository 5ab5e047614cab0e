package sse

import (
	"time"

	"sedgevale"
)

// Stream is a job's events, or what is new of them, as one process tells them the
// next in an upgrade.
type Stream struct {
	ID     string          `json:"id"`
	Epoch  string          `json:"epoch"`
	Class  sedgevale.Class `json:"class"`
	Events []StreamEvent   `json:"events"`
	Final  bool            `json:"final,omitempty"` // the last event ends the stream
}

// StreamEvent is one event as it is sent.
type StreamEvent struct {
	Seq      int    `json:"seq"`
	Progress bool   `json:"progress,omitempty"`
	Text     string `json:"text"`
}

// Mirror tells a partner, known by a number, of all streams and of each event that
// comes from now on. Tell must not block.
func (f *Handler) Mirror(number int, tell func(*Stream)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mirrors[number] = tell
	for _, j := range f.jobs {
		tell(j.stream(j.events))
	}
}

func (j *job) stream(events []event) *Stream {
	s := &Stream{ID: j.id, Epoch: j.epoch, Class: *j.class, Final: j.final}
	for _, e := range events {
		s.Events = append(s.Events, StreamEvent{e.seq, e.progress, string(e.text)})
	}
	return s
}

// Take adds what a partner tells of a stream of its own. A client that lost its
// connection there can go on here, and cannot have the job run again.
func (f *Handler) Take(number int, s *Stream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	j := f.jobs[s.ID]
	if j == nil {
		j = &job{front: f, id: s.ID, epoch: s.Epoch, class: &s.Class, partner: number}
		f.jobs[s.ID] = j
	}
	if j.epoch != s.Epoch { // both had the id at the same moment; here is our own job
		return
	}
	for i, e := range s.Events {
		if e.Seq > j.seq {
			j.add(event{e.Seq, e.Progress, []byte(e.Text)}, s.Final && i == len(s.Events)-1)
		}
	}
}

// Part ends the telling of a partner that is gone. What it has not ended, nobody
// will: each of its streams gets its final event here.
func (f *Handler) Part(number int) {
	f.mu.Lock()
	delete(f.mirrors, number)
	var left []*job
	for _, j := range f.jobs {
		if j.partner == number && !j.final {
			left = append(left, j)
		}
	}
	f.mu.Unlock()
	for _, j := range left {
		j.emit("failed", nil, failureOf(j.class, "the process that had the job has ended", true), true)
	}
}

// add adds an event to the stream, under the front's lock.
func (j *job) add(e event, final bool) {
	f := j.front
	j.seq = e.seq
	j.events = append(j.events, e)
	j.bytes += len(e.text)
	f.bytes += len(e.text)
	j.trim()
	if final {
		j.final, j.ended = true, time.Now()
		f.finished = append(f.finished, j)
		f.retire(j.ended)
	}
	if len(f.mirrors) > 0 {
		s := j.stream([]event{e})
		for _, tell := range f.mirrors {
			tell(s)
		}
	}
	j.wake()
}
