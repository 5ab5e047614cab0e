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
	rounds = flag.Int("rounds", FaultKindCount+1, "faults to inject")
	seed   = flag.Uint64("seed", 1, "seed of random choices")
)

// The clients' request timeout, and the latency target of a job of average length.
const (
	timeout       = 2 * time.Second
	latencyTarget = 400 * time.Millisecond
)

// startCluster starts a cluster in which two workers are slow and one fails most jobs.
func startCluster(t *testing.T, schedulers, workers int, isolated bool) *Cluster {
	t.Helper()
	o := Options{Dir: t.TempDir(), Seed: *seed, Schedulers: schedulers, Isolated: isolated}
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
	return startClusterWith(t, o)
}

// startClusterWith starts a cluster that is closed when the test ends.
func startClusterWith(t *testing.T, o Options) *Cluster {
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

// checkRules reports the violations of the rules, at most the first eleven.
func (c *Cluster) checkRules(t *testing.T, answers []fake.Response) {
	t.Helper()
	e := c.Observations(answers, timeout)
	for i, b := range e.Violations() {
		if t.Error(b); i == 10 {
			t.Fatal("further violations are not reported")
		}
	}
}

// shareAtBadWorkers returns the share of runs since a time that went to the slow and failing workers.
func (c *Cluster) shareAtBadWorkers(since time.Time) float64 {
	bad, all := 0, 0
	for _, id := range c.RunLog.Jobs() {
		for _, run := range c.RunLog.Runs(id) {
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

// TestPeerLoadsHelpManySchedulers checks that eight schedulers with two slow workers and a failing one serve no fewer jobs in time
// when they exchange load reports than when each is isolated.
func TestPeerLoadsHelpManySchedulers(t *testing.T) {
	var inTime [2]float64
	for i, isolated := range []bool{true, false} {
		r := startCluster(t, 8, 24, isolated)
		ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
		since := time.Now().Add(time.Second)
		answers := r.RunAllClients(ctx, 8, 10*time.Millisecond, timeout)
		stop()
		r.checkRules(t, answers)
		s := Summarize(answers, since, latencyTarget)
		inTime[i] = float64(s.InTime) / float64(s.Submitted)
		t.Logf("isolated %v: %+v, in time %.3f, at bad workers %.3f, %d datagrams", isolated, s, inTime[i], r.shareAtBadWorkers(since), r.Network.Delivered())
		if s.Submitted < 100 {
			t.Errorf("only %d jobs were submitted", s.Submitted)
		}
		r.Close()
	}
	if inTime[1] < inTime[0]-0.15 { // 0.15 is tolerance for a loaded machine
		t.Errorf("share of jobs served in time: %.3f with exchanged load reports, %.3f without", inTime[1], inTime[0])
	}
}

// awaitJobs waits until n jobs have been begun at workers.
func (c *Cluster) awaitJobs(t *testing.T, n int) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); len(c.RunLog.Jobs()) < n; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d jobs were begun within 20 s, want %d", len(c.RunLog.Jobs()), n)
		}
	}
}

// arrivals returns for each worker the arrival times of attempts, relative to a start time.
func (c *Cluster) arrivals(began time.Time) map[string][]time.Duration {
	byWorker := map[string][]time.Duration{}
	for _, id := range c.RunLog.Jobs() {
		for _, run := range c.RunLog.Runs(id) {
			if at := run.Received.Sub(began); at > 0 {
				byWorker[run.Worker] = append(byWorker[run.Worker], at)
			}
		}
	}
	return byWorker
}

// worstWindow returns the highest ratio of the number of arrivals in a window to the window's budget. The arrivals must be sorted.
func worstWindow(arrivals []time.Duration, window time.Duration, budget func(at time.Duration) float64) (worst float64) {
	for first, at := range arrivals {
		n, _ := slices.BinarySearch(arrivals[first:], at+window)
		worst = max(worst, float64(n)/budget(at))
	}
	return worst
}

// slowStartBudget returns how many attempts a worker with a capacity in attempts per second may receive in a window, including a
// tolerance of two standard deviations plus two attempts for randomness.
func slowStartBudget(capacity, multiple float64, window time.Duration) float64 {
	mean := multiple * capacity * window.Seconds()
	return mean + 2*math.Sqrt(mean) + 2
}

// TestColdWorkersUnderTwentySchedulers guards against workers in slow start that are overloaded by the combined load of twenty
// schedulers, of which six have just restarted without learned state, while the two halves of the schedulers exchange no datagrams.
func TestColdWorkersUnderTwentySchedulers(t *testing.T) {
	const (
		workers, cold = 10, 5
		slots, work   = 2, 60 * time.Millisecond
		fall, warmUp  = 2 * time.Second, 22 * time.Second // as in Settings, like the following two
		multiple      = 3
		start         = 0.13
	)
	o := Options{Dir: t.TempDir(), Seed: *seed, Schedulers: 20}
	for i := range workers {
		o.Workers = append(o.Workers, WorkerOptions{Cell: i / 4, Slots: slots, Work: work})
	}
	r := startClusterWith(t, o)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	answers := make(chan []fake.Response, 1)
	go func() { answers <- r.RunAllClients(ctx, 2, 120*time.Millisecond, timeout) }()
	r.awaitJobs(t, 500) // enough for the schedulers to learn the workers' latencies
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
	arrivals := r.arrivals(began)
	budget := func(at time.Duration) float64 {
		return slowStartBudget(slots/work.Seconds()*(start+(1-start)*at.Seconds()/warmUp.Seconds()), multiple, fall)
	}
	for i := range cold {
		all := arrivals[workerName(i)]
		slices.Sort(all)
		worst := worstWindow(all, fall, budget)
		t.Logf("%s: %d jobs in slow start, at most %.2f of its budget in any %v", workerName(i), len(all), worst, fall)
		if worst > 1 {
			t.Errorf("%s in slow start received %.2f times its budget", workerName(i), worst)
		}
	}
}

// awaitAllAlive waits until every scheduler considers every other alive, or returns an error after maxAgreementTime.
func (c *Cluster) awaitAllAlive() error {
	var problem string
	for end := time.Now().Add(maxAgreementTime); ; time.Sleep(20 * time.Millisecond) {
		problem = ""
		for _, s := range c.Schedulers {
			var st peers.Status
			if err := s.GetJSON("/admin/peers", &st); err != nil {
				problem = err.Error()
				break
			}
			for _, m := range st.Members {
				if m.Number != st.Self && m.State != "alive" {
					problem = fmt.Sprintf("%s considers member %d %s", s.Name, m.Number, m.State)
				}
			}
		}
		if problem == "" || time.Now().After(end) {
			break
		}
	}
	if problem != "" {
		return fmt.Errorf("membership has not converged after %v: %s", maxAgreementTime, problem)
	}
	return nil
}

// maxAgreementTime is how long the membership may take to converge after a fault on a loaded machine. The tests of internal/peers
// check in virtual time that it takes at most three seconds.
const maxAgreementTime = 15 * time.Second

// TestManySchedulersThroughFaults injects kills, freezes, partitions in one or both directions, loss, delay and duplication between
// eight schedulers and checks that no job is lost, run twice or sent to a draining worker, and that the membership converges again.
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
	s := Summarize(responses, time.Time{}, latencyTarget)
	t.Logf("faults %v; %+v; membership converged within %v; %d datagrams", counts, s, slowest, r.Network.Delivered())
	if s.Served*3 < s.Submitted {
		t.Errorf("less than a third of the jobs were served: %+v", s)
	}
}
