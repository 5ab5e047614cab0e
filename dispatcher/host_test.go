package dispatcher

// This file holds the fake host and helpers of the tests.

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

type sent struct {
	id, worker string
	n          int
	at         time.Duration
}

type timerAt struct {
	at    time.Duration
	token uint64
}

type closed struct {
	at     time.Duration
	worker string
}

// fakeHost is a Host that records its calls, with a simulated clock.
type fakeHost struct {
	t        *testing.T
	now      time.Duration
	sends    []sent
	attempts map[string]int
	ends     map[string]string
	cancels  []string
	probes   []string
	closes   []closed
	timers   []timerAt
	watches  int
	trace    strings.Builder
}

func (h *fakeHost) record(format string, args ...any) {
	fmt.Fprintf(&h.trace, "%d "+format+"\n", append([]any{h.now}, args...)...)
}

func (h *fakeHost) Send(id, worker string, timeout time.Duration) {
	if h.ends[id] != "" {
		h.t.Errorf("request %s was sent after its end", id)
	}
	h.sends = append(h.sends, sent{id, worker, h.attempts[id], h.now})
	h.attempts[id]++
	h.record("send %s %s %d", id, worker, timeout)
}

func (h *fakeHost) end(id, how string) {
	if h.ends[id] != "" {
		h.t.Errorf("request %s ended twice: %s, %s", id, h.ends[id], how)
	}
	h.ends[id] = how
	h.record("%s %s", how, id)
}

func (h *fakeHost) Reject(id string, _ time.Duration) { h.end(id, "rejected") }

func (h *fakeHost) Fail(id string) { h.end(id, "failed") }

func (h *fakeHost) Cancel(id string, n int) {
	h.cancels = append(h.cancels, fmt.Sprint(id, n))
	h.record("cancel %s %d", id, n)
}

func (h *fakeHost) SetTimer(after time.Duration, token uint64) {
	h.timers = append(h.timers, timerAt{h.now + after, token})
	h.record("timer %d %d", after, token)
}

func (h *fakeHost) Probe(worker string) {
	h.probes = append(h.probes, worker)
	h.record("probe %s", worker)
}

func (h *fakeHost) CloseIdleConnections(worker string) {
	h.closes = append(h.closes, closed{h.now, worker})
	h.record("close %s", worker)
}

func (h *fakeHost) WatchWorkers() { h.watches++; h.record("watch") }

func (h *fakeHost) Log(text string) { h.record("log %s", text) }

// lastWorker returns the worker of the last send, or "" if there was none.
func (h *fakeHost) lastWorker() string {
	if len(h.sends) == 0 {
		return ""
	}
	return h.sends[len(h.sends)-1].worker
}

// run advances the clock to a time and fires the timers due by then.
func (h *fakeHost) run(d *Dispatcher, to time.Duration) {
	for {
		next := -1
		for i, t := range h.timers {
			if t.at <= to && (next < 0 || t.at < h.timers[next].at) {
				next = i
			}
		}
		if next < 0 {
			h.now = to
			return
		}
		t := h.timers[next]
		h.timers = slices.Delete(h.timers, next, next+1)
		h.now = max(h.now, t.at)
		d.TimerFired(h.now, t.token)
	}
}

func settings() Settings {
	return Settings{
		Classes: []Class{
			{Name: "safe", Idempotency: Idempotent, LatencyTarget: 200 * ms, TargetStretch: 2, ClientTimeout: 5 * time.Second, LateValue: 0.5},
			{Name: "keyed", Idempotency: IdempotentByKey, DedupScope: DedupZone, DedupWindow: 2 * time.Second, LatencyTarget: 200 * ms, TargetStretch: 2,
				ClientTimeout: 5 * time.Second, LateValue: 0.5},
			{Name: "unsafe", Idempotency: NotIdempotent, LatencyTarget: 200 * ms, TargetStretch: 2, ClientTimeout: 5 * time.Second, LateValue: 0.5},
		},
		MaxAttempts: 4, AllowHedging: true, AllowCancel: true, StartNotified: true, WeightMeaning: WeightSize,
	}
}

func start(t *testing.T, set Settings, workers ...WorkerInfo) (*Dispatcher, *fakeHost) {
	t.Helper()
	h := &fakeHost{t: t, now: time.Hour, attempts: map[string]int{}, ends: map[string]string{}}
	d, err := New(set, 1, h)
	if err != nil {
		t.Fatal(err)
	}
	d.WorkersUpdated(h.now, UpdateStale, workers)
	return d, h
}

func fleet(n int) []WorkerInfo {
	var all []WorkerInfo
	for i := range n {
		all = append(all, WorkerInfo{Name: fmt.Sprint("w", i), Zone: i % 2, Cell: i % 3, Weight: 1})
	}
	return all
}

func (h *fakeHost) submit(d *Dispatcher, id string, class int) {
	h.t.Helper()
	if err := d.SubmitRequest(h.now, Request{ID: id, Class: class, RemainingTimeout: 5 * time.Second}); err != nil {
		h.t.Fatal(err)
	}
}

func (h *fakeHost) endAttempt(d *Dispatcher, id string, n int, o Outcome) {
	h.t.Helper()
	if err := d.AttemptEnded(h.now, AttemptResult{ID: id, Attempt: n, Outcome: o, ClientAnswered: o == Served}); err != nil {
		h.t.Fatal(err)
	}
	if o == Served {
		h.ends[id] = "served"
	}
}

func twoSecondsFrom(h *fakeHost) time.Duration { return h.now + 2*time.Second }
