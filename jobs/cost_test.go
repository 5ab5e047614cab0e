package jobs

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

var fullTable = flag.Bool("full", false, "measure all sizes up to the largest supported deployment and print the table")

// size is the size of a measured scheduler: the numbers of workers, running tasks and queues.
type size struct{ workers, running, queues int }

// TestSchedulerCostGrowth measures the heap and time that a scheduler uses as workers, running tasks and queues grow. By
// default it only bounds the growth of the heap. With -args -full it prints the table of docs/CAPACITY.md.
func TestSchedulerCostGrowth(t *testing.T) {
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
		heaps = append(heaps, m.heapMB)
		t.Logf("workers %5d running %6d queues %4d: heap %7.2f MB, report %6.1f us, start %7.1f us, cycle %8.1f us, record %5.0f B/task",
			s.workers, s.running, s.queues, m.heapMB, m.reportUS, m.startUS, m.cycleUS, m.recordBytes)
	}
	if !*fullTable && heaps[2] > 3.5*heaps[0] && heaps[2] > 2 {
		t.Errorf("heap %v MB grows more than linearly over four times the size", heaps)
	}
}

// costs are the measured costs of a scheduler: the heap, the time per HandleReport, per started task and per tick with its
// cycle, and the bytes of records per task.
type costs struct{ heapMB, reportUS, startUS, cycleUS, recordBytes float64 }

// measureScheduler measures the costs of a scheduler of the given size.
func measureScheduler(t *testing.T, s size) (m costs) {
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
	start := time.Now()
	now, bytes := submitAndStart(t, scheduler, queues, s.running)
	m.startUS = float64(time.Since(start).Microseconds()) / float64(s.running)
	m.recordBytes = float64(bytes) / float64(s.running)
	start = time.Now()
	const cycles = 5
	for range cycles {
		scheduler.Tick(now, 0)
		scheduler.Schedule(now)
	}
	m.cycleUS = float64(time.Since(start).Microseconds()) / cycles
	reportRuns(scheduler, reports)
	start = time.Now()
	for _, r := range reports {
		scheduler.HandleReport(now, r)
	}
	m.reportUS = float64(time.Since(start).Microseconds()) / float64(len(reports))
	m.heapMB = heapMB() - before
	runtime.KeepAlive(scheduler)
	runtime.KeepAlive(reports)
	return m
}

// submitAndStart submits jobs of 16 tasks until the given number of tasks is assigned. It returns the time and the number of
// bytes of all written records.
func submitAndStart(t *testing.T, scheduler *Scheduler, queues []QueueConfig, running int) (now time.Duration, bytes int) {
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
		if _, err := scheduler.Submit(now, 0, &Submission{ID: fmt.Sprintf("%016x", n), Queue: queues[n/16%len(queues)].Name, Body: body}); err != nil {
			t.Fatal(err)
		}
		for _, q := range scheduler.queueOrder { // keeps the admission limits from restricting the assignments
			q.limit, q.localShare = 1e6, 1e6
		}
		scheduler.Schedule(now)
		if _, err := scheduler.Flush(put, 1); err != nil {
			t.Fatal(err)
		}
		scheduler.OnCommitted(1)
	}
	return now, bytes
}

// reportRuns adds the workers' runs to their reports as active runs.
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
