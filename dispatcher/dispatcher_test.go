package dispatcher

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Under random events each request ends once, nothing is sent after its end (the host
// checks this), no request is repeated that must not be, nothing is sent to draining
// workers, and all state is freed at the end.
func TestRandomEventsKeepInvariants(t *testing.T) {
	for seed := range uint64(20) {
		p := newRandomRun(t, seed)
		for i := range 3000 {
			p.h.run(p.d, p.h.now+time.Duration(p.rng.IntN(20))*ms)
			p.check()
			if i < 2500 && p.rng.IntN(3) > 0 {
				id := fmt.Sprint("r", i)
				p.class[id] = p.rng.IntN(3)
				p.h.submit(p.d, id, p.class[id])
			}
			p.check()
			p.endSome()
			if p.rng.IntN(40) == 0 {
				p.changeWorkerState()
			}
		}
		p.finish()
	}
}

// randomRun is a Dispatcher under random events.
type randomRun struct {
	t         *testing.T
	seed      uint64
	rng       *rand.Rand
	d         *Dispatcher
	h         *fakeHost
	uncertain map[string]string // by request, the worker at which it may have run
	class     map[string]int
	drained   map[string]bool
	checked   int             // number of sends that were checked
	open      map[string]sent // attempts in flight, by "request attempt"
}

func newRandomRun(t *testing.T, seed uint64) *randomRun {
	set := settings()
	set.StartNotified, set.AllowHedging = seed%2 == 0, seed%3 > 0
	d, h := start(t, set, fleet(6)...)
	return &randomRun{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 7)), d: d, h: h,
		uncertain: map[string]string{}, class: map[string]int{}, drained: map[string]bool{}, open: map[string]sent{}}
}

// check checks the sends since the last call.
func (p *randomRun) check() {
	p.t.Helper()
	for ; p.checked < len(p.h.sends); p.checked++ {
		s := p.h.sends[p.checked]
		if p.drained[s.worker] {
			p.t.Fatalf("seed %d: sent to draining worker %s", p.seed, s.worker)
		}
		if before := p.uncertain[s.id]; before != "" && p.class[s.id] == 2 {
			p.t.Fatalf("seed %d: request %s, which is not idempotent, was sent again", p.seed, s.id)
		} else if before != "" && p.class[s.id] == 1 && p.d.workers.byName[before].Zone != p.d.workers.byName[s.worker].Zone {
			p.t.Fatalf("seed %d: request %s, which is idempotent by key, was sent to another zone", p.seed, s.id)
		}
		p.uncertain[s.id] = s.worker
		p.open[fmt.Sprint(s.id, " ", s.n)] = s
	}
}

// endSome ends some attempts at random.
func (p *randomRun) endSome() {
	for _, k := range slices.Sorted(maps.Keys(p.open)) {
		if p.rng.IntN(4) > 0 {
			continue
		}
		id, n := p.open[k].id, p.open[k].n
		delete(p.open, k)
		o := Outcome(p.rng.IntN(8))
		if p.d.provesNeverRan(o) {
			delete(p.uncertain, id)
		}
		closed := p.h.ends[id] != "" || o == Served
		if o == Served && p.h.ends[id] == "" {
			p.h.ends[id] = "served"
		}
		if err := p.d.AttemptEnded(p.h.now, AttemptResult{ID: id, Attempt: n, Outcome: o, ClientAnswered: closed}); err != nil {
			p.t.Fatal(err)
		}
		p.check()
	}
}

// changeWorkerState changes the state of a random worker to draining or active.
func (p *randomRun) changeWorkerState() {
	w := WorkerInfo{Name: fmt.Sprint("w", p.rng.IntN(6)), Weight: 1}
	w.Zone, w.Cell = p.d.workers.byName[w.Name].Zone, p.d.workers.byName[w.Name].Cell
	if p.rng.IntN(2) == 0 {
		w.State = Draining
	}
	p.drained[w.Name] = w.State == Draining
	p.d.WorkersUpdated(p.h.now, UpdateDelta, []WorkerInfo{w})
	p.check()
}

// finish ends all open attempts and checks that no request is left.
func (p *randomRun) finish() {
	for _, s := range p.open {
		_ = p.d.AttemptEnded(p.h.now, AttemptResult{ID: s.id, Attempt: s.n, Outcome: Rejected, ClientAnswered: p.h.ends[s.id] != ""})
	}
	p.h.run(p.d, p.h.now+6*time.Second)
	for id := range p.class {
		if p.h.ends[id] == "" {
			p.t.Errorf("seed %d: request %s has not ended", p.seed, id)
		}
	}
	leaked := len(p.d.requests.byID)
	for id, r := range p.d.requests.byID {
		if r.inFlight > 0 {
			leaked-- // retried because of the outcomes above
		} else {
			p.t.Logf("%s: %+v", id, r)
		}
	}
	if leaked > 0 {
		p.t.Errorf("seed %d: %d requests are still in the table", p.seed, leaked)
	}
}

// The same events give the same actions, also if another Dispatcher runs in the process.
func TestDeterminism(t *testing.T) {
	play := func(withAnother bool) string {
		d, h := start(t, settings(), fleet(20)...)
		d2, h2 := start(t, settings(), fleet(3)...)
		for i := range 400 {
			if withAnother {
				h2.submit(d2, fmt.Sprint("x", i), 0)
			}
			h.submit(d, fmt.Sprint("r", i), i%3)
			h.run(d, h.now+5*ms)
			for _, s := range h.sends {
				if r := d.requests.byID[s.id]; r != nil && s.n < len(r.attempts) && !r.attempts[s.n].ended && (i+s.n)%3 == 0 {
					h.endAttempt(d, s.id, s.n, Served)
				}
			}
		}
		return h.trace.String()
	}
	a, b := play(false), play(true)
	if a != b || len(a) < 1000 {
		t.Errorf("two runs with the same events differ, or have only %d bytes of actions", len(a))
	}
}

func TestInvalidEvents(t *testing.T) {
	d, h := start(t, settings(), fleet(2)...)
	h.submit(d, "r", 0)
	for what, got := range map[string][2]error{
		"class":         {d.SubmitRequest(h.now, Request{ID: "x", Class: 3, RemainingTimeout: 1}), ErrBadRequest},
		"tenant":        {d.SubmitRequest(h.now, Request{ID: "x", Tenant: 1, RemainingTimeout: 1}), ErrBadRequest},
		"twice":         {d.SubmitRequest(h.now, Request{ID: "r", RemainingTimeout: time.Second}), ErrDuplicateRequest},
		"unknown":       {d.AttemptEnded(h.now, AttemptResult{ID: "x"}), ErrUnknownRequest},
		"attempt":       {d.AttemptStarted(h.now, "r", 1), ErrUnknownAttempt},
		"progress":      {d.AttemptProgressed(h.now, "r", -1, 0), ErrUnknownAttempt},
		"stream":        {d.StreamStarted(h.now, "x", 0), ErrUnknownRequest},
		"good":          {d.AttemptEnded(h.now, AttemptResult{ID: "r", Outcome: Served, ClientAnswered: true}), nil},
		"after its end": {nil, nil},
	} {
		if !errors.Is(got[0], got[1]) {
			t.Errorf("%s: error %v, want %v", what, got[0], got[1])
		}
	}
	if err := d.AttemptEnded(h.now, AttemptResult{ID: "r"}); !errors.Is(err, ErrUnknownRequest) {
		t.Errorf("second result of an attempt: error %v, want %v", err, ErrUnknownRequest)
	}
	d.ClientDisconnected(h.now, "r")
}

func TestInvalidSettings(t *testing.T) {
	for what, change := range map[string]func(*Settings){
		"no class":    func(s *Settings) { s.Classes = nil },
		"no limit":    func(s *Settings) { s.Classes[0].ClientTimeout = 0 },
		"no window":   func(s *Settings) { s.Classes[1].DedupWindow = 0 },
		"no share":    func(s *Settings) { s.Tenants = []Tenant{{Share: 0}} },
		"NaN share":   func(s *Settings) { s.Tenants = []Tenant{{Share: math.NaN()}} },
		"no capacity": func(s *Settings) { s.SlowStartDuration = time.Second },
		"zone":        func(s *Settings) { s.Zone = -1 },
		"kind":        func(s *Settings) { s.Classes[0].Kinds = []int{-1} },
		"ratio only":  func(s *Settings) { s.RetryBudget.RetryRatio = 0.1 },
		"no ratio":    func(s *Settings) { s.RetryBudget = RetryBudget{1, math.NaN(), time.Second} },
		"owed budget": func(s *Settings) { s.RetryBudget = RetryBudget{-1, 0.1, time.Second} },
		"closing":     func(s *Settings) { s.DrainCloseTimeout = -1 },
	} {
		set := settings()
		set.Classes = slices.Clone(set.Classes)
		change(&set)
		if _, err := New(set, 1, &fakeHost{}); err == nil {
			t.Errorf("invalid settings (%s): no error", what)
		}
	}
	if _, err := New(settings(), 1, nil); err == nil {
		t.Error("no host: no error")
	}
}

// All events that arrived during a stall are read before anything is sent, since the last
// of them may be the drain of the only idle worker.
func TestNothingIsSentBeforeEventsAreReadAfterStall(t *testing.T) {
	d, h := start(t, settings(), fleet(2)...)
	h.submit(d, "old", 0)
	h.endAttempt(d, "old", 0, Served)
	h.run(d, h.now+time.Second)
	h.now += 260 * ms // stall
	sends := len(h.sends)
	for i := range 6 {
		h.submit(d, fmt.Sprint("r", i), 0)
	}
	d.WorkersUpdated(h.now, UpdateDelta, []WorkerInfo{{Name: "w0", State: Draining, Weight: 1}})
	if len(h.sends) != sends {
		t.Fatal("sent before all events were read")
	}
	h.run(d, h.now+10*ms)
	if len(h.sends) == sends {
		t.Fatal("nothing sent after the stall")
	}
	for _, s := range h.sends[sends:] {
		if s.worker == "w0" {
			t.Error("sent to a worker whose drain was among the events")
		}
	}
}

// A start notice that arrived during a stall must not count as overdue because the timer
// was read first.
func TestStallsAreNotAttributedToWorkers(t *testing.T) {
	d, h := start(t, settings(), fleet(1)...)
	h.run(d, h.now+time.Second)
	h.submit(d, "r", 0)
	due := h.timers
	h.now += 2 * time.Second // stall
	h.timers = nil
	for _, x := range due {
		if x.at <= h.now {
			d.TimerFired(h.now, x.token)
		}
	}
	if err := d.AttemptStarted(h.now, "r", 0); err != nil {
		t.Fatal(err)
	}
	h.endAttempt(d, "r", 0, Served)
	h.run(d, h.now+20*ms)
	if w := d.workers.byName["w0"]; w.limit != unlimited || w.unhealthyUntil != 0 || d.classes.current[0].samples > 0 {
		t.Errorf("limit %v, unhealthy until %v, %v samples; want none of them affected by the stall", w.limit, w.unhealthyUntil, d.classes.current[0].samples)
	}
}
