package sse

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"sedgevale/dispatcher"
	"sedgevale/internal/dispatchdriver"
	"sedgevale/internal/jobrequest"
)

func newTestHandler() *Handler {
	return New(Options{Parser: jobrequest.New(dispatchdriver.NewClock(), &jobrequest.Settings{}), Log: slog.New(slog.DiscardHandler)})
}

// addJob adds a job without a subscriber.
func (h *Handler) addJob(id string) *job {
	j := &job{handler: h, id: id, epoch: h.epoch, class: &dispatcher.Class{Name: "free"}}
	h.jobs[id] = j
	return j
}

// TestStreamIsBoundedAndEndsOnce guards against a second final event, against a stream that grows without
// bound, and against dropping events other than progress.
func TestStreamIsBoundedAndEndsOnce(t *testing.T) {
	h := newTestHandler()
	j := h.addJob("a")
	j.Started()
	for i := range 5 * maxEventsPerJob {
		j.Progress(float64(i))
	}
	j.Respond(dispatchdriver.Response{Kind: dispatchdriver.Served, Result: []byte("r")})
	j.Respond(dispatchdriver.Response{Kind: dispatchdriver.Failed})
	j.Progress(1)
	var all strings.Builder
	bytes := 0
	for _, e := range j.events {
		all.Write(e.text)
		bytes += len(e.text)
	}
	if len(j.events) > maxEventsPerJob || bytes != h.eventBytes || bytes != j.bytes {
		t.Errorf("got %d events of %d bytes, which the handler counts as %d bytes", len(j.events), bytes, h.eventBytes)
	}
	if s := all.String(); !strings.Contains(s, "event: started") || strings.Count(s, "event: result") != 1 ||
		strings.Contains(s, "event: failed") || !strings.HasSuffix(s, "data: {\"result\":\"r\"}\n\n") {
		t.Errorf("got stream %s", s)
	}
}

// TestRetention checks that finished jobs are kept for the retention time and up to maxFinishedJobs, and that unfinished
// jobs are always kept.
func TestRetention(t *testing.T) {
	h := newTestHandler()
	h.addJob("runs")
	for i := range maxFinishedJobs + 10 {
		h.addJob(randomID()).Respond(dispatchdriver.Response{Kind: dispatchdriver.Rejected, RetryAfter: time.Duration(i)})
	}
	if n := len(h.jobs); n != maxFinishedJobs+1 {
		t.Errorf("%d jobs kept, want %d", n, maxFinishedJobs+1)
	}
	h.evictFinished(time.Now().Add(h.retain))
	if len(h.jobs) != 1 || h.jobs["runs"] == nil || h.eventBytes != 0 || len(h.finished) != 0 {
		t.Errorf("after the retention time: %d jobs and %d bytes kept, want 1 unfinished job and 0 bytes", len(h.jobs), h.eventBytes)
	}
}

// TestRepeatSafe checks that only an idempotent job, or one that did not run, is marked as safe to post again.
func TestRepeatSafe(t *testing.T) {
	for _, c := range []struct {
		class *dispatcher.Class
		want  bool
	}{
		{&dispatcher.Class{Name: "free"}, true},
		{&dispatcher.Class{Name: "once", Idempotency: dispatcher.NotIdempotent}, false},
		{&dispatcher.Class{Name: "all", Idempotency: dispatcher.IdempotentByKey}, true},
		{&dispatcher.Class{Name: "cell", Idempotency: dispatcher.IdempotentByKey, DedupScope: dispatcher.DedupCell}, false},
		{nil, false}, // the class was removed from the settings
	} {
		if got := newFailure(c.class, "", true); got.RepeatSafe != c.want || got.Outcome != "unknown" {
			t.Errorf("class %+v, job may have run: got %+v", c.class, got)
		}
		if got := newFailure(c.class, "", false); !got.RepeatSafe || got.Outcome != "not run" {
			t.Errorf("class %+v, job did not run: got %+v", c.class, got)
		}
	}
}

// TestMirror guards against streams that an upgrade loses, duplicates or leaves without a final event: existing and
// later events are mirrored, each event is added once, and if the other process crashes, one final event is added.
func TestMirror(t *testing.T) {
	old, next := newTestHandler(), newTestHandler()
	j, lost := old.addJob("a"), old.addJob("lost")
	j.Started()
	lost.Started()
	old.Mirror(1, func(s *Stream) {
		next.AddMirrored(1, s)
		next.AddMirrored(1, s) // a duplicate is ignored
	})
	j.Progress(0.5)
	j.Respond(dispatchdriver.Response{Kind: dispatchdriver.Served, Result: []byte("r")})
	text := func(j *job) (all string) {
		for _, e := range j.events {
			all += string(e.text)
		}
		return all
	}
	if got := next.jobs["a"]; got == nil || text(got) != text(j) || !got.final || got.seq != j.seq || got.epoch != old.epoch {
		t.Errorf("mirrored job: got %+v", got)
	}
	next.EndMirror(1)
	next.EndMirror(1)
	got := next.jobs["lost"]
	if s := text(got); !got.final || strings.Count(s, "event: failed") != 1 || !strings.Contains(s, `"repeat_safe":true`) ||
		!strings.Contains(s, old.epoch+":2.end:free:lost") || strings.Count(text(next.jobs["a"]), "event: ") != 3 {
		t.Errorf("job that the sibling left unfinished: got stream %s", s)
	}
	old.EndMirror(1)
	old.addJob("later").Started()
	if next.jobs["later"] != nil || next.eventBytes != len(text(got))+len(text(j)) {
		t.Errorf("after EndMirror: an event was mirrored, or %d bytes are counted", next.eventBytes)
	}
}
