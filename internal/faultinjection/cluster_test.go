package faultinjection

import (
	"context"
	"flag"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"sedgevale/internal/fake"
	"sedgevale/internal/peers"
)

var (
	rounds = flag.Int("rounds", FaultKinds+1, "faults to inject")
	seed   = flag.Uint64("seed", 1, "for what is drawn at random")
)

// The clients' time-out, and the latency target of a job of usual length.
const (
	timeout = 2 * time.Second
	aim     = 400 * time.Millisecond
)

// startCluster starts a cluster in which two workers are slow and one fails most jobs.
func startCluster(t *testing.T, schedulers, workers int, alone bool) *Cluster {
	t.Helper()
	o := Options{Dir: t.TempDir(), Seed: *seed, Schedulers: schedulers, Isolated: alone}
	for i := range workers {
		b := WorkerOptions{Cell: i / 4, Slots: 2, Work: 60 * time.Millisecond}
		switch i {
		case 3, 11:
			b.Work *= 6
		case 7:
			b.Faults = fake.FaultShares{fake.FaultInternalError: 0.8}
		}
		o.Workers = append(o.Workers, b)
	}
	return run(t, o)
}

// run starts a cluster until the test ends.
func run(t *testing.T, o Options) *Cluster {
	t.Helper()
	r, err := New(o)
	t.Cleanup(r.Close)
	if err == nil {
		err = r.StartAll()
	}
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// checkRules reports all violations of the rules.
func (r *Cluster) checkRules(t *testing.T, answers []fake.Response) {
	t.Helper()
	e := r.Observations(answers, timeout)
	for i, b := range e.Violations() {
		if t.Error(b); i == 10 {
			t.Fatal("and more")
		}
	}
}

// shareAtBadWorkers returns the share of the slow and failing workers in the runs since a moment.
func (r *Cluster) shareAtBadWorkers(since time.Time) float64 {
	bad, all := 0, 0
	for _, id := range r.RunLog.Jobs() {
		for _, run := range r.RunLog.Runs(id) {
			if run.Received.After(since) {
				all++
				if run.Worker == "box-3" || run.Worker == "box-11" || run.Worker == "box-7" {
					bad++
				}
			}
		}
	}
	return float64(bad) / float64(max(1, all))
}

// Guards the placement of eight schedulers with two slow workers and a failing one: they serve no worse when they exchange their
// loads than when each is isolated.
func TestPeerLoadsHelpManySchedulers(t *testing.T) {
	var inTime [2]float64
	for i, alone := range []bool{true, false} {
		r := startCluster(t, 8, 24, alone)
		ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
		since := time.Now().Add(time.Second)
		answers := r.RunAllClients(ctx, 8, 10*time.Millisecond, timeout)
		stop()
		r.checkRules(t, answers)
		s := Summarize(answers, since, aim)
		inTime[i] = float64(s.InTime) / float64(s.Submitted)
		t.Logf("alone %v: %+v, in time %.3f, at bad workers %.3f, %d datagrams", alone, s, inTime[i], r.shareAtBadWorkers(since), r.Network.Delivered())
		if s.Submitted < 100 {
			t.Errorf("only %d jobs were submitted", s.Submitted)
		}
		r.Close()
	}
	if inTime[1] < inTime[0]-0.15 { // with slack for a loaded machine
		t.Errorf("in time %.3f with signals, %.3f without", inTime[1], inTime[0])
	}
}

// awaitJobs waits until so many jobs have run.
func (r *Cluster) awaitJobs(t *testing.T, n int) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); len(r.RunLog.Jobs()) < n; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d jobs have run, want %d", len(r.RunLog.Jobs()), n)
		}
	}
}

// arrivals returns for each worker how long after a moment attempts came to it.
func (r *Cluster) arrivals(began time.Time) map[string][]time.Duration {
	came := map[string][]time.Duration{}
	for _, id := range r.RunLog.Jobs() {
		for _, run := range r.RunLog.Runs(id) {
			if at := run.Received.Sub(began); at > 0 {
				came[run.Worker] = append(came[run.Worker], at)
			}
		}
	}
	return came
}

// worstWindow returns the highest quotient of the arrivals in a window and its budget. Arrivals are sorted.
func worstWindow(arrivals []time.Duration, window time.Duration, budget func(at time.Duration) float64) (worst float64) {
	for first, at := range arrivals {
		n, _ := slices.BinarySearch(arrivals[first:], at+window)
		worst = max(worst, float64(n)/budget(at))
	}
	return worst
}

// slowStartBudget returns how many attempts a worker of a capacity, in attempts a second, may get in a window, with slack for
// randomness.
func slowStartBudget(capacity, multiple float64, window time.Duration) float64 {
	mean := multiple * capacity * window.Seconds()
	return mean + 2*math.Sqrt(mean) + 2
}

// Guards against cold workers that are overloaded by the sum of twenty schedulers: six of those have just restarted and learned
// nothing yet, and half of them receive no datagrams of the other half.
func TestColdWorkersUnderTwentySchedulers(t *testing.T) {
	const (
		workers, cold = 10, 5
		slots, work   = 2, 60 * time.Millisecond
		fall, warmUp  = 2 * time.Second, 22 * time.Second // of Settings, and so are these
		multiple      = 3
		start         = 0.13
	)
	o := Options{Dir: t.TempDir(), Seed: *seed, Schedulers: 20}
	for i := range workers {
		o.Workers = append(o.Workers, WorkerOptions{Cell: i / 4, Slots: slots, Work: work})
	}
	r := run(t, o)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	answers := make(chan []fake.Response, 1)
	go func() { answers <- r.RunAllClients(ctx, 2, 120*time.Millisecond, timeout) }()
	r.awaitJobs(t, 500) // they have learned the workers' latencies
	(&FaultScript{Cluster: r}).setLinkFaults(func(i, j int) (LinkFault, bool) { return LinkFault{Cut: true}, i%2 != j%2 })
	back := make(chan error, 6)
	for _, s := range r.Schedulers[:cap(back)] {
		s.Kill()
		go func() { back <- r.Start(s) }()
	}
	began := time.Now()
	for i := range cold {
		r.Restart(i)
	}
	for range cap(back) {
		if err := <-back; err != nil {
			t.Fatal(err)
		}
	}
	r.awaitJobs(t, 2000)
	stop()
	r.checkRules(t, <-answers)
	came := r.arrivals(began)
	budget := func(at time.Duration) float64 {
		return slowStartBudget(slots/work.Seconds()*(start+(1-start)*at.Seconds()/warmUp.Seconds()), multiple, fall)
	}
	for i := range cold {
		all := came[workerName(i)]
		slices.Sort(all)
		worst := worstWindow(all, fall, budget)
		t.Logf("%s: %d jobs while cold, at most %.2f of its budget in %v", workerName(i), len(all), worst, fall)
		if worst > 1 {
			t.Errorf("%s got %.2f times its budget", workerName(i), worst)
		}
	}
}

// awaitAllAlive returns nil once every scheduler considers every other alive.
func (r *Cluster) awaitAllAlive() error {
	var wrong string
	for end := time.Now().Add(maxAgreementTime); ; time.Sleep(20 * time.Millisecond) {
		wrong = ""
		for _, s := range r.Schedulers {
			var st peers.Status
			if err := s.GetJSON("/admin/peers", &st); err != nil {
				wrong = err.Error()
				break
			}
			for _, m := range st.Members {
				if m.Number != st.Self && m.State != "alive" {
					wrong = fmt.Sprintf("%s has %d for %s", s.Name, m.Number, m.State)
				}
			}
		}
		if wrong == "" || time.Now().After(end) {
			break
		}
	}
	if wrong != "" {
		return fmt.Errorf("after %v %s", maxAgreementTime, wrong)
	}
	return nil
}

// maxAgreementTime is how long the membership may take to converge after a fault on a loaded machine. That it takes three seconds at
// most is tested in virtual time (internal/peers).
const maxAgreementTime = 15 * time.Second

// Guards the rules and the membership through kills, freezes, partitions in one or both directions, loss, delay and duplicates
// between eight schedulers: no job is lost, run twice or sent to a draining worker, and the membership converges again.
func TestManySchedulersThroughFaults(t *testing.T) {
	r := startCluster(t, 8, 24, false)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	answers := make(chan []fake.Response, 1)
	go func() { answers <- r.RunAllClients(ctx, 4, 30*time.Millisecond, timeout) }()
	if err := r.awaitAllAlive(); err != nil {
		t.Fatal(err)
	}
	var slowest time.Duration
	counts, err := (&FaultScript{Cluster: r, Rounds: *rounds, Seed: *seed, DrainWorkers: true, Log: t.Logf, AwaitRecovery: func(fault string) error {
		began := time.Now()
		if err := r.awaitAllAlive(); err != nil {
			return fmt.Errorf("%s: %w", fault, err)
		}
		slowest = max(slowest, time.Since(began))
		return nil
	}}).Run(ctx)
	if err != nil {
		t.Error(err)
	}
	stop()
	responses := <-answers
	r.checkRules(t, responses)
	s := Summarize(responses, time.Time{}, aim)
	t.Logf("faults %v; %+v; membership converged within %v; %d datagrams", counts, s, slowest, r.Network.Delivered())
	if s.Served*3 < s.Submitted {
		t.Errorf("under a third was served: %+v", s)
	}
}
