package jobs

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

var fullTable = flag.Bool("full", false, "measure up to the operators' size, and print the table")

// size is a point of the sweep: workers, tasks that run, queues.
type size struct{ workers, running, queues int }

// TestSlopes measures what a scheduler costs as workers, running tasks and queues grow. In CI it only bounds the growth of
// heap; with -args -full it prints the table of docs/CAPACITY.md.
func TestSlopes(t *testing.T) {
	sizes := []size{{50, 500, 5}, {100, 1000, 5}, {200, 2000, 5}}
	if *fullTable {
		sizes = []size{
			{200, 2560, 5}, {400, 5125, 5}, {800, 10250, 5}, {1600, 20500, 5}, {3200, 41000, 5},
			{3200, 5125, 5}, {400, 5125, 50}, {400, 5125, 550}, {3200, 41000, 550},
		}
	}
	var heaps []float64
	for _, s := range sizes {
		m := measureScheduler(t, s)
		heaps = append(heaps, m.heap)
		t.Logf("workers %5d running %6d queues %4d: heap %7.2f MB, report %6.1f us, start %7.1f us, round %8.1f us, record %5.0f B a task",
			s.workers, s.running, s.queues, m.heap, m.report, m.start, m.round, m.record)
	}
	if !*fullTable && heaps[2] > 3.5*heaps[0] && heaps[2] > 2 {
		t.Errorf("heap %v MB at four times the size is more than linear", heaps)
	}
}

type measured struct{ heap, report, start, round, record float64 }

// measureScheduler measures a scheduler of a size: heap in MB, times in microseconds a call, bytes of records a task.
func measureScheduler(t *testing.T, s size) (m measured) {
	t.Helper()
	before := heapMB()
	scheduler := New(Options{LeaseTimeout: time.Minute, EndedJobTTL: time.Minute, RemoteSlowdown: 1.5}, rand.New(rand.NewPCG(1, 1)))
	var queues []QueueConfig
	for i := range s.queues {
		queues = append(queues, QueueConfig{Name: fmt.Sprint("q", i), Priority: int64(i % 3), Retries: 3, Extension: 2, TargetLatencyMS: 1000})
	}
	scheduler.Configure(queues)
	reports := make([]*Report, s.workers)
	for i := range reports {
		reports[i] = &Report{
			AgentAddress: fmt.Sprint("10.0.0.", i), AgentIncarnation: "1", Instance: fmt.Sprint("i-", i), State: string(Ready),
			Capacity: Resources{CPU: 16000, MemMB: 64000, GPU: 8}, Labels: []string{"a", fmt.Sprint("r", i/16)},
		}
		scheduler.HandleReport(0, reports[i])
	}
	began := time.Now()
	now, bytes := fill(t, scheduler, queues, s.running)
	m.start = float64(time.Since(began).Microseconds()) / float64(s.running)
	m.record = float64(bytes) / float64(s.running)
	began = time.Now()
	const rounds = 5
	for range rounds {
		scheduler.Tick(now, 0)
		scheduler.Schedule(now)
	}
	m.round = float64(time.Since(began).Microseconds()) / rounds
	reportRuns(scheduler, reports)
	began = time.Now()
	for _, r := range reports {
		scheduler.HandleReport(now, r)
	}
	m.report = float64(time.Since(began).Microseconds()) / float64(len(reports))
	m.heap = heapMB() - before
	runtime.KeepAlive(scheduler)
	runtime.KeepAlive(reports)
	return m
}

// fill submits jobs of 16 tasks, has them assigned, and returns the time and the bytes of all records written.
func fill(t *testing.T, scheduler *Scheduler, queues []QueueConfig, running int) (now time.Duration, bytes int) {
	t.Helper()
	body := []byte(`{"spec":"0123456789012345678901234567890123456789","stages":[{"count":16,"cpu":800,"mem_mb":3000,"estimate_ms":60000}]}`)
	put := func(c Change) int64 { bytes += len(c.Value); return 1 }
	for n := 0; n < running; n += 16 {
		now += 10 * time.Millisecond
		if n%1024 == 0 {
			for _, w := range scheduler.workers {
				w.lastReport, w.leaseExpiry = now, now+time.Minute
			}
		}
		if _, err := scheduler.Submit(now, 0, fmt.Sprintf("%016x", n), queues[n/16%len(queues)].Name, body); err != nil {
			t.Fatal(err)
		}
		for _, q := range scheduler.queueOrder { // the limits are not what is measured
			q.limit, q.localShare = 1e6, 1e6
		}
		scheduler.Schedule(now)
		if _, err := scheduler.Flush(put, 1); err != nil {
			t.Fatal(err)
		}
		scheduler.Committed(1)
	}
	return now, bytes
}

// reportRuns adds the workers' runs to their reports as active.
func reportRuns(scheduler *Scheduler, reports []*Report) {
	for ref, w := range scheduler.workers {
		r := reports[0]
		for i := range reports {
			if WorkerRef(reports[i].Instance, reports[i].AgentAddress) == ref {
				r = reports[i]
				break
			}
		}
		for key := range w.Runs {
			r.Active = append(r.Active, ActiveRun{Task: key.Task, Attempt: key.Attempt, Percent: 10})
		}
	}
}

func heapMB() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) / (1 << 20)
}
