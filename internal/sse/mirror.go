package sse

import (
	"time"

	"sedgevale/dispatcher"
)

// Stream is a job's events, or the new ones, as one process of an upgrade sends them to the
// other.
type Stream struct {
	ID     string           `json:"id"`
	Epoch  string           `json:"epoch"`
	Class  dispatcher.Class `json:"class"`
	Events []StreamEvent    `json:"events"`
	Final  bool             `json:"final,omitempty"` // the last event ends the stream
}

// StreamEvent is one event as it is sent.
type StreamEvent struct {
	Seq      int    `json:"seq"`
	Progress bool   `json:"progress,omitempty"`
	Text     string `json:"text"`
}

// Mirror calls send with all streams, and with each event from now on, until EndMirror is called
// with the sibling process's number. Send must not block.
func (h *Handler) Mirror(sibling int, send func(*Stream)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.mirrors[sibling] = send
	for _, j := range h.jobs {
		send(j.stream(j.events))
	}
}

// stream returns the job with some of its events, as it is sent to a sibling process.
func (j *job) stream(events []event) *Stream {
	s := &Stream{ID: j.id, Epoch: j.epoch, Class: *j.class, Final: j.final}
	for _, e := range events {
		s.Events = append(s.Events, StreamEvent{e.seq, e.progress, string(e.text)})
	}
	return s
}

// AddMirrored adds the events of a stream of a sibling process. A client that lost its connection
// there can resume here, and cannot have the job run again.
func (h *Handler) AddMirrored(sibling int, s *Stream) {
	h.mu.Lock()
	defer h.mu.Unlock()
	j := h.jobs[s.ID]
	if j == nil {
		j = &job{handler: h, id: s.ID, epoch: s.Epoch, class: &s.Class, sibling: sibling}
		h.jobs[s.ID] = j
	}
	if j.epoch != s.Epoch { // both processes accepted the id at the same moment; this is the own job
		return
	}
	for i, e := range s.Events {
		if e.Seq > j.seq {
			j.add(event{e.Seq, e.Progress, []byte(e.Text)}, s.Final && i == len(s.Events)-1)
		}
	}
}

// EndMirror ends the mirroring with a sibling process that is gone. Each stream that it has not
// ended gets its final event here.
func (h *Handler) EndMirror(sibling int) {
	h.mu.Lock()
	delete(h.mirrors, sibling)
	var orphaned []*job
	for _, j := range h.jobs {
		if j.sibling == sibling && !j.final {
			orphaned = append(orphaned, j)
		}
	}
	h.mu.Unlock()
	for _, j := range orphaned {
		j.emit("failed", nil, newFailure(j.class, "the process that had the job has ended", true), true)
	}
}

// add adds an event to the stream. The handler's lock is held.
func (j *job) add(e event, final bool) {
	h := j.handler
	j.seq = e.seq
	j.events = append(j.events, e)
	j.bytes += len(e.text)
	h.eventBytes += len(e.text)
	j.dropProgress()
	if final {
		j.final, j.ended = true, time.Now()
		h.finished = append(h.finished, j)
		h.dropFinished(j.ended)
	}
	if len(h.mirrors) > 0 {
		s := j.stream([]event{e})
		for _, send := range h.mirrors {
			send(s)
		}
	}
	j.wake()
}
