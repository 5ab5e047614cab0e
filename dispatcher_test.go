package sedgevale

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
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

// fake is a host that records its calls, and a clock.
type fake struct {
	t       *testing.T
	now     time.Duration
	sends   []sent
	tries   map[string]int
	ends    map[string]string
	cancels []string
	probes  []string
	closes  []closed
	timers  []timerAt
	watches int
	trace   strings.Builder
}

func (h *fake) note(format string, args ...any) {
	fmt.Fprintf(&h.trace, "%d "+format+"\n", append([]any{h.now}, args...)...)
}

func (h *fake) Send(id, worker string, timeout time.Duration) {
	if h.ends[id] != "" {
		h.t.Errorf("%s sent after its end", id)
	}
	h.sends = append(h.sends, sent{id, worker, h.tries[id], h.now})
	h.tries[id]++
	h.note("send %s %s %d", id, worker, timeout)
}
func (h *fake) end(id, how string) {
	if h.ends[id] != "" {
		h.t.Errorf("%s ended twice: %s, %s", id, h.ends[id], how)
	}
	h.ends[id] = how
	h.note("%s %s", how, id)
}
func (h *fake) Reject(id string, _ time.Duration) { h.end(id, "refused") }
func (h *fake) Fail(id string)                    { h.end(id, "failed") }
func (h *fake) Cancel(id string, n int) {
	h.cancels = append(h.cancels, fmt.Sprint(id, n))
	h.note("cancel %s %d", id, n)
}
func (h *fake) SetTimer(after time.Duration, token uint64) {
	h.timers = append(h.timers, timerAt{h.now + after, token})
	h.note("timer %d %d", after, token)
}
func (h *fake) Probe(worker string) {
	h.probes = append(h.probes, worker)
	h.note("probe %s", worker)
}
func (h *fake) CloseIdleConnections(worker string) {
	h.closes = append(h.closes, closed{h.now, worker})
	h.note("close %s", worker)
}
func (h *fake) WatchWorkers()   { h.watches++; h.note("watch") }
func (h *fake) Log(text string) { h.note("log %s", text) }

// last returns the worker of the last send, or "".
func (h *fake) last() string {
	if len(h.sends) == 0 {
		return ""
	}
	return h.sends[len(h.sends)-1].worker
}

// run lets the timers up to a time pass.
func (h *fake) run(d *Dispatcher, to time.Duration) {
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
			{Name: "safe", Effect: Safe, Aim: 200 * ms, Stretch: 2, Limit: 5 * time.Second, LateShare: 0.5},
			{Name: "keyed", Effect: Keyed, Scope: ScopeZone, Window: 2 * time.Second, Aim: 200 * ms, Stretch: 2,
				Limit: 5 * time.Second, LateShare: 0.5},
			{Name: "unsafe", Effect: Unsafe, Aim: 200 * ms, Stretch: 2, Limit: 5 * time.Second, LateShare: 0.5},
		},
		MaxAttempts: 4, ParallelTries: true, MayCancel: true, TellsStart: true, Weights: WeightSize,
	}
}

func start(t *testing.T, set Settings, workers ...WorkerInfo) (*Dispatcher, *fake) {
	t.Helper()
	h := &fake{t: t, now: time.Hour, tries: map[string]int{}, ends: map[string]string{}}
	d, err := New(set, 1, h)
	if err != nil {
		t.Fatal(err)
	}
	d.WorkersUpdated(h.now, ListStale, workers)
	return d, h
}

func fleet(n int) []WorkerInfo {
	var all []WorkerInfo
	for i := range n {
		all = append(all, WorkerInfo{Worker: fmt.Sprint("w", i), Zone: i % 2, Cell: i % 3, Weight: 1})
	}
	return all
}

func (h *fake) ask(d *Dispatcher, id string, class int) {
	h.t.Helper()
	if err := d.SubmitRequest(h.now, Request{ID: id, Class: class, Left: 5 * time.Second}); err != nil {
		h.t.Fatal(err)
	}
}

func (h *fake) over(d *Dispatcher, id string, n int, o Outcome) {
	h.t.Helper()
	if err := d.AttemptEnded(h.now, Result{ID: id, Attempt: n, Outcome: o, Closed: o == Served}); err != nil {
		h.t.Fatal(err)
	}
	if o == Served {
		h.ends[id] = "served"
	}
}

// Rule 2: what may follow an attempt, by effect and outcome.
func TestWhatMayFollowAnOutcome(t *testing.T) {
	for class, effect := range []Effect{Safe, Keyed, Unsafe} {
		for o := Errored; o <= NotSent; o++ {
			d, h := start(t, settings(), fleet(4)...)
			h.ask(d, "r", class)
			if len(h.sends) != 1 {
				t.Fatalf("not sent at once: %v", h.sends)
			}
			first := d.workersByName[h.last()]
			h.now += ms
			h.over(d, "r", 0, o)
			again, mayRepeat := len(h.sends) > 1, d.provesNeverRan(o) || effect != Unsafe
			if again && !mayRepeat {
				t.Errorf("effect %d, outcome %d: sent again", effect, o)
			}
			if !again && mayRepeat {
				t.Errorf("effect %d, outcome %d: not tried again", effect, o)
			}
			if again && effect == Keyed && !d.provesNeverRan(o) && d.workersByName[h.last()].Zone != first.Zone {
				t.Errorf("keyed, outcome %d: left the zone that drops repeats", o)
			}
			if !mayRepeat && h.ends["r"] != "failed" {
				t.Errorf("effect %d, outcome %d: ended as %q, want failed", effect, o, h.ends["r"])
			}
		}
	}
}

// Rule 2: rejections promise that nothing ran.
func TestRejectedOnlyWhenNothingRan(t *testing.T) {
	for class, effect := range []Effect{Safe, Keyed, Unsafe} {
		d, h := start(t, settings(), fleet(1)...)
		h.ask(d, "r", class)
		h.run(d, h.now+6*time.Second) // no outcome until the client's time is up
		want := "failed"
		if effect == Safe {
			want = "refused"
		}
		if h.ends["r"] != want {
			t.Errorf("effect %d: %q at the deadline, want %q", effect, h.ends["r"], want)
		}
	}
	d, h := start(t, settings())
	h.ask(d, "r", 2)
	h.run(d, h.now+time.Second)
	if h.ends["r"] != "refused" {
		t.Errorf("never sent: %q, want refused", h.ends["r"])
	}
}

// Rule 2: a keyed job may not go out again once its window is over.
func TestKeyedWindow(t *testing.T) {
	d, h := start(t, settings(), fleet(4)...)
	h.ask(d, "r", 1)
	h.now += 1950 * ms
	r := d.requests["r"]
	for _, w := range d.workers {
		if d.mayAttempt(h.now, r, w) {
			t.Errorf("may go to %s at the end of the window", w.Worker)
		}
	}
}

func TestNoHedgingWhereForbidden(t *testing.T) {
	set := settings()
	set.ParallelTries = false
	d, h := start(t, set, fleet(4)...)
	h.ask(d, "r", 0)
	for _, w := range d.workers {
		if d.mayAttempt(h.now, d.requests["r"], w) {
			t.Error("a second attempt would go out beside the first")
		}
	}
}

// Rule 3: drained and removed workers get nothing from the moment of the update on.
func TestDrainingWorkersGetNothing(t *testing.T) {
	d, h := start(t, settings(), fleet(3)...)
	d.WorkersUpdated(h.now, ListPatch, []WorkerInfo{{Worker: "w0", State: Leaving, Weight: 1}})
	d.WorkersUpdated(h.now, ListWhole, []WorkerInfo{{Worker: "w0", State: Leaving, Weight: 1}, {Worker: "w1", Zone: 1, Weight: 1}})
	for i := range 20 {
		h.ask(d, fmt.Sprint("r", i), i%3)
		h.now += 10 * ms
		if h.tries[fmt.Sprint("r", i)] > 0 {
			h.over(d, fmt.Sprint("r", i), 0, Served)
		}
	}
	for _, s := range h.sends {
		if s.worker != "w1" {
			t.Errorf("sent to %s", s.worker)
		}
	}
	if len(h.sends) == 0 {
		t.Error("nothing sent")
	}
}

// A list that must be asked for is watched from the start, and again whenever
// the watch breaks.
func TestWatch(t *testing.T) {
	set := settings()
	set.AskForList = true
	d, h := start(t, set, fleet(2)...)
	if h.watches != 1 {
		t.Fatalf("%d watches at the start", h.watches)
	}
	for i := 2; i < 9; i++ {
		d.WorkersUpdated(h.now, ListBroken, nil)
		h.run(d, h.now+2*maxWatchBackoff)
		if h.watches != i {
			t.Fatalf("%d watches after %d breaks", h.watches, i-1)
		}
	}
	h.ask(d, "r", 0)
	if len(h.sends) != 1 {
		t.Error("the old list does not stand")
	}
}

// Guards against a list that is asked for too late: what discovery has counts as told 6 s after it could be reached
// again, and of those connecting, a call that fails and its answer's way want 4 (internal/discovery).
func TestWatchIsRetriedSoon(t *testing.T) {
	set := settings()
	set.AskForList = true
	d, h := start(t, set, fleet(2)...)
	for i := range 40 { // the waits have a spread
		began, before := h.now, h.watches
		d.WorkersUpdated(h.now, ListBroken, nil)
		for h.watches == before {
			if h.run(d, h.now+ms); h.now > began+10*time.Second {
				t.Fatal("not asked for again")
			}
		}
		if waited := h.now - began; waited > 1500*ms || waited < 100*ms || i == 0 && waited > 300*ms {
			t.Errorf("asked for after %v, at failure %d on end", waited, i+1)
		}
	}
}

// Rule 4: all dispatchers together stay within what a worker can take while it warms up.
func TestSlowStartBoundsLoad(t *testing.T) {
	set := settings()
	set.WarmUp, set.StartCapacity, set.FallMultiple, set.Fall, set.Peers = 8*time.Second, 0.3, 2.5, 1500*ms, 10
	d, h := start(t, set, fleet(9)...)
	serve := func(from, n int) { // a job each 20 ms that takes 100 ms
		for i := from; i < from+n; i++ {
			h.ask(d, fmt.Sprint("r", i), 0)
			h.run(d, h.now+20*ms)
			for _, s := range h.sends {
				if r := d.requests[s.id]; r != nil && !r.attempts[s.n].ended {
					if a := &r.attempts[s.n]; a.startedAt == 0 {
						_ = d.AttemptStarted(h.now, s.id, s.n)
					} else if h.now >= s.at+100*ms {
						h.over(d, s.id, s.n, Served)
					}
				}
			}
			h.sends = slices.DeleteFunc(h.sends, func(s sent) bool {
				return d.requests[s.id] == nil && s.worker != "cold"
			})
		}
	}
	serve(0, 500)
	h.sends = h.sends[:0]
	d.WorkersUpdated(h.now, ListPatch, []WorkerInfo{{Worker: "cold", Weight: 1, StartedAt: h.now}})
	began := h.now
	serve(500, 75) // 1.5 s
	got := 0
	for _, s := range h.sends {
		if s.worker == "cold" {
			got++
		}
	}
	// A warm worker carries a tenth of 75 jobs; a third of that is its part.
	if got > 5 {
		t.Errorf("%d jobs to a cold worker in %v", got, h.now-began)
	}
	serve(575, 500)
	got = 0
	for _, s := range h.sends {
		if s.worker == "cold" && s.at > began+8*time.Second {
			got++
		}
	}
	if got < 5 {
		t.Errorf("%d jobs once it is warm", got)
	}
}

func TestRestartedWorkerWarmsUp(t *testing.T) {
	set := settings()
	set.WarmUp, set.StartCapacity, set.FallMultiple, set.Fall = 8*time.Second, 0.3, 2.5, 1500*ms
	d, h := start(t, set, fleet(1)...)
	d.WorkersUpdated(h.now, ListPatch, []WorkerInfo{{Worker: "w0", Weight: 1, StartedAt: h.now - time.Second}})
	if w := d.workersByName["w0"]; w.warmAt != h.now+7*time.Second || w.slowStartCredit > 0 {
		t.Errorf("cold until %v with credit %v", w.warmAt-h.now, w.slowStartCredit)
	}
}

// A seeded random sequence of events: one end each (the host checks that
// nothing is sent after it), no repeat of what must not be repeated, nothing
// to workers that drain, and all state freed at the end.
func TestRandomEventsKeepTheRules(t *testing.T) {
	for seed := range uint64(20) {
		p := newRandomPlay(t, seed)
		for i := range 3000 {
			p.h.run(p.d, p.h.now+time.Duration(p.rng.IntN(20))*ms)
			p.check()
			if i < 2500 && p.rng.IntN(3) > 0 {
				id := fmt.Sprint("r", i)
				p.class[id] = p.rng.IntN(3)
				p.h.ask(p.d, id, p.class[id])
			}
			p.check()
			p.endSome()
			if p.rng.IntN(40) == 0 {
				p.drainOrReturn()
			}
		}
		p.finish()
	}
}

// randomPlay is a Dispatcher under random events.
type randomPlay struct {
	t         *testing.T
	seed      uint64
	rng       *rand.Rand
	d         *Dispatcher
	h         *fake
	uncertain map[string]string // request to the worker where it may have run
	class     map[string]int
	drained   map[string]bool
	checked   int             // sends
	open      map[string]sent // by "request attempt"
}

func newRandomPlay(t *testing.T, seed uint64) *randomPlay {
	set := settings()
	set.TellsStart, set.ParallelTries = seed%2 == 0, seed%3 > 0
	d, h := start(t, set, fleet(6)...)
	return &randomPlay{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 7)), d: d, h: h,
		uncertain: map[string]string{}, class: map[string]int{}, drained: map[string]bool{}, open: map[string]sent{}}
}

// check checks what was sent since the last check.
func (p *randomPlay) check() {
	p.t.Helper()
	for ; p.checked < len(p.h.sends); p.checked++ {
		s := p.h.sends[p.checked]
		if p.drained[s.worker] {
			p.t.Fatalf("seed %d: sent to drained %s", p.seed, s.worker)
		}
		if before := p.uncertain[s.id]; before != "" && p.class[s.id] == 2 {
			p.t.Fatalf("seed %d: unsafe %s sent again", p.seed, s.id)
		} else if before != "" && p.class[s.id] == 1 && p.d.workersByName[before].Zone != p.d.workersByName[s.worker].Zone {
			p.t.Fatalf("seed %d: keyed %s left its zone", p.seed, s.id)
		}
		p.uncertain[s.id] = s.worker
		p.open[fmt.Sprint(s.id, " ", s.n)] = s
	}
}

// endSome ends some attempts at random.
func (p *randomPlay) endSome() {
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
		if err := p.d.AttemptEnded(p.h.now, Result{ID: id, Attempt: n, Outcome: o, Closed: closed}); err != nil {
			p.t.Fatal(err)
		}
		p.check()
	}
}

// drainOrReturn has a random worker drain, or come back.
func (p *randomPlay) drainOrReturn() {
	w := WorkerInfo{Worker: fmt.Sprint("w", p.rng.IntN(6)), Weight: 1}
	w.Zone, w.Cell = p.d.workersByName[w.Worker].Zone, p.d.workersByName[w.Worker].Cell
	if p.rng.IntN(2) == 0 {
		w.State = Leaving
	}
	p.drained[w.Worker] = w.State == Leaving
	p.d.WorkersUpdated(p.h.now, ListPatch, []WorkerInfo{w})
	p.check()
}

// finish ends all that is open and checks that nothing is left.
func (p *randomPlay) finish() {
	for _, s := range p.open {
		_ = p.d.AttemptEnded(p.h.now, Result{ID: s.id, Attempt: s.n, Outcome: Full, Closed: p.h.ends[s.id] != ""})
	}
	p.h.run(p.d, p.h.now+6*time.Second)
	for id := range p.class {
		if p.h.ends[id] == "" {
			p.t.Errorf("seed %d: %s has no end", p.seed, id)
		}
	}
	leaked := len(p.d.requests)
	for id, r := range p.d.requests {
		if r.inFlight > 0 {
			leaked-- // sent again by the outcomes just above
		} else {
			p.t.Logf("%s: %+v", id, r)
		}
	}
	if leaked > 0 {
		p.t.Errorf("seed %d: %d requests kept", p.seed, leaked)
	}
}

// The same events give the same actions, whoever else is in the process.
func TestDeterminism(t *testing.T) {
	play := func(beside bool) string {
		d, h := start(t, settings(), fleet(20)...)
		d2, h2 := start(t, settings(), fleet(3)...)
		for i := range 400 {
			if beside {
				h2.ask(d2, fmt.Sprint("x", i), 0)
			}
			h.ask(d, fmt.Sprint("r", i), i%3)
			h.run(d, h.now+5*ms)
			for _, s := range h.sends {
				if r := d.requests[s.id]; r != nil && s.n < len(r.attempts) && !r.attempts[s.n].ended && (i+s.n)%3 == 0 {
					h.over(d, s.id, s.n, Served)
				}
			}
		}
		return h.trace.String()
	}
	a, b := play(false), play(true)
	if a != b || len(a) < 1000 {
		t.Error("two runs differ")
	}
}

func TestLimitIsCutOnceARoundAndRises(t *testing.T) {
	d, h := start(t, settings(), fleet(1)...)
	w := d.workersByName["w0"]
	if w.limit != unlimited {
		t.Fatalf("sigma %v before any failure", w.limit)
	}
	w.inFlight = 4
	d.cutLimit(w, 0)
	d.cutLimit(w, 0)
	if want := limitCutFactor * 4; w.limit != want {
		t.Errorf("sigma %v after two failures in a round, want %v", w.limit, want)
	}
	d.endRound(h.now)
	d.endRound(h.now)
	w.inFlight, w.cleanRound = 1, true
	d.cleanWorkers = []*worker{w}
	before := w.limit
	d.endRound(h.now)
	if want := before + limitRaiseStep*(before-1); math.Abs(w.limit-want) > 1e-9 {
		t.Errorf("sigma %v after a clean round, want %v", w.limit, want)
	}
	w.cleanRound, w.freeSlots, w.freeSlotsAt = true, 3, h.now
	d.meanWork, d.cleanWorkers, before = 1, []*worker{w}, w.limit
	d.endRound(h.now)
	if want := before + limitRaiseStep*3; math.Abs(w.limit-want) > 1e-9 {
		t.Errorf("sigma %v with three slots reported free, want %v", w.limit, want)
	}
	d.setLimit(w, minLimit)
	w.lastCutRound = -1
	w.inFlight = 0
	d.cutLimit(w, 0)
	if w.limit != minLimit {
		t.Errorf("sigma %v fell below its least", w.limit)
	}
}

// Q(sigma_d/alpha_d, 0.25) over five workers with 128 and more jobs behind.
func TestQuantile(t *testing.T) {
	d, _ := start(t, settings(), fleet(5)...)
	tn := d.tenants[0]
	for i, sigma := range []float64{1, 2, 6, 8, 3} {
		d.setLimit(d.workers[i], sigma)
		tn.noteSent(d.workers[i])
		tn.sendShares[i] = sendShare{Value: []float64{0.5, 0.125, 0.125, 0.125, 0.125}[i], At: 1000, Used: true}
	}
	tn.sentJobs = 1000
	// The share sent there is drawn to a fifth by 5 jobs of 133: 65/133, then 17/133 four times; the second lowest of five.
	want := 2.0 / (17.0 / 133.0)
	if got := d.limitQuantile(tn); math.Abs(got-want) > 1e-9 {
		t.Errorf("Q = %v, want %v, above %v and below %v", got, want, 1/(65.0/133), 3/(17.0/133))
	}
}

func TestSendShareDecaysByJobs(t *testing.T) {
	d, _ := start(t, settings(), fleet(2)...)
	tn := d.tenants[0]
	for range 2000 {
		tn.noteSent(d.workers[0])
	}
	if a := tn.sendShares[0].Now(tn.sentJobs, sendShareGain); math.Abs(a-1) > 0.01 {
		t.Errorf("alpha %v of the only worker used", a)
	}
	for range 128 {
		tn.noteSent(d.workers[1])
	}
	if a := tn.sendShares[0].Now(tn.sentJobs, sendShareGain); math.Abs(a-math.Pow(1-sendShareGain, 128)) > 0.01 {
		t.Errorf("alpha %v after 128 jobs elsewhere", a)
	}
}

func TestLocalShareIsMaxMinFair(t *testing.T) {
	set := settings()
	set.Tenants = []Tenant{{Share: 2}, {Share: 1}, {Share: 1}}
	d, _ := start(t, set, fleet(4)...)
	for _, w := range d.workers {
		d.setLimit(w, 2)
	}
	for i, demand := range []float64{20, 1, 5} {
		d.tenants[i].inFlight = demand
	}
	d.updateLocalShares()
	// 8 slots: the second tenant's 1 is met, the rest go 2 to 1; nobody falls below its share of 8.
	for i, want := range []float64{14.0 / 3, 2, 7.0 / 3} {
		if got := d.tenants[i].localShare; math.Abs(got-want) > 1e-9 {
			t.Errorf("tenant %d: %v slots, want %v", i, got, want)
		}
	}
	for _, tn := range d.tenants {
		tn.inFlight, tn.localShare = 1, 1
	}
	d.updateLocalShares()
	if want := 1 + limitRaiseStep*5; math.Abs(d.tenants[0].localShare-want) > 1e-9 {
		t.Errorf("local share ramps to %v, want %v", d.tenants[0].localShare, want)
	}
}

// Deficit round robin: of what waits for one worker, tenants get work by share.
func TestReleaseIsFairByWork(t *testing.T) {
	set := settings()
	set.Tenants = []Tenant{{Share: 3, Quota: 1e9}, {Share: 1, Quota: 1e9}}
	set.Classes = set.Classes[:1]
	set.Classes[0].Aim = time.Minute
	set.Classes[0].Limit = time.Minute
	d, h := start(t, set)
	for i := range 80 {
		if err := d.SubmitRequest(h.now, Request{ID: fmt.Sprint(i%2, "-", i), Tenant: i % 2, Left: time.Minute,
			Hint: 100 * ms}); err != nil {
			t.Fatal(err)
		}
	}
	d.WorkersUpdated(h.now, ListWhole, []WorkerInfo{{Worker: "w", Weight: 1}})
	for i := 0; len(h.sends) < 40; i++ { // one at a time waits there, so each that ends lets another out
		h.now += ms
		h.over(d, h.sends[i].id, 0, Served)
	}
	// All is within the quotas, so all may go out; the order is what is fair.
	count := map[byte]int{}
	for _, s := range h.sends[:40] {
		count[s.id[0]]++
	}
	if count['0'] < 28 || count['0'] > 32 {
		t.Errorf("of the first 40 jobs the tenant with three quarters got %d", count['0'])
	}
}

// Guards against a queue at each worker in which all jobs get late alike, while
// more come: what finds no free capacity is queued here, where it can still go elsewhere or
// be rejected in time.
func TestBusyWorkersGetNoQueue(t *testing.T) {
	set := settings()
	set.Tenants = []Tenant{{Share: 1, Quota: 1e6}} // within it, sigma does not bind
	d, h := start(t, set, fleet(3)...)
	for i := range 60 {
		h.ask(d, fmt.Sprint("r", i), 0)
	}
	at := map[string]int{}
	for _, s := range h.sends {
		at[s.worker]++
	}
	for w, n := range at {
		if n > 1 {
			t.Errorf("%d jobs wait at %s", n, w)
		}
	}
	for _, s := range slices.Clone(h.sends) {
		if err := d.AttemptStarted(h.now, s.id, 0); err != nil {
			t.Fatal(err)
		}
	}
	if len(h.sends) != 6 {
		t.Errorf("%d jobs sent once the first 3 run, want 3 more", len(h.sends))
	}
	h.run(d, h.now+time.Second) // past the aims
	refused := 0
	for _, how := range h.ends {
		if how == "refused" {
			refused++
		}
	}
	if refused < 50 || len(h.sends)+refused != 60 {
		t.Errorf("%d sent, %d refused", len(h.sends), refused)
	}
}

// A job larger than any credit so far still gets its turn.
func TestLargeJobIsNotStarved(t *testing.T) {
	d, h := start(t, settings(), fleet(2)...)
	for i := range 50 {
		id := fmt.Sprint("r", i)
		_ = d.SubmitRequest(h.now, Request{ID: id, Left: 5 * time.Second, Hint: 10 * ms})
		h.now += ms
		h.over(d, id, 0, Served)
	}
	d.ClientDisconnected(h.now, "none")
	_ = d.SubmitRequest(h.now, Request{ID: "large", Left: 5 * time.Second, Hint: 800 * ms, Slots: 4})
	h.run(d, h.now+200*ms)
	if h.tries["large"] != 1 {
		t.Errorf("large job sent %d times, ended %q", h.tries["large"], h.ends["large"])
	}
}

func TestRejectedEarlyWhenItCannotBeInTime(t *testing.T) {
	d, h := start(t, settings(), fleet(1)...)
	*d.classes[0] = class{Class: d.classes[0].Class, pool: d.pools[0], meanRuntime: 0.1, meanCompletion: 0.1, samples: 10, inFlight: 1}
	d.tenants[0].pendingWork[0], d.capacity, d.pools[0].noCapacity = 10, 1, true
	h.ask(d, "late", 0)
	if h.ends["late"] != "refused" {
		t.Errorf("behind 10 s of work: %q", h.ends["late"])
	}
	d.tenants[0].pendingWork[0] = 0
	h.ask(d, "fine", 0)
	if h.ends["fine"] != "" {
		t.Errorf("behind nothing: %q", h.ends["fine"])
	}
}

// Incident ie69b0c: a mean completion over the latency target had a class rejected for good,
// since no outcome came to lower it.
func TestRejectionsEndByThemselves(t *testing.T) {
	d, h := start(t, settings(), fleet(2)...)
	*d.classes[0] = class{Class: d.classes[0].Class, pool: d.pools[0], meanRuntime: 0.1, meanCompletion: 3, samples: 1000}
	h.ask(d, "trial", 0)
	if h.tries["trial"] != 1 {
		t.Fatal("no job is let through to renew the mean")
	}
	for range 200 {
		d.endRound(h.now)
	}
	if c := d.classes[0].meanCompletion; c > 0.2 {
		t.Errorf("mean completion still %v after 20 s without jobs", c)
	}
}

// Incident ie55aff: a request may arrive with no time left.
func TestNoTimeLeft(t *testing.T) {
	d, h := start(t, settings(), fleet(2)...)
	if err := d.SubmitRequest(h.now, Request{ID: "r", Class: 2}); err != nil || h.ends["r"] != "refused" || len(d.requests) > 0 {
		t.Errorf("error %v, end %q", err, h.ends["r"])
	}
}

func TestPickIsBelowTheThreshold(t *testing.T) {
	set := settings()
	set.TellsStart = false
	d, h := start(t, set, fleet(4)...)
	for _, w := range d.workers[:3] {
		w.inFlight = 3
		d.inFlight += 3
	}
	d.workers[2].inFlight, d.inFlight = 20, d.inFlight+17 // mean 6.5: threshold 7.5
	for range 100 {
		if w := d.pickWorker(h.now, &request{class: d.classes[0], Request: Request{Slots: 1}}, true); w == d.workers[2] {
			t.Fatal("picked a worker above the threshold")
		}
	}
}

// A worker that owes a start notice gets no second job while others have capacity,
// and one that hangs gets nothing until it shows a sign.
func TestWorkersWithoutStartsAreAvoided(t *testing.T) {
	set := settings()
	set.MayCancel = false
	d, h := start(t, set, fleet(2)...)
	h.ask(d, "a", 0)
	hung := h.last()
	h.ask(d, "b", 0)
	if h.last() == hung {
		t.Error("second job to a worker that has not started the first")
	}
	_ = d.AttemptStarted(h.now, "b", 0)
	h.run(d, h.now+200*ms)
	if w := d.workersByName[hung]; w.unhealthyUntil <= h.now || w.limit == unlimited {
		t.Errorf("overdue start: left alone until %v, sigma %v", w.unhealthyUntil, w.limit)
	}
	h.ask(d, "c", 0)
	h.ask(d, "e", 0)
	for _, s := range h.sends[2:] {
		if s.worker == hung {
			t.Error("job to a stuck worker")
		}
	}
	_ = d.AttemptStarted(h.now, "a", 0)
	if d.workersByName[hung].unhealthyUntil != 0 {
		t.Error("still left alone after a sign")
	}
}

// A worker that fails to connect is left alone, then tried with one job.
func TestUnhealthyWorkerIsTriedOnce(t *testing.T) {
	set := settings()
	set.TellsStart = false
	d, h := start(t, set, fleet(1)...)
	h.ask(d, "a", 0)
	h.over(d, "a", 0, ConnectFailed)
	if len(h.sends) != 2 {
		t.Fatal("one failure is the connection's, not the worker's")
	}
	h.over(d, "a", 1, ConnectFailed)
	h.run(d, h.now+100*ms)
	if len(h.sends) != 2 {
		t.Fatal("sent again at once")
	}
	h.run(d, h.now+2*minUnhealthyBackoff)
	h.ask(d, "b", 0)
	h.ask(d, "c", 0)
	if h.tries["b"] != 1 || h.tries["c"] != 0 {
		t.Errorf("trial: %d and %d sends", h.tries["b"], h.tries["c"])
	}
	h.over(d, "b", 0, Served)
	if d.workersByName["w0"].unhealthyUntil != 0 {
		t.Error("still doubted after a success")
	}
}

// Beyond its quota a tenant uses only free slots that the last report showed.
func TestBeyondTheQuotaOnlyReportedFreeSlots(t *testing.T) {
	set := settings()
	set.TellsStart = false
	set.Tenants = []Tenant{{Share: 1, Quota: 2}, {Share: 1, Quota: 2}}
	d, h := start(t, set, fleet(2)...)
	for _, w := range d.workers {
		w.freeSlots, w.freeSlotsAt = 0, h.now-time.Minute
	}
	for i := range 10 {
		_ = d.SubmitRequest(h.now, Request{ID: fmt.Sprint("r", i), Left: 5 * time.Second})
	}
	if len(h.sends) != int(2*quotaFactor) {
		t.Errorf("%d sent, quota of 2 jobs a second", len(h.sends))
	}
}

// All dispatchers find the same homes for a key, and a home with work waiting
// is passed over for the next zone's.
func TestKeysHaveHomes(t *testing.T) {
	homes := map[string]string{}
	for _, seed := range []uint64{1, 2} {
		h := &fake{t: t, now: time.Hour, tries: map[string]int{}, ends: map[string]string{}}
		d, _ := New(settings(), seed, h)
		ws := fleet(20)
		if seed == 2 {
			slices.Reverse(ws)
		}
		d.WorkersUpdated(h.now, ListStale, ws)
		for i := range 30 {
			id := fmt.Sprint("r", i)
			_ = d.SubmitRequest(h.now, Request{ID: id, Key: id, Left: 5 * time.Second})
			if seed == 2 && homes[id] != h.last() {
				t.Errorf("key %s: %s and %s", id, homes[id], h.last())
			}
			homes[id] = h.last()
			h.over(d, id, 0, Served)
		}
		_ = d.SubmitRequest(h.now, Request{ID: "x", Key: "k", Left: 5 * time.Second})
		_ = d.SubmitRequest(h.now, Request{ID: "y", Key: "k", Left: 5 * time.Second})
		x, y := h.sends[len(h.sends)-2].worker, h.last()
		if d.workersByName[x].Zone != 0 || d.workersByName[y].Zone != 1 {
			t.Errorf("homes %s and %s", x, y)
		}
	}
}

func TestLiveWeightsTellFreeSlots(t *testing.T) {
	set := settings()
	set.Weights = WeightLive
	d, h := start(t, set, WorkerInfo{Worker: "a", Weight: 4}, WorkerInfo{Worker: "b", Weight: 2})
	d.maxFreeByKind[0] = 4
	d.WorkersUpdated(h.now, ListPatch, []WorkerInfo{{Worker: "a", Weight: 3.2}, {Worker: "b", Weight: 2}})
	if a, b := d.workersByName["a"].freeSlots, d.workersByName["b"].freeSlots; math.Abs(a-3) > 1e-9 || b != 0 {
		t.Errorf("free %v and %v, want 3 and 0", a, b)
	}
}

func TestMisuse(t *testing.T) {
	d, h := start(t, settings(), fleet(2)...)
	h.ask(d, "r", 0)
	for what, got := range map[string][2]error{
		"class":         {d.SubmitRequest(h.now, Request{ID: "x", Class: 3, Left: 1}), ErrBadRequest},
		"tenant":        {d.SubmitRequest(h.now, Request{ID: "x", Tenant: 1, Left: 1}), ErrBadRequest},
		"twice":         {d.SubmitRequest(h.now, Request{ID: "r", Left: time.Second}), ErrDuplicateRequest},
		"unknown":       {d.AttemptEnded(h.now, Result{ID: "x"}), ErrUnknownRequest},
		"attempt":       {d.AttemptStarted(h.now, "r", 1), ErrUnknownAttempt},
		"progress":      {d.AttemptProgressed(h.now, "r", -1, 0), ErrUnknownAttempt},
		"stream":        {d.StreamStarted(h.now, "x", 0), ErrUnknownRequest},
		"good":          {d.AttemptEnded(h.now, Result{ID: "r", Outcome: Served, Closed: true}), nil},
		"after its end": {nil, nil},
	} {
		if !errors.Is(got[0], got[1]) {
			t.Errorf("%s: error %v, want %v", what, got[0], got[1])
		}
	}
	if err := d.AttemptEnded(h.now, Result{ID: "r"}); !errors.Is(err, ErrUnknownRequest) {
		t.Errorf("outcome after the end: %v", err)
	}
	d.ClientDisconnected(h.now, "r")
}

func TestBadSettings(t *testing.T) {
	for what, change := range map[string]func(*Settings){
		"no class":    func(s *Settings) { s.Classes = nil },
		"no limit":    func(s *Settings) { s.Classes[0].Limit = 0 },
		"no window":   func(s *Settings) { s.Classes[1].Window = 0 },
		"no share":    func(s *Settings) { s.Tenants = []Tenant{{Share: 0}} },
		"NaN share":   func(s *Settings) { s.Tenants = []Tenant{{Share: math.NaN()}} },
		"no capacity": func(s *Settings) { s.WarmUp = time.Second },
		"zone":        func(s *Settings) { s.Zone = -1 },
		"kind":        func(s *Settings) { s.Classes[0].Kinds = []int{-1} },
		"ratio only":  func(s *Settings) { s.Further.Ratio = 0.1 },
		"no ratio":    func(s *Settings) { s.Further = Budget{1, math.NaN(), time.Second} },
		"owed budget": func(s *Settings) { s.Further = Budget{-1, 0.1, time.Second} },
		"closing":     func(s *Settings) { s.CloseOnDrain = -1 },
	} {
		set := settings()
		set.Classes = slices.Clone(set.Classes)
		change(&set)
		if _, err := New(set, 1, &fake{}); err == nil {
			t.Errorf("%s: no error", what)
		}
	}
	if _, err := New(settings(), 1, nil); err == nil {
		t.Error("no host: no error")
	}
}

func inTwo(h *fake) time.Duration { return h.now + 2*time.Second }

// With few jobs a worker the threshold tells nothing of size: the draw does.
func TestPicksFollowListedSize(t *testing.T) {
	d, h := start(t, settings(), WorkerInfo{Worker: "large", Weight: 3}, WorkerInfo{Worker: "small", Weight: 1})
	large := 0
	for range 2000 {
		if d.pickWorker(h.now, &request{class: d.classes[0], Request: Request{Slots: 1}, deadline: inTwo(h), targetAt: inTwo(h)}, true).Worker == "large" {
			large++
		}
	}
	// A draw among two that ends with the loser where both lose: at least 3 of 4, at most 5 of 6.
	if large < 1450 || large > 1750 {
		t.Errorf("%d of 2000 picks on the worker of three times the size", large)
	}
}

// The own zone comes first; a further attempt looks everywhere.
func TestRetriesLeaveTheZone(t *testing.T) {
	d, h := start(t, settings(), fleet(20)...)
	far := func(r *request) (n int) {
		for range 1000 {
			n += d.pickWorker(h.now, r, true).Zone
		}
		return n
	}
	r := &request{class: d.classes[0], Request: Request{Slots: 1}, deadline: inTwo(h), targetAt: inTwo(h)}
	if n := far(r); n != 0 {
		t.Errorf("%d of 1000 first picks outside the own zone while it has room", n)
	}
	r.attempts = []attempt{{worker: d.workers[0], ended: true}}
	if n := far(r); n < 400 || n > 600 {
		t.Errorf("%d of 1000 further picks outside the own zone", n)
	}
}

// Short jobs of a class are not rejected for the length of its others: what
// counts is the hint.
func TestHintedJobIsJudgedByItsOwnTime(t *testing.T) {
	d, h := start(t, settings(), fleet(2)...)
	*d.classes[0] = class{Class: d.classes[0].Class, pool: d.pools[0], meanRuntime: 1, meanHint: 1, meanCompletion: 1.05, samples: 1000, inFlight: 1}
	_ = d.SubmitRequest(h.now, Request{ID: "short", Left: 5 * time.Second, Hint: 10 * ms})
	if h.tries["short"] != 1 {
		t.Errorf("short job: %q", h.ends["short"])
	}
}

func TestOneLongWaitCountsForTwoLatencyTargets(t *testing.T) {
	d, h := start(t, settings(), fleet(2)...)
	*d.classes[0] = class{Class: d.classes[0].Class, pool: d.pools[0], meanRuntime: 0.1, meanCompletion: 0.1, samples: 1000}
	h.ask(d, "r", 0)
	h.run(d, h.now+4*time.Second)
	_ = d.AttemptStarted(h.now, "r", 0)
	h.now += 100 * ms
	h.over(d, "r", 0, Served)
	if want := 0.1 + meanGain*maxWaitTargets*0.2; math.Abs(d.classes[0].meanCompletion-want) > 1e-6 {
		t.Errorf("mean completion %v, want %v", d.classes[0].meanCompletion, want)
	}
}

// However small the multiple at which workers fall, half of it is the most.
func TestSmallOverloadMultipleIsRespected(t *testing.T) {
	set := settings()
	set.WarmUp, set.StartCapacity, set.FallMultiple, set.Fall, set.Peers = 8*time.Second, 0.5, 0.5, 2*time.Second, 1
	d, h := start(t, set, fleet(1)...)
	d.meanKnownWork, d.knownRequests, d.workRate = 0.1, 1, 1
	w := d.workersByName["w0"]
	w.warmAt, w.slowStartCredit, w.slowStartCreditAt = h.now+8*time.Second, -1, h.now-time.Second
	d.slowStartAdmits(h.now, w, &request{class: d.classes[0]})
	if want := -1 + 0.5*0.5/2; math.Abs(w.slowStartCredit-want) > 1e-9 {
		t.Errorf("credit %v after a second, want %v", w.slowStartCredit, want)
	}
}
