package sse

import (
	"time"

	"sedgevale/dispatcher"
)

// Stream is the message that mirrors a job's event stream, or the new events of it, between the two processes of an
// upgrade.
type Stream struct {
	ID     string           `json:"id"`
	Epoch  string           `json:"epoch"`
	Class  dispatcher.Class `json:"class"`
	Events []StreamEvent    `json:"events"`
	Final  bool             `json:"final,omitempty"` // whether the last event ends the stream
}

// StreamEvent is one serialized event of a Stream.
type StreamEvent struct {
	Seq      int    `json:"seq"`
	Progress bool   `json:"progress,omitempty"`
	Text     string `json:"text"`
}

// Mirror calls send with all current streams and then with each new event, until EndMirror is called
// with the same sibling process. send is called with the Handler locked and must not block.
func (h *Handler) Mirror(sibling int, send func(*Stream)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.mirrors[sibling] = send
	for _, j := range h.jobs {
		send(j.stream(j.events))
	}
}

// stream returns the message that mirrors the given events of the job.
func (j *job) stream(events []event) *Stream {
	s := &Stream{ID: j.id, Epoch: j.epoch, Class: *j.class, Final: j.final}
	for _, e := range events {
		s.Events = append(s.Events, StreamEvent{e.seq, e.progress, string(e.text)})
	}
	return s
}

// AddMirrored adds the events of a stream of a sibling process. A client that lost its connection to
// that process can resume here, and cannot submit the job a second time.
func (h *Handler) AddMirrored(sibling int, s *Stream) {
	h.mu.Lock()
	defer h.mu.Unlock()
	j := h.jobs[s.ID]
	if j == nil {
		j = &job{handler: h, id: s.ID, epoch: s.Epoch, class: &s.Class, sibling: sibling}
		h.jobs[s.ID] = j
	}
	if j.epoch != s.Epoch { // both processes accepted the same id concurrently; keep this process's job
		return
	}
	for i, e := range s.Events {
		if e.Seq > j.seq {
			j.add(event{e.Seq, e.Progress, []byte(e.Text)}, s.Final && i == len(s.Events)-1)
		}
	}
}

// EndMirror ends mirroring with a sibling process that has ended. Each stream that the sibling left unfinished
// receives a final failed event.
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

// add appends an event to the stream and mirrors it. The caller holds Handler.mu.
func (j *job) add(e event, final bool) {
	h := j.handler
	j.seq = e.seq
	j.events = append(j.events, e)
	j.bytes += len(e.text)
	h.eventBytes += len(e.text)
	j.dropOldestProgress()
	if final {
		j.final, j.ended = true, time.Now()
		h.finished = append(h.finished, j)
		h.evictFinished(j.ended)
	}
	if len(h.mirrors) > 0 {
		s := j.stream([]event{e})
		for _, send := range h.mirrors {
			send(s)
		}
	}
	j.scheduleFlush()
}
