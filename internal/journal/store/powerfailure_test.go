package store_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"sedgevale/internal/fake"
	"sedgevale/internal/journal"
	"sedgevale/internal/journal/store"
)

// CI runs the default of 300 seeds; `make powercut` sets SEEDS.
var powerSeeds = flag.Int("seeds", 300, "power failures: seeds to run")

var secret = []byte("0123456789abcdef0123456789abcdef")

// simulation simulates the records that a scheduler and its workers write, on a disk that injects faults and loses power.
type simulation struct {
	rand        *rand.Rand
	disk        *fake.Disk
	runLog      *fake.RunLog
	store       *store.Store
	now         time.Time
	jobs        int
	inFlight    []*attempt
	sendEarly   bool            // mutation: send an attempt before its intent is durable
	answered    map[string]bool // IDs of served and answered jobs
	pendingCall func()          // disk call that was started and has not run yet; nil: none
}

type attempt struct {
	id, worker string
	serial     uint64
	number     int
	started    bool
	rejected   bool // the worker rejected it without running it
}

func (sim *simulation) open(t *testing.T) {
	s, err := store.OpenStepped(store.Options{FS: sim.disk, Dir: "j", Secret: secret, Sync: true, Retention: time.Minute,
		MaxBytes: 64 << 10, ReservedBytes: 4 << 10, SegmentBytes: 2 << 10, Now: func() time.Time { return sim.now }})
	if err != nil {
		t.Fatalf("cannot open the journal: %v", err)
	}
	sim.store = s
	sim.pendingCall = nil
	s.StartCallsWith(func(do func()) {
		if sim.rand.IntN(2) == 0 { // the call runs immediately, and its result is handled later
			do()
			return
		}
		sim.pendingCall = do
	})
}

// await completes the disk calls in flight.
func (sim *simulation) await() {
	for {
		if sim.pendingCall != nil {
			sim.pendingCall()
			sim.pendingCall = nil
		}
		if !sim.store.FinishCall() {
			return
		}
	}
}

// step runs a randomly chosen step.
func (sim *simulation) step() {
	sim.now = sim.now.Add(time.Duration(sim.rand.IntN(20)-2) * time.Millisecond) // the clock may step back
	switch n := sim.rand.IntN(20); {
	case n < 5:
		sim.submit()
	case n < 9:
		sim.store.WriteBatch()
	case n < 11:
		sim.store.BeginSync()
	case n < 13:
		sim.await()
	case n < 14:
		sim.await()
		sim.store.BeginMaintenance()
	case n < 15 && sim.rand.IntN(10) == 0:
		sim.now = sim.now.Add(40 * time.Second) // lets segments exceed the retention
	default:
		sim.progress()
	}
}

func (sim *simulation) submit() {
	if sim.store.Full() {
		return
	}
	sim.jobs++
	a := &attempt{id: fmt.Sprintf("job-%d", sim.jobs), worker: fmt.Sprintf("box-%d", sim.rand.IntN(3)), serial: sim.store.Serial()}
	sim.store.Put(journal.Record{Kind: journal.Accepted, Serial: a.serial, At: sim.now.UnixMicro(), JobID: a.id, Class: "once"}, nil)
	sim.send(a)
}

// send puts an attempt's intent, and sends the attempt once the intent is durable.
func (sim *simulation) send(a *attempt) {
	begin := func(err error) {
		if err != nil {
			if a.number > 0 {
				sim.putNeverRan(a, journal.OutcomeNotSent)
			}
			sim.put(a, journal.Answered, uint8(journal.Rejected))
			return
		}
		if a.rejected = a.number+1 < journal.MaxAttempts && sim.rand.IntN(3) == 0; a.rejected {
			sim.inFlight = append(sim.inFlight, a)
			return
		}
		a.started = true
		sim.runLog.Begin(a.id, "once", a.worker, time.Now())
		sim.put(a, journal.Sent, 0)
		sim.inFlight = append(sim.inFlight, a)
	}
	intent := journal.Record{Kind: journal.Intent, Serial: a.serial, At: sim.now.UnixMicro(), JobID: a.id, Worker: a.worker, Attempt: a.number}
	if sim.sendEarly {
		begin(nil)
		sim.store.Put(intent, nil)
		return
	}
	sim.store.Put(intent, begin)
}

func (sim *simulation) put(a *attempt, kind journal.Kind, code uint8) {
	sim.store.Put(journal.Record{Kind: kind, Serial: a.serial, At: sim.now.UnixMicro(), Attempt: a.number, Code: code}, nil)
}

func (sim *simulation) putNeverRan(a *attempt, outcome journal.Outcome) {
	sim.store.Put(journal.Record{Kind: journal.Ended, Serial: a.serial, At: sim.now.UnixMicro(), Attempt: a.number, Code: uint8(outcome),
		NeverRan: true}, nil)
}

// progress advances a random attempt in flight.
func (sim *simulation) progress() {
	if len(sim.inFlight) == 0 {
		return
	}
	i := sim.rand.IntN(len(sim.inFlight))
	a := sim.inFlight[i]
	sim.inFlight = append(sim.inFlight[:i], sim.inFlight[i+1:]...)
	if a.rejected {
		sim.retry(a)
		return
	}
	switch sim.rand.IntN(8) {
	case 0:
		sim.put(a, journal.Ended, uint8(journal.OutcomeTimedOut))
		sim.put(a, journal.Answered, uint8(journal.Failed))
	case 1:
		sim.put(a, journal.Started, 0)
		sim.inFlight = append(sim.inFlight, a)
	default:
		sim.runLog.Finish(a.id, a.worker)
		sim.put(a, journal.Ended, uint8(journal.OutcomeServed))
		sim.put(a, journal.Answered, uint8(journal.Served))
		sim.answered[a.id] = true
	}
}

// retry ends a rejected attempt, and sends the next attempt or fails the job.
func (sim *simulation) retry(a *attempt) {
	sim.putNeverRan(a, journal.OutcomeRejected)
	if sim.rand.IntN(4) == 0 {
		sim.put(a, journal.Answered, uint8(journal.Failed))
		return
	}
	sim.send(&attempt{id: a.id, worker: fmt.Sprintf("box-%d", sim.rand.IntN(3)), serial: a.serial, number: a.number + 1})
}

// changeFaults randomly changes one fault of the disk or clears all.
func (sim *simulation) changeFaults() {
	faults := []fake.Op{fake.OpWrite, fake.OpShort, fake.OpSync, fake.OpCreate, fake.OpSyncDir, fake.OpRename, fake.OpRemove}
	if sim.rand.IntN(30) == 0 { // sets the rate of one fault, possibly to 0
		sim.disk.Fail(faults[sim.rand.IntN(len(faults))], []float64{0, 0.3, 1}[sim.rand.IntN(3)])
	}
	if sim.rand.IntN(60) == 0 {
		for _, op := range faults {
			sim.disk.Fail(op, 0)
		}
	}
}

// simulate runs a simulation with three kills or power failures, and returns the violations found in its journal.
func simulate(t *testing.T, seed uint64, sendEarly bool) (violations []string, jobs, unknown int) {
	sim := &simulation{rand: rand.New(rand.NewPCG(seed, 1)), runLog: fake.NewRunLog(), now: time.UnixMicro(1e15), sendEarly: sendEarly,
		answered: map[string]bool{}}
	sim.disk = fake.NewDisk(seed, []int64{1 << 20, 24 << 10, 10 << 10}[sim.rand.IntN(3)])
	sim.open(t)
	for range 3 {
		for range 40 + sim.rand.IntN(120) {
			sim.changeFaults()
			sim.step()
		}
		if sim.rand.IntN(4) == 0 {
			sim.disk = sim.disk.Kill()
		} else {
			sim.disk = sim.disk.PowerFail()
		}
		sim.inFlight = nil
		view, err := store.Read(sim.disk, "j", secret, "")
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		var dropped func(string) bool
		if len(view.Logs) > 0 && view.Logs[0].PrunedThrough > 0 {
			dropped = func(id string) bool { return sim.answered[id] }
		}
		violations = append(violations, fake.Audit(sim.runLog, view.Jobs, always, always, always, dropped)...)
		for _, p := range view.Problems {
			if !p.Torn {
				violations = append(violations, "reported as damage: "+p.String())
			}
		}
		sim.open(t)
	}
	view, err := store.Read(sim.disk.Kill(), "j", secret, "")
	if err != nil {
		t.Fatalf("seed %d: %v", seed, err)
	}
	for _, j := range view.Jobs {
		if v, _, _ := j.Verdict(); v == journal.Unknown {
			unknown++
		}
	}
	return violations, sim.jobs, unknown
}

func always(string) bool { return true }

// Guards against an attempt that is sent before its intent is durable, and against durable records that are lost or wrong, across
// power failures, kills, full disks, and failing writes, syncs and renames.
func TestPowerFailures(t *testing.T) {
	jobs, unknown, violationCount := 0, 0, 0
	for seed := range *powerSeeds {
		violations, n, u := simulate(t, uint64(seed), false)
		jobs, unknown = jobs+n, unknown+u
		for _, violation := range violations {
			if violationCount++; violationCount <= 10 {
				t.Errorf("seed %d: %s", seed, violation)
			}
		}
	}
	t.Logf("%d seeds, %d jobs, %d unknown, %d violations", *powerSeeds, jobs, unknown, violationCount)
}

// Verifies the check of TestPowerFailures: it must detect a scheduler that sends attempts before their intents are durable.
func TestPowerFailuresDetectEarlySending(t *testing.T) {
	detected := 0
	for seed := range 50 {
		if violations, _, _ := simulate(t, uint64(seed), true); len(violations) > 0 {
			detected++
		}
	}
	if detected < 10 {
		t.Errorf("sending before a durable intent was detected in %d of 50 seeds, want at least 10", detected)
	}
	t.Logf("detected in %d of 50 seeds", detected)
}
