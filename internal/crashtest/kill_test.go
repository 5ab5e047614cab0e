// Package crashtest kills a real scheduler again and again and compares its journal with the
// workers' run log. It has tests alone.
package crashtest

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sedgevale/internal/fake"
	"sedgevale/internal/faultinjection"
	"sedgevale/internal/journal"
	"sedgevale/internal/journal/store"
	"sedgevale/internal/testkit"
)

var (
	kills = flag.Int("kills", 24, "how often to kill the scheduler")
	seed  = flag.Uint64("seed", 1, "for what is drawn at random")
)

func TestMain(m *testing.M) {
	faultinjection.ServeIfChild()
	os.Exit(m.Run())
}

const operatorFile = `
name = "crashtest"
listen = %q
discovery = %q
[journal]
dir = %q
keep_s = 5
max_mb = 16
reserve_mb = 1
`

// harness is the workers and the journal, which outlive each scheduler.
type harness struct {
	t       *testing.T
	rand    *rand.Rand
	workers []*fake.Worker
	runLog  *fake.RunLog
	file    string
	dir     string
	listen  string
	log     *bytes.Buffer
	cycle   int

	jobs, recorded, unknownByKill, unknownByFault, decided int
	verdicts                                               [journal.Unknown + 1]int
}

func newHarness(t *testing.T) *harness {
	a := &harness{t: t, rand: rand.New(rand.NewPCG(*seed, 7)), runLog: fake.NewRunLog(), dir: filepath.Join(t.TempDir(), "journal"),
		listen: testkit.FreeAddr(t), log: &bytes.Buffer{}}
	results := fake.NewResultStore(0)
	var members []fake.Member
	for i := range 3 {
		faults := fake.FaultShares{}
		for _, p := range fake.AllFaults {
			if p != fake.FaultHang { // a run of a thousand kills would wait for each
				faults[p] = 0.001
			}
		}
		b := fake.NewWorker(fake.WorkerOptions{ID: fmt.Sprintf("box-%d", i), Slots: 8, Faults: faults, Seed: *seed + uint64(i),
			Results: results, RunLog: a.runLog, Work: func(_ string, r *rand.Rand) time.Duration {
				return 300*time.Microsecond + time.Duration(r.Int64N(int64(1200*time.Microsecond)))
			}})
		addr, err := b.Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			if err := b.Close(); err != nil {
				t.Error(err)
			}
		})
		a.workers = append(a.workers, b)
		members = append(members, fake.Member{ID: fmt.Sprintf("box-%d", i), HostPort: addr, Locality: "hut", Flavor: "box",
			Phase: "ready", Size: 8})
	}
	d := fake.NewDiscovery(members...)
	addr, err := d.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := d.Close(); err != nil {
			t.Error(err)
		}
	})
	a.file = filepath.Join(t.TempDir(), "operator.toml")
	if err := os.WriteFile(a.file, append(fmt.Appendf(nil, operatorFile, a.listen, addr, a.dir), faultinjection.Settings...), 0o600); err != nil {
		t.Fatal(err)
	}
	return a
}

// start starts a scheduler.
func (a *harness) start() *exec.Cmd {
	a.log.Reset()
	c := faultinjection.Command(a.file, filepath.Dir(a.file), a.log)
	if err := c.Start(); err != nil {
		a.t.Fatal(err)
	}
	return c
}

// awaitReady waits until the scheduler serves.
func (a *harness) awaitReady() {
	if err := faultinjection.AwaitReady(a.listen); err != nil {
		a.t.Fatalf("cycle %d: %v:\n%s", a.cycle, err, a.log)
	}
}

// runCycle starts a scheduler, loads it, and kills it at a random moment, now and then before it
// serves.
func (a *harness) runCycle() {
	a.cycle++
	prefix := fmt.Sprintf("c%d", a.cycle)
	c := a.start()
	var answers []fake.Response
	var killed time.Time
	kill := func() {
		killed = time.Now()
		_ = c.Process.Kill()
		_ = c.Wait()
	}
	if a.rand.IntN(10) == 0 {
		time.Sleep(time.Duration(a.rand.IntN(40)) * time.Millisecond)
		kill()
	} else {
		a.awaitReady()
		ctx, stop := context.WithCancel(context.Background())
		time.AfterFunc(time.Duration(30+a.rand.IntN(370))*time.Millisecond, func() {
			kill()
			stop()
		})
		answers = fake.Clients{Target: a.listen, Number: 12, Tenants: []string{"valley", "east"}, Think: 2 * time.Millisecond,
			Timeout: 2 * time.Second, Prefix: prefix, Seed: a.rand.Uint64(),
			Mix: faultinjection.Mix}.Run(ctx)
	}
	for _, b := range a.workers {
		b.AwaitIdle()
	}
	a.check(prefix+"-", answers, killed)
	a.runLog.Forget()
	if a.cycle%20 == 0 {
		a.decide()
	}
}

// check compares the journal with the run log and with the responses that clients got.
func (a *harness) check(prefix string, answers []fake.Response, killed time.Time) {
	a.jobs += len(answers)
	if !store.HasRecords(store.OS{}, a.dir) { // killed before it ever wrote
		if len(a.runLog.Jobs()) > 0 {
			a.t.Errorf("cycle %d: there is no journal, and workers have begun jobs", a.cycle)
		}
		return
	}
	view := a.read()
	if view.Damaged() {
		a.t.Errorf("cycle %d: damaged: %v", a.cycle, view.Problems)
	}
	mine := func(id string) bool { return strings.HasPrefix(id, prefix) }
	for _, breach := range fake.Audit(a.runLog, view.Jobs, func(class string) bool { return class != "usage-view" },
		func(class string) bool { return class == "plan-change" }, mine, nil) {
		a.t.Errorf("cycle %d: %s", a.cycle, breach)
	}
	answered := map[string]fake.Response{}
	for _, t := range answers {
		answered[t.Job] = t
	}
	for _, j := range view.Jobs {
		if !mine(j.ID) {
			continue
		}
		a.recorded++
		v, reason, _ := j.Verdict()
		a.verdicts[v]++
		if v != journal.Unknown {
			continue
		}
		if strings.Contains(reason, "the scheduler died") {
			a.unknownByKill++
		} else {
			a.unknownByFault++
		}
		if t := answered[j.ID]; t.Status == http.StatusOK && killed.Sub(t.ReceivedAt) > 100*time.Millisecond {
			a.t.Errorf("cycle %d: job %s is unknown (%s), but it was answered %v before the kill", a.cycle, j.ID, reason, killed.Sub(t.ReceivedAt))
		}
	}
}

func (a *harness) read() *store.View {
	secret, err := store.ReadKey(store.KeyPath(a.dir, ""))
	if err != nil {
		a.t.Fatal(err)
	}
	view, err := store.Read(store.OS{}, a.dir, secret, "")
	if err != nil {
		a.t.Fatalf("cycle %d: %v", a.cycle, err)
	}
	return view
}

// settle settles some jobs whose outcome is unknown, as operators do.
func (a *harness) decide() {
	secret, err := store.ReadKey(store.KeyPath(a.dir, ""))
	if err != nil {
		a.t.Fatal(err)
	}
	left := 5
	for _, j := range a.read().Jobs {
		if v, _, _ := j.Verdict(); v != journal.Unknown || j.DecidedAs != 0 {
			continue
		}
		if left--; left < 0 { // the others wait
			break
		}
		n, err := store.DecideUnowned(store.Options{Dir: a.dir, Secret: secret, Owner: store.Owner{PID: os.Getpid()}}, j.ID,
			journal.Ran, "the test", "found out")
		if err != nil {
			a.t.Fatalf("cycle %d: settling %s: %v", a.cycle, j.ID, err)
		}
		a.decided += n
	}
}

// Guards the journal over kills at any moment: no worker has begun a job for which no durable
// intent names that worker, what did not run was begun by none, what ran was finished by one,
// what must not run twice was begun once, and the outcome of what was answered more than
// 100 ms before the kill is known.
func TestKills(t *testing.T) {
	a := newHarness(t)
	for range *kills {
		a.runCycle()
		if a.cycle%100 == 0 {
			fmt.Fprintf(os.Stderr, "%d kills\n", a.cycle)
		}
		if t.Failed() {
			t.Fatalf("log of the scheduler:\n%s", a.log)
		}
	}
	t.Logf("%d kills, seed %d: %d jobs sent, %d on record: %d ran, %d did not run, %d unknown (%d by the kill, %.2f%%; %d since their worker failed); %d settled; 0 violations",
		*kills, *seed, a.jobs, a.recorded, a.verdicts[journal.Ran], a.verdicts[journal.DidNotRun], a.verdicts[journal.Unknown],
		a.unknownByKill, 100*float64(a.unknownByKill)/float64(max(1, a.recorded)), a.unknownByFault, a.decided)
}
