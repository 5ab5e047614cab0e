// Package crashtest repeatedly kills a scheduler process at random moments and compares its journal
// with the workers' run log. It contains only tests.
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
	kills = flag.Int("kills", 24, "number of kills of the scheduler")
	seed  = flag.Uint64("seed", 1, "seed of random choices")
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

// harness holds the workers and the journal, which outlive each scheduler process.
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

	jobs, recorded, unknownByKill, unknownByFault, settled int
	verdicts                                               [journal.Unknown + 1]int
}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, rand: rand.New(rand.NewPCG(*seed, 7)), runLog: fake.NewRunLog(), dir: filepath.Join(t.TempDir(), "journal"),
		listen: testkit.FreeAddr(t), log: &bytes.Buffer{}}
	results := fake.NewResultStore(0)
	var members []fake.Member
	for i := range 3 {
		faults := fake.FaultShares{}
		for _, p := range fake.AllFaults {
			if p != fake.FaultHang { // every hung job would add its timeout to a run of a thousand kills
				faults[p] = 0.001
			}
		}
		worker := fake.NewWorker(fake.WorkerOptions{ID: fmt.Sprintf("box-%d", i), Slots: 8, Faults: faults, Seed: *seed + uint64(i),
			Results: results, RunLog: h.runLog, Work: func(_ string, r *rand.Rand) time.Duration {
				return 300*time.Microsecond + time.Duration(r.Int64N(int64(1200*time.Microsecond)))
			}})
		addr, err := worker.Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			if err := worker.Close(); err != nil {
				t.Error(err)
			}
		})
		h.workers = append(h.workers, worker)
		members = append(members, fake.Member{ID: fmt.Sprintf("box-%d", i), HostPort: addr, Locality: "hut", Flavor: "box",
			Phase: "ready", Size: 8})
	}
	discovery := fake.NewDiscovery(members...)
	addr, err := discovery.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := discovery.Close(); err != nil {
			t.Error(err)
		}
	})
	h.file = filepath.Join(t.TempDir(), "operator.toml")
	if err := os.WriteFile(h.file, append(fmt.Appendf(nil, operatorFile, h.listen, addr, h.dir), faultinjection.Settings...), 0o600); err != nil {
		t.Fatal(err)
	}
	return h
}

// start starts a scheduler process.
func (h *harness) start() *exec.Cmd {
	h.log.Reset()
	c := faultinjection.Command(h.file, filepath.Dir(h.file), h.log)
	if err := c.Start(); err != nil {
		h.t.Fatal(err)
	}
	return c
}

// awaitReady waits until the scheduler serves.
func (h *harness) awaitReady() {
	if err := faultinjection.AwaitReady(h.listen); err != nil {
		h.t.Fatalf("cycle %d: %v:\n%s", h.cycle, err, h.log)
	}
}

// runCycle starts a scheduler, submits jobs to it, and kills it at a random moment, in one of ten
// cycles before it serves.
func (h *harness) runCycle() {
	h.cycle++
	prefix := fmt.Sprintf("c%d", h.cycle)
	c := h.start()
	var answers []fake.Response
	var killed time.Time
	kill := func() {
		killed = time.Now()
		_ = c.Process.Kill()
		_ = c.Wait()
	}
	if h.rand.IntN(10) == 0 {
		time.Sleep(time.Duration(h.rand.IntN(40)) * time.Millisecond)
		kill()
	} else {
		h.awaitReady()
		ctx, stop := context.WithCancel(context.Background())
		time.AfterFunc(time.Duration(30+h.rand.IntN(370))*time.Millisecond, func() {
			kill()
			stop()
		})
		answers = fake.Clients{Target: h.listen, Number: 12, Tenants: []string{"valley", "east"}, Think: 2 * time.Millisecond,
			Timeout: 2 * time.Second, Prefix: prefix, Seed: h.rand.Uint64(),
			Mix: faultinjection.Mix}.Run(ctx)
	}
	for _, worker := range h.workers {
		worker.AwaitIdle()
	}
	h.check(prefix+"-", answers, killed)
	h.runLog.Forget()
	if h.cycle%20 == 0 {
		h.settleUnknown()
	}
}

// check compares the journal with the run log and with the responses that clients received.
func (h *harness) check(prefix string, answers []fake.Response, killed time.Time) {
	h.jobs += len(answers)
	if !store.HasRecords(store.OS{}, h.dir) { // the scheduler was killed before its first write
		if len(h.runLog.Jobs()) > 0 {
			h.t.Errorf("cycle %d: workers have begun jobs, but there is no journal", h.cycle)
		}
		return
	}
	view := h.read()
	if view.Damaged() {
		h.t.Errorf("cycle %d: the journal is damaged: %v", h.cycle, view.Problems)
	}
	mine := func(id string) bool { return strings.HasPrefix(id, prefix) }
	for _, violation := range fake.Audit(h.runLog, view.Jobs, func(class string) bool { return class != "usage-view" },
		func(class string) bool { return class == "plan-change" }, mine, nil) {
		h.t.Errorf("cycle %d: %s", h.cycle, violation)
	}
	answered := map[string]fake.Response{}
	for _, t := range answers {
		answered[t.Job] = t
	}
	for _, j := range view.Jobs {
		if !mine(j.ID) {
			continue
		}
		h.recorded++
		v, reason, _ := j.Verdict()
		h.verdicts[v]++
		if v != journal.Unknown {
			continue
		}
		if strings.Contains(reason, "the scheduler died") {
			h.unknownByKill++
		} else {
			h.unknownByFault++
		}
		if t := answered[j.ID]; t.Status == http.StatusOK && killed.Sub(t.ReceivedAt) > 100*time.Millisecond {
			h.t.Errorf("cycle %d: job %s is unknown (%s), but it was answered %v before the kill", h.cycle, j.ID, reason, killed.Sub(t.ReceivedAt))
		}
	}
}

func (h *harness) read() *store.View {
	secret, err := store.ReadKey(store.KeyPath(h.dir, ""))
	if err != nil {
		h.t.Fatal(err)
	}
	view, err := store.Read(store.OS{}, h.dir, secret, "")
	if err != nil {
		h.t.Fatalf("cycle %d: %v", h.cycle, err)
	}
	return view
}

// settleUnknown settles at most five jobs with an unknown outcome, as operators do.
func (h *harness) settleUnknown() {
	secret, err := store.ReadKey(store.KeyPath(h.dir, ""))
	if err != nil {
		h.t.Fatal(err)
	}
	left := 5
	for _, j := range h.read().Jobs {
		if v, _, _ := j.Verdict(); v != journal.Unknown || j.DecidedAs != 0 {
			continue
		}
		if left--; left < 0 { // the others stay unsettled
			break
		}
		n, err := store.DecideUnowned(store.Options{Dir: h.dir, Secret: secret, Owner: store.Owner{PID: os.Getpid()}}, j.ID,
			journal.Ran, "the test", "found out")
		if err != nil {
			h.t.Fatalf("cycle %d: settling %s: %v", h.cycle, j.ID, err)
		}
		h.settled += n
	}
}

// TestKills checks the journal after kills at random moments: a durable intent names the worker of
// every job that was begun, no worker began a job with the verdict "did not run", a worker finished
// every job with the verdict "ran", jobs that must not run twice were begun at most once, and the
// outcome of every job that was answered more than 100 ms before the kill is known.
func TestKills(t *testing.T) {
	h := newHarness(t)
	for range *kills {
		h.runCycle()
		if h.cycle%100 == 0 {
			fmt.Fprintf(os.Stderr, "%d kills\n", h.cycle)
		}
		if t.Failed() {
			t.Fatalf("log of the scheduler:\n%s", h.log)
		}
	}
	t.Logf("%d kills, seed %d: %d jobs sent, %d on record: %d ran, %d did not run, %d unknown (%d by the kill, %.2f%%; %d since their worker failed); %d settled; 0 violations",
		*kills, *seed, h.jobs, h.recorded, h.verdicts[journal.Ran], h.verdicts[journal.DidNotRun], h.verdicts[journal.Unknown],
		h.unknownByKill, 100*float64(h.unknownByKill)/float64(max(1, h.recorded)), h.unknownByFault, h.settled)
}
