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

// CI runs some hundred seeds; `make powercut` as many as SEEDS says.
var powerSeeds = flag.Int("seeds", 300, "power failures: seeds to run")

var secret = []byte("0123456789abcdef0123456789abcdef")

// world is a scheduler and its workers, reduced to what the journal records, on a disk
// that fails and loses power.
type world struct {
	r      *rand.Rand
	disk   *fake.Disk
	ledger *fake.RunLog
	store  *store.Store
	now    time.Time
	jobs   int
	out    []*flight
	early  bool            // a mutation: it is sent before the intent is durable
	over   map[string]bool // served, and answered
	call   func()          // of the disk, begun and not finished
}

type flight struct {
	id, box string
	serial  uint64
	begun   bool
}

func (w *world) open(t *testing.T) {
	s, err := store.OpenStepped(store.Options{FS: w.disk, Dir: "j", Secret: secret, Sync: true, Retention: time.Minute,
		MaxBytes: 64 << 10, ReservedBytes: 4 << 10, SegmentBytes: 2 << 10, Now: func() time.Time { return w.now }})
	if err != nil {
		t.Fatalf("a journal that does not open: %v", err)
	}
	w.store = s
	w.call = nil
	s.StartCallsWith(func(do func()) {
		if w.r.IntN(2) == 0 { // done at once, but its result is taken later
			do()
			return
		}
		w.call = do
	})
}

// await finishes the disk calls in flight.
func (w *world) await() {
	for {
		if w.call != nil {
			w.call()
			w.call = nil
		}
		if !w.store.FinishCall() {
			return
		}
	}
}

// step takes a step drawn at random.
func (w *world) step() {
	w.now = w.now.Add(time.Duration(w.r.IntN(20)-2) * time.Millisecond) // it steps back, too
	switch n := w.r.IntN(20); {
	case n < 5:
		w.take()
	case n < 9:
		w.store.WriteBatch()
	case n < 11:
		w.store.BeginSync()
	case n < 13:
		w.await()
	case n < 14:
		w.await()
		w.store.BeginMaintenance()
	case n < 15 && w.r.IntN(10) == 0:
		w.now = w.now.Add(40 * time.Second) // segments grow old
	default:
		w.progress()
	}
}

func (w *world) take() {
	if w.store.Full() {
		return
	}
	w.jobs++
	f := &flight{id: fmt.Sprintf("job-%d", w.jobs), box: fmt.Sprintf("box-%d", w.r.IntN(3)), serial: w.store.Serial()}
	w.store.Put(journal.Record{Kind: journal.Accepted, Serial: f.serial, At: w.now.UnixMicro(), JobID: f.id, Class: "once"}, nil)
	begin := func(err error) {
		if err != nil {
			w.put(f, journal.Answered, uint8(journal.Refused))
			return
		}
		f.begun = true
		w.ledger.Begin(f.id, "once", f.box, time.Now())
		w.put(f, journal.Sent, 0)
		w.out = append(w.out, f)
	}
	intent := journal.Record{Kind: journal.Intent, Serial: f.serial, At: w.now.UnixMicro(), JobID: f.id, Worker: f.box}
	if w.early {
		begin(nil)
		w.store.Put(intent, nil)
		return
	}
	w.store.Put(intent, begin)
}

func (w *world) put(f *flight, kind journal.Kind, code uint8) {
	w.store.Put(journal.Record{Kind: kind, Serial: f.serial, At: w.now.UnixMicro(), Code: code}, nil)
}

// progress continues one of the jobs in flight.
func (w *world) progress() {
	if len(w.out) == 0 {
		return
	}
	i := w.r.IntN(len(w.out))
	f := w.out[i]
	w.out = append(w.out[:i], w.out[i+1:]...)
	switch w.r.IntN(8) {
	case 0:
		w.put(f, journal.Ended, uint8(journal.OutcomeTimedOut))
		w.put(f, journal.Answered, uint8(journal.Failed))
	case 1:
		w.put(f, journal.Started, 0)
		w.out = append(w.out, f)
	default:
		w.ledger.Finish(f.id, f.box)
		w.put(f, journal.Ended, uint8(journal.OutcomeServed))
		w.put(f, journal.Answered, uint8(journal.Served))
		w.over[f.id] = true
	}
}

// play runs a world through some kills and power failures, and returns the violations of its journal.
func play(t *testing.T, seed uint64, early bool) (breaches []string, jobs, unknown int) {
	w := &world{r: rand.New(rand.NewPCG(seed, 1)), ledger: fake.NewRunLog(), now: time.UnixMicro(1e15), early: early,
		over: map[string]bool{}}
	w.disk = fake.NewDisk(seed, []int64{1 << 20, 24 << 10, 10 << 10}[w.r.IntN(3)])
	faults := []fake.Op{fake.OpWrite, fake.OpShort, fake.OpSync, fake.OpCreate,
		fake.OpSyncDir, fake.OpRename, fake.OpRemove}
	w.open(t)
	for range 3 {
		for range 40 + w.r.IntN(120) {
			if w.r.IntN(30) == 0 { // another fault, or none
				w.disk.Fail(faults[w.r.IntN(len(faults))], []float64{0, 0.3, 1}[w.r.IntN(3)])
			}
			if w.r.IntN(60) == 0 {
				for _, op := range faults {
					w.disk.Fail(op, 0)
				}
			}
			w.step()
		}
		if w.r.IntN(4) == 0 {
			w.disk = w.disk.Kill()
		} else {
			w.disk = w.disk.PowerFail()
		}
		w.out = nil
		view, err := store.Read(w.disk, "j", secret, "")
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		var dropped func(string) bool
		if len(view.Logs) > 0 && view.Logs[0].PrunedThrough > 0 {
			dropped = func(id string) bool { return w.over[id] }
		}
		breaches = append(breaches, fake.Audit(w.ledger, view.Jobs, all, all, all, dropped)...)
		for _, p := range view.Problems {
			if !p.Torn {
				breaches = append(breaches, "reported as damage: "+p.String())
			}
		}
		w.open(t)
	}
	view, err := store.Read(w.disk.Kill(), "j", secret, "")
	if err != nil {
		t.Fatalf("seed %d: %v", seed, err)
	}
	for _, j := range view.Jobs {
		if v, _, _ := j.Verdict(); v == journal.Unknown {
			unknown++
		}
	}
	return breaches, w.jobs, unknown
}

func all(string) bool { return true }

// Guards the order of intent and sending, and that nothing durable is lost or wrong, through
// power failures, kills, full disks, and failing writes, syncs and renames.
func TestPowerCuts(t *testing.T) {
	jobs, unknown, bad := 0, 0, 0
	for seed := range *powerSeeds {
		breaches, n, u := play(t, uint64(seed), false)
		jobs, unknown = jobs+n, unknown+u
		for _, b := range breaches {
			if bad++; bad <= 10 {
				t.Errorf("seed %d: %s", seed, b)
			}
		}
	}
	t.Logf("%d seeds, %d jobs, %d unknown, %d violations", *powerSeeds, jobs, unknown, bad)
}

// Guards the check itself: a scheduler that sends before its intent is durable is detected.
func TestPowerCutsCatchEarlySending(t *testing.T) {
	caught := 0
	for seed := range 50 {
		if breaches, _, _ := play(t, uint64(seed), true); len(breaches) > 0 {
			caught++
		}
	}
	if caught < 10 {
		t.Errorf("sending before the intent was noticed in %d of 50 seeds", caught)
	}
	t.Logf("caught in %d of 50 seeds", caught)
}
