package jobs

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

var full = flag.Bool("full", false, "measure up to the operators' size, and print the table")

// size is a point of the sweep: workers, tasks that run, queues.
type size struct{ workers, running, queues int }

// TestSlopes measures what a Book costs as workers, running tasks and queues grow. In CI it only bounds the growth of
// heap; with -args -full it prints the table of docs/CAPACITY.md.
func TestSlopes(t *testing.T) {
	sizes := []size{{50, 500, 5}, {100, 1000, 5}, {200, 2000, 5}}
	if *full {
		sizes = []size{
			{200, 2560, 5}, {400, 5125, 5}, {800, 10250, 5}, {1600, 20500, 5}, {3200, 41000, 5},
			{3200, 5125, 5}, {400, 5125, 50}, {400, 5125, 550}, {3200, 41000, 550},
		}
	}
	var heaps []float64
	for _, s := range sizes {
		m := measureScheduler(s)
		heaps = append(heaps, m.heap)
		t.Logf("workers %5d running %6d queues %4d: heap %7.2f MB, report %6.1f us, start %7.1f us, round %8.1f us, record %5.0f B a task",
			s.workers, s.running, s.queues, m.heap, m.report, m.start, m.round, m.record)
	}
	if !*full && heaps[2] > 3.5*heaps[0] && heaps[2] > 2 {
		t.Errorf("heap %v MB at four times the size is more than linear", heaps)
	}
}

type measured struct{ heap, report, start, round, record float64 }

func measureScheduler(s size) (m measured) {
	before := heapMB()
	b := New(Options{LapseAfter: time.Minute, KeepEnded: time.Minute, FarX: 1.5}, rand.New(rand.NewPCG(1, 1)))
	var queues []QueueConfig
	for i := range s.queues {
		queues = append(queues, QueueConfig{Name: fmt.Sprint("q", i), Priority: int64(i % 3), Retries: 3, Extension: 2, TargetLatencyMS: 1000})
	}
	b.Configure(queues)
	reports := make([]*Report, s.workers)
	for i := range reports {
		reports[i] = &Report{
			Side: fmt.Sprint("10.0.0.", i), Life: "1", Instance: fmt.Sprint("i-", i), State: string(Ready),
			Capacity: Resources{CPU: 16000, MemMB: 64000, GPU: 8}, Labels: []string{"a", fmt.Sprint("r", i/16)},
		}
		b.Report(0, reports[i])
	}
	body := []byte(`{"spec":"0123456789012345678901234567890123456789","stages":[{"count":16,"cpu":800,"mem_mb":3000,"estimate_ms":60000}]}`)
	bytes := 0
	put := func(c Change) int64 { bytes += len(c.Value); return 1 }
	now := time.Duration(0)
	began := time.Now()
	for n := 0; n < s.running; n += 16 {
		now += 10 * time.Millisecond
		if n%1024 == 0 {
			for _, w := range b.workers {
				w.lastReport, w.leaseExpiry = now, now+time.Minute
			}
		}
		if _, err := b.Submit(now, 0, fmt.Sprintf("%016x", n), queues[n/16%s.queues].Name, body); err != nil {
			panic(err)
		}
		for _, q := range b.queueOrder { // the limits are not what is measured
			q.limit, q.localShare = 1e6, 1e6
		}
		b.Schedule(now)
		_, _ = b.Flush(put, 1)
		b.Committed(1)
	}
	m.start = float64(time.Since(began).Microseconds()) / float64(s.running)
	m.record = float64(bytes) / float64(s.running)
	began = time.Now()
	const rounds = 5
	for range rounds {
		b.Tick(now, 0)
		b.Schedule(now)
	}
	m.round = float64(time.Since(began).Microseconds()) / rounds
	for ref, w := range b.workers {
		r := reports[0]
		for i := range reports {
			if WorkerRef(reports[i].Instance, reports[i].Side) == ref {
				r = reports[i]
				break
			}
		}
		for key := range w.Runs {
			r.Active = append(r.Active, ActiveRun{Task: key.Task, Attempt: key.Attempt, Percent: 10})
		}
	}
	began = time.Now()
	for _, r := range reports {
		b.Report(now, r)
	}
	m.report = float64(time.Since(began).Microseconds()) / float64(len(reports))
	m.heap = heapMB() - before
	runtime.KeepAlive(b)
	runtime.KeepAlive(reports)
	return m
}

func heapMB() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) / (1 << 20)
}
