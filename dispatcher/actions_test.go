package dispatcher_test

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"hash"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"sedgevale/dispatcher"
)

var updateActions = flag.Bool("update-actions", false, "rewrite the file of action hashes")

const (
	actionsFile       = "testdata/actions.txt" // written by commit 18ab6f8 with -update-actions
	actionSimulations = 96
	actionSteps       = 4000
)

// Guards against changes of decisions: the same settings, seed and events must give the same actions as at commit 18ab6f8,
// where the Dispatcher was not yet split into components, with the fix for TestSettingsChangeWhileARemovedWorkerIsBusy, without
// which some simulations panic. Each simulation enables other features, and the hash covers every call of the Host and all that
// the Dispatcher returns.
func TestActionsAreUnchanged(t *testing.T) {
	var got []string
	for seed := range uint64(actionSimulations) {
		w := newActionSimulation(t, seed)
		for range actionSteps {
			w.step()
		}
		w.finish()
		got = append(got, fmt.Sprintf("%d %d %s %s", seed, w.actions, hex.EncodeToString(w.hash.Sum(nil)[:12]), strings.Join(w.features, "+")))
	}
	if *updateActions {
		if err := os.WriteFile(actionsFile, []byte(strings.Join(got, "\n")+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	file, err := os.Open(actionsFile)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }() // opened for reading only
	lines := bufio.NewScanner(file)
	for i := range got {
		if !lines.Scan() || lines.Text() != got[i] {
			t.Errorf("simulation %d: %q, want %q", i, got[i], lines.Text())
		}
	}
}

// openAttempt is an attempt that the simulation has not ended yet.
type openAttempt struct {
	id      string
	n       int
	worker  string
	sentAt  time.Duration
	started bool
	cancel  bool
}

type timer struct {
	at    time.Duration
	order int
	token uint64
}

// actionSimulation is a Host with simulated workers and clients that act at random.
type actionSimulation struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Duration
	d        *dispatcher.Dispatcher
	set      dispatcher.Settings
	features []string
	hash     hash.Hash
	actions  int

	list     []dispatcher.WorkerInfo
	open     []openAttempt
	sends    map[string]int
	ended    map[string]bool
	requests []string // IDs of requests that have not ended
	probes   []string
	timers   []timer
	order    int
	serial   int
	loads    []dispatcher.WorkerLoad
	tenants  []string // names of all tenants that the settings had at any time
}

func newActionSimulation(t *testing.T, seed uint64) *actionSimulation {
	w := &actionSimulation{t: t, rng: rand.New(rand.NewPCG(seed, 99)), now: time.Hour, hash: sha256.New(), sends: map[string]int{}, ended: map[string]bool{}}
	w.set = w.drawSettings(seed)
	for _, tenant := range w.set.Tenants {
		w.tenants = append(w.tenants, tenant.Name)
	}
	for i := range 3 + w.rng.IntN(14) {
		w.list = append(w.list, dispatcher.WorkerInfo{
			Name: fmt.Sprint("w", i), Zone: i % 3, Kind: i % 2, Cell: i % 4, Weight: []float64{1, 2, 0.5, 4}[w.rng.IntN(4)],
		})
	}
	d, err := dispatcher.New(w.set, seed, w)
	if err != nil {
		t.Fatal(err)
	}
	w.d = d
	if w.drawFeature("peers") {
		d.TrackLoadChanges()
	}
	d.WorkersUpdated(w.now, dispatcher.UpdateStale, w.list)
	return w
}

// drawFeature draws at random whether a feature is enabled, and records it.
func (w *actionSimulation) drawFeature(name string) bool {
	on := w.rng.IntN(2) == 0
	if on {
		w.features = append(w.features, name)
	}
	return on
}

func (w *actionSimulation) has(name string) bool { return slices.Contains(w.features, name) }

func (w *actionSimulation) drawSettings(seed uint64) dispatcher.Settings {
	const ms = time.Millisecond
	class := func(name string, idempotency dispatcher.Idempotency) dispatcher.Class {
		return dispatcher.Class{
			Name: name, Idempotency: idempotency, DedupScope: dispatcher.DedupScope(seed % 3), DedupWindow: 800 * ms,
			LatencyTarget: time.Duration(50+w.rng.IntN(400)) * ms, TargetStretch: float64(w.rng.IntN(3)), ClientTimeout: 3 * time.Second,
			LateValue: []float64{0, 0.3, 0.8}[w.rng.IntN(3)],
		}
	}
	set := dispatcher.Settings{
		Classes:     []dispatcher.Class{class("safe", dispatcher.Idempotent), class("keyed", dispatcher.IdempotentByKey), class("unsafe", dispatcher.NotIdempotent)},
		MaxAttempts: 1 + w.rng.IntN(5), WeightMeaning: dispatcher.WeightMeaning(seed % 3), Zone: int(seed % 4), Dispatchers: 1 + int(seed%3),
	}
	set.AllowHedging, set.AllowCancel, set.StartNotified = w.drawFeature("hedging"), w.drawFeature("cancel"), w.drawFeature("notified")
	set.FIFOWorkers, set.LoadByProbe, set.WatchOnDemand = w.drawFeature("fifo"), w.drawFeature("probes"), w.drawFeature("watch")
	set.RejectedMayHaveRun = w.drawFeature("rejected-may-have-run")
	if w.drawFeature("tenants") {
		set.Tenants = []dispatcher.Tenant{{Name: "a", Share: 3}, {Name: "b", Share: 1, Quota: 20}, {Name: "c", Share: 2}}
	}
	if w.drawFeature("budget") {
		set.RetryBudget = dispatcher.RetryBudget{FreeRetries: 3, RetryRatio: 0.2, Window: time.Second}
	}
	if w.drawFeature("slow-start") {
		set.SlowStartCapacity, set.SlowStartDuration, set.OverloadMultiple, set.OverloadWindow = 0.3, 2*time.Second, 2.5, 500*ms
	}
	if w.drawFeature("drain-close") {
		set.DrainCloseTimeout = 400 * ms
	}
	if w.drawFeature("retry-after") {
		set.MaxRetryAfter = time.Second
	}
	if w.drawFeature("kinds") {
		set.Classes[0].Kinds, set.Classes[2].Zones = []int{1}, []int{0, 2}
	}
	if w.drawFeature("stream") {
		set.Classes[1].Streaming = true
	}
	for _, name := range []string{"reports", "keys", "hints", "settings", "cordons", "siblings", "subsets", "stalls", "learned"} {
		w.drawFeature(name)
	}
	return set
}

// record adds an action to the hash.
func (w *actionSimulation) record(format string, args ...any) {
	w.actions++
	_, _ = fmt.Fprintf(w.hash, "%d "+format+"\n", append([]any{w.now}, args...)...)
}

func (w *actionSimulation) Send(id, worker string, timeout time.Duration) {
	w.record("send %s %s %d", id, worker, timeout)
	w.open = append(w.open, openAttempt{id: id, n: w.sends[id], worker: worker, sentAt: w.now})
	w.sends[id]++
}

func (w *actionSimulation) end(id string) {
	w.ended[id] = true
	w.requests = slices.DeleteFunc(w.requests, func(other string) bool { return other == id })
}

func (w *actionSimulation) Reject(id string, after time.Duration) {
	w.record("reject %s %d", id, after)
	w.end(id)
}

func (w *actionSimulation) Fail(id string) {
	w.record("fail %s", id)
	w.end(id)
}

func (w *actionSimulation) Cancel(id string, n int) {
	w.record("cancel %s %d", id, n)
	for i := range w.open {
		if w.open[i].id == id && w.open[i].n == n {
			w.open[i].cancel = true
		}
	}
}

func (w *actionSimulation) SetTimer(after time.Duration, token uint64) {
	w.record("timer %d %d", after, token)
	w.order++
	w.timers = append(w.timers, timer{w.now + after, w.order, token})
}

func (w *actionSimulation) Probe(worker string) {
	w.record("probe %s", worker)
	w.probes = append(w.probes, worker)
}

func (w *actionSimulation) CloseIdleConnections(worker string) { w.record("close %s", worker) }

func (w *actionSimulation) WatchWorkers() { w.record("watch") }

func (w *actionSimulation) Log(text string) { w.record("log %s", text) }

// advance advances the clock and fires due timers.
func (w *actionSimulation) advance(by time.Duration) {
	to := w.now + by
	for {
		next := -1
		for i, one := range w.timers {
			if one.at <= to && (next < 0 || one.at < w.timers[next].at || one.at == w.timers[next].at && one.order < w.timers[next].order) {
				next = i
			}
		}
		if next < 0 {
			w.now = to
			return
		}
		one := w.timers[next]
		w.timers = slices.Delete(w.timers, next, next+1)
		w.now = max(w.now, one.at)
		w.d.TimerFired(w.now, one.token)
	}
}

// step advances the clock by a random time and simulates a random event.
func (w *actionSimulation) step() {
	if w.has("stalls") && w.rng.IntN(400) == 0 {
		w.now += time.Duration(30+w.rng.IntN(500)) * time.Millisecond // a stall: timers fire late
	}
	w.advance(time.Duration(w.rng.IntN(12_000)) * time.Microsecond)
	switch n := w.rng.IntN(100); {
	case n < 34:
		w.submit()
	case n < 50:
		w.start()
	case n < 82:
		w.endAttempt()
	case n < 85:
		w.progress()
	case n < 90:
		w.answerProbe()
	case n < 92:
		w.disconnect()
	case n < 95:
		w.updateList()
	default:
		w.rareEvent()
	}
}

func (w *actionSimulation) submit() {
	w.serial++
	q := dispatcher.Request{ID: fmt.Sprint("r", w.serial), Class: w.rng.IntN(len(w.set.Classes)), RemainingTimeout: time.Duration(w.rng.IntN(3000)) * time.Millisecond}
	if len(w.tenants) > 0 { // including removed tenants
		q.Tenant = w.d.TenantIndex(w.tenants[w.rng.IntN(len(w.tenants))])
		if q.Tenant < 0 {
			w.record("tenant gone")
			return
		}
	}
	if w.has("keys") && w.rng.IntN(3) == 0 {
		q.AffinityKey = fmt.Sprint("k", w.rng.IntN(6))
	}
	if w.has("hints") && w.rng.IntN(2) == 0 {
		q.RuntimeHint = time.Duration(1+w.rng.IntN(200)) * time.Millisecond
	}
	if w.rng.IntN(8) == 0 {
		q.Slots = float64(1 + w.rng.IntN(3))
	}
	q.ClientRetry = w.rng.IntN(10) == 0
	w.requests = append(w.requests, q.ID)
	w.record("submit %v", w.d.SubmitRequest(w.now, q))
}

// pick returns the index of a random open attempt, or -1 if there is none.
func (w *actionSimulation) pick() int {
	if len(w.open) == 0 {
		return -1
	}
	return w.rng.IntN(len(w.open))
}

func (w *actionSimulation) start() {
	i := w.pick()
	if i < 0 || w.open[i].started || !w.set.StartNotified {
		return
	}
	w.open[i].started = true
	a := w.open[i]
	w.record("start %v", w.d.AttemptStarted(w.now, a.id, a.n))
	if w.has("stream") && w.rng.IntN(4) == 0 {
		w.record("stream %v", w.d.StreamStarted(w.now, a.id, a.n))
	}
}

func (w *actionSimulation) progress() {
	if i := w.pick(); i >= 0 && w.open[i].started {
		w.record("progress %v", w.d.AttemptProgressed(w.now, w.open[i].id, w.open[i].n, 0.5))
	}
}

func (w *actionSimulation) endAttempt() {
	i := w.pick()
	if i < 0 {
		return
	}
	a := w.open[i]
	w.open = slices.Delete(w.open, i, i+1)
	result := dispatcher.AttemptResult{ID: a.id, Attempt: a.n, Outcome: dispatcher.Served}
	if n := w.rng.IntN(20); n < 6 {
		result.Outcome = []dispatcher.Outcome{
			dispatcher.Errored, dispatcher.Rejected, dispatcher.TimedOut, dispatcher.ConnectFailed, dispatcher.ConnectionLost, dispatcher.NotSent,
		}[n]
	}
	if a.cancel && w.rng.IntN(4) > 0 {
		result.Outcome = dispatcher.Cancelled
	}
	result.ClientAnswered = w.ended[a.id] || result.Outcome == dispatcher.Served
	if w.has("reports") && w.rng.IntN(2) == 0 {
		result.Report = w.report()
	}
	if result.ClientAnswered {
		w.end(a.id)
	}
	w.record("end %v", w.d.AttemptEnded(w.now, result))
}

func (w *actionSimulation) report() *dispatcher.LoadReport {
	return &dispatcher.LoadReport{HasFreeSlots: true, FreeSlots: float64(w.rng.IntN(6)) - 1, HasInFlight: true, InFlight: float64(w.rng.IntN(5))}
}

func (w *actionSimulation) answerProbe() {
	if len(w.probes) == 0 {
		return
	}
	i := w.rng.IntN(len(w.probes))
	name := w.probes[i]
	w.probes = slices.Delete(w.probes, i, i+1)
	if w.rng.IntN(6) == 0 {
		w.d.ProbeResult(w.now, name, nil)
		return
	}
	w.d.ProbeResult(w.now, name, w.report())
}

func (w *actionSimulation) disconnect() {
	if len(w.requests) > 0 {
		id := w.requests[w.rng.IntN(len(w.requests))]
		w.end(id)
		w.d.ClientDisconnected(w.now, id)
	}
}

// updateList changes an entry of the worker list, and reports the entry, the whole list or a failure of the watch.
func (w *actionSimulation) updateList() {
	e := &w.list[w.rng.IntN(len(w.list))]
	switch w.rng.IntN(6) {
	case 0:
		e.State = dispatcher.Draining
	case 1:
		e.State = dispatcher.Removed
	case 2, 3:
		e.State, e.StartedAt = dispatcher.Active, w.now
	case 4:
		e.Weight = []float64{1, 2, 0.5, 4}[w.rng.IntN(4)]
	default:
		e.State = dispatcher.Active
	}
	switch w.rng.IntN(8) {
	case 0:
		w.d.WorkersUpdated(w.now, dispatcher.UpdateFailed, nil)
	case 1:
		listed := slices.DeleteFunc(slices.Clone(w.list), func(e dispatcher.WorkerInfo) bool { return e.State == dispatcher.Removed })
		w.d.WorkersUpdated(w.now, dispatcher.UpdateFull, listed)
	default:
		w.d.WorkersUpdated(w.now, dispatcher.UpdateDelta, []dispatcher.WorkerInfo{*e})
	}
}

// rareEvent simulates a random one of the events that depend on a feature.
func (w *actionSimulation) rareEvent() {
	events := []struct {
		feature string
		event   func(worker string)
	}{
		{"cordons", w.cordon}, {"siblings", w.siblingLoad}, {"peers", w.peerLoad}, {"subsets", w.subset},
		{"settings", func(string) { w.oneTimeIn(4, w.changeSettings) }}, {"learned", func(string) { w.oneTimeIn(10, w.handOver) }},
	}
	worker := w.list[w.rng.IntN(len(w.list))].Name
	if drawn := events[w.rng.IntN(len(events))]; w.has(drawn.feature) {
		drawn.event(worker)
	}
}

// oneTimeIn simulates the event with a probability of 1 in oneIn.
func (w *actionSimulation) oneTimeIn(oneIn int, event func()) {
	if w.rng.IntN(oneIn) == 0 {
		event()
	}
}

func (w *actionSimulation) cordon(worker string) {
	w.record("cordon %v", w.d.Cordon(w.now, worker, w.rng.IntN(2) == 0))
}

func (w *actionSimulation) siblingLoad(worker string) {
	load := dispatcher.Load{InFlight: float64(w.rng.IntN(3)), NotStarted: w.rng.IntN(2), WorkSent: float64(w.serial)}
	w.d.SetSiblingLoad(w.now, map[string]dispatcher.Load{worker: load})
}

func (w *actionSimulation) peerLoad(worker string) {
	w.loads = w.d.AppendLoadChanges(w.loads[:0])
	w.record("changes %v", w.loads)
	load := dispatcher.Load{InFlight: float64(w.rng.IntN(4)), NotStarted: w.rng.IntN(2)}
	w.d.UpdatePeerLoad(w.now, []dispatcher.WorkerLoad{{Worker: worker, Load: load}})
}

func (w *actionSimulation) subset(string) {
	var subset []string
	for _, e := range w.list {
		if w.rng.IntN(2) == 0 {
			subset = append(subset, e.Name)
		}
	}
	w.d.SetSubset(w.now, subset, 1+w.rng.IntN(3))
}

// changeSettings changes a class, the tenants and the limits on attempts.
func (w *actionSimulation) changeSettings() {
	set := w.set
	set.Classes = slices.Clone(set.Classes)
	c := &set.Classes[w.rng.IntN(len(set.Classes))]
	c.LatencyTarget = time.Duration(50+w.rng.IntN(400)) * time.Millisecond
	c.Kinds = [][]int{nil, {0}, {0, 1}}[w.rng.IntN(3)]
	if len(set.Tenants) > 0 {
		set.Tenants = slices.Clone(set.Tenants)
		set.Tenants[w.rng.IntN(len(set.Tenants))].Share = float64(1 + w.rng.IntN(5))
		if w.rng.IntN(3) == 0 {
			added := dispatcher.Tenant{Name: fmt.Sprint("t", w.serial), Share: 1}
			set.Tenants, w.tenants = append(set.Tenants[1:], added), append(w.tenants, added.Name)
		}
	}
	set.MaxAttempts = 1 + w.rng.IntN(5)
	if w.has("budget") {
		set.RetryBudget.Window = time.Duration(1+w.rng.IntN(2)) * time.Second
	}
	w.record("settings %v", w.d.UpdateSettings(set))
	w.set = set
}

// handOver hands the learned state to a new Dispatcher, which continues with new requests.
func (w *actionSimulation) handOver() {
	state := w.d.LearnedState(w.now)
	text, err := json.Marshal(state)
	if err != nil {
		w.t.Fatal(err)
	}
	w.record("learned %s", text)
	w.noteLoads()
	d, err := dispatcher.New(w.set, uint64(w.serial), w)
	if err != nil {
		w.t.Fatal(err)
	}
	w.d, w.open, w.requests, w.probes, w.timers = d, nil, nil, nil, nil
	if w.has("peers") {
		d.TrackLoadChanges()
	}
	d.RestoreCordon(w.list[0].Name)
	d.WorkersUpdated(w.now, dispatcher.UpdateStale, w.list)
	d.RestoreLearnedState(w.now, state)
}

func (w *actionSimulation) noteLoads() {
	loads := w.d.LoadByWorker()
	for _, name := range slices.Sorted(maps.Keys(loads)) {
		w.record("load %s %v", name, loads[name])
	}
}

// finish ends all attempts and records the learned state.
func (w *actionSimulation) finish() {
	for len(w.open) > 0 {
		w.advance(time.Millisecond)
		w.endAttempt()
	}
	w.advance(10 * time.Second)
	text, err := json.Marshal(w.d.LearnedState(w.now))
	if err != nil {
		w.t.Fatal(err)
	}
	w.record("learned %s", text)
	w.noteLoads()
}
