package sse

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"sedgevale/dispatcher"
	"sedgevale/internal/dispatch"
	"sedgevale/internal/jobrequest"
)

func newTestHandler() *Handler {
	return New(Options{Parser: jobrequest.New(dispatch.NewClock(), &jobrequest.Settings{}), Log: slog.New(slog.DiscardHandler)})
}

func (h *Handler) add(id string) *job {
	j := &job{handler: h, id: id, epoch: h.epoch, class: &dispatcher.Class{Name: "free"}}
	h.jobs[id] = j
	return j
}

// Guards against a second final event, against a stream that grows without
// bound, and against the loss of what matters in it.
func TestStreamIsBoundedAndEndsOnce(t *testing.T) {
	f := newTestHandler()
	j := f.add("a")
	j.Started()
	for i := range 5 * maxEventsPerJob {
		j.Progress(float64(i))
	}
	j.Answer(dispatch.Answer{Kind: dispatch.Served, Result: []byte("r")})
	j.Answer(dispatch.Answer{Kind: dispatch.Failed})
	j.Progress(1)
	var all strings.Builder
	bytes := 0
	for _, e := range j.events {
		all.Write(e.text)
		bytes += len(e.text)
	}
	if len(j.events) > maxEventsPerJob || bytes != f.eventBytes || bytes != j.bytes {
		t.Errorf("%d events, %d bytes counted as %d", len(j.events), bytes, f.eventBytes)
	}
	if s := all.String(); !strings.Contains(s, "event: started") || strings.Count(s, "event: result") != 1 ||
		strings.Contains(s, "event: failed") || !strings.HasSuffix(s, "data: {\"result\":\"r\"}\n\n") {
		t.Errorf("the stream is %s", s)
	}
}

// Finished jobs are kept for a while, and so many at most; those that run on
// are always kept.
func TestRetention(t *testing.T) {
	f := newTestHandler()
	f.add("runs")
	for i := range maxFinishedJobs + 10 {
		f.add(randomID()).Answer(dispatch.Answer{Kind: dispatch.Rejected, RetryAfter: time.Duration(i)})
	}
	if n := len(f.jobs); n != maxFinishedJobs+1 {
		t.Errorf("%d jobs kept", n)
	}
	f.evictFinished(time.Now().Add(f.retain))
	if len(f.jobs) != 1 || f.jobs["runs"] == nil || f.eventBytes != 0 || len(f.finished) != 0 {
		t.Errorf("%d jobs and %d bytes kept", len(f.jobs), f.eventBytes)
	}
}

// Only a job that may run twice, or never ran, is marked as safe to post again.
func TestRepeatSafe(t *testing.T) {
	for _, c := range []struct {
		class *dispatcher.Class
		want  bool
	}{
		{&dispatcher.Class{Name: "free"}, true},
		{&dispatcher.Class{Name: "once", Idempotency: dispatcher.NotIdempotent}, false},
		{&dispatcher.Class{Name: "all", Idempotency: dispatcher.IdempotentByKey}, true},
		{&dispatcher.Class{Name: "cell", Idempotency: dispatcher.IdempotentByKey, DedupScope: dispatcher.DedupCell}, false},
		{nil, false}, // the class is gone
	} {
		if got := newFailure(c.class, "", true); got.RepeatSafe != c.want || got.Outcome != "unknown" {
			t.Errorf("%+v, which may have run: %+v", c.class, got)
		}
		if got := newFailure(c.class, "", false); !got.RepeatSafe || got.Outcome != "not run" {
			t.Errorf("%+v, which never ran: %+v", c.class, got)
		}
	}
}

// Guards against streams that an upgrade loses, repeats or leaves without an end: what
// was there and what comes later is sent, each event once, and where the other process
// crashes, one final event follows.
func TestMirror(t *testing.T) {
	old, next := newTestHandler(), newTestHandler()
	j, lost := old.add("a"), old.add("lost")
	j.Started()
	lost.Started()
	old.Mirror(1, func(s *Stream) {
		next.AddMirrored(1, s)
		next.AddMirrored(1, s) // no harm if it comes twice
	})
	j.Progress(0.5)
	j.Answer(dispatch.Answer{Kind: dispatch.Served, Result: []byte("r")})
	text := func(j *job) (all string) {
		for _, e := range j.events {
			all += string(e.text)
		}
		return all
	}
	if got := next.jobs["a"]; got == nil || text(got) != text(j) || !got.final || got.seq != j.seq || got.epoch != old.epoch {
		t.Errorf("mirrored is %+v", got)
	}
	next.EndMirror(1)
	next.EndMirror(1)
	got := next.jobs["lost"]
	if s := text(got); !got.final || strings.Count(s, "event: failed") != 1 || !strings.Contains(s, `"repeat_safe":true`) ||
		!strings.Contains(s, old.epoch+":2.end:free:lost") || strings.Count(text(next.jobs["a"]), "event: ") != 3 {
		t.Errorf("what the other did not end: %s", s)
	}
	old.EndMirror(1)
	old.add("later").Started()
	if next.jobs["later"] != nil || next.eventBytes != len(text(got))+len(text(j)) {
		t.Errorf("an event after EndMirror, or %d bytes counted", next.eventBytes)
	}
}
