package scheduler_test

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sedgevale/internal/discovery"
	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/fake"
	"sedgevale/internal/testkit"
	"sedgevale/scheduler"
)

// BenchmarkJournal compares jobs with and without the journal for several numbers of clients, on
// fake workers whose jobs take no time. Besides the time per job it reports the median and the
// 99th percentile of the latency in microseconds.
func BenchmarkJournal(b *testing.B) {
	for _, class := range []string{"plan-change", "usage-view"} {
		for _, clients := range []int{1, 32, 256} {
			for _, sync := range []string{"off", "none", "group"} {
				b.Run(fmt.Sprintf("%s/clients=%d/journal=%s", class, clients, sync), func(b *testing.B) { benchJournal(b, class, clients, sync) })
			}
		}
	}
}

// benchJournal runs b.N jobs. sync is the journal's sync setting, or "off" for no journal.
func benchJournal(b *testing.B, class string, clients int, sync string) {
	dir := filepath.Join(b.TempDir(), "journal")
	c := benchConfig(b)
	if sync != "off" {
		c.Journal = &dispatchconfig.Journal{Dir: dir, Sync: sync}
	}
	s, err := scheduler.New(c, scheduler.Options{Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	for {
		if a, err := testkit.Get(b, "http://"+c.Listen+"/ready"); err == nil && a.Status == 200 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	b.ResetTimer()
	hist, failed := benchLoad(b, c.Listen, class, clients)
	b.StopTimer()
	cancel()
	if err := <-done; err != nil {
		b.Error(err)
	}
	b.ReportMetric(float64(hist.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(hist.ValueAtQuantile(99)), "p99-µs")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "jobs/s")
	if failed > 0 {
		b.ReportMetric(float64(failed), "failed")
	}
	if sync != "off" && class == "plan-change" {
		b.ReportMetric(float64(segmentBytes(b, dir))/float64(b.N), "disk-B/job")
	}
}

// benchConfig returns a configuration with four fake workers, which are closed at the end of the
// benchmark.
func benchConfig(b *testing.B) *scheduler.Config {
	b.Helper()
	var members []discovery.Member
	for i := range 4 {
		worker := fake.NewWorker(fake.WorkerOptions{ID: fmt.Sprint("box-", i), Slots: 256, Queue: 1024,
			Work: func(string, *rand.Rand) time.Duration { return 0 }})
		addr, err := worker.Listen("127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() {
			if err := worker.Close(); err != nil {
				b.Error(err)
			}
		})
		members = append(members, discovery.Member{ID: fmt.Sprint("box-", i), HostPort: addr, Locality: "hut", Flavor: "box",
			Phase: "ready", Size: 256})
	}
	c := &scheduler.Config{Name: "bench", Listen: testkit.FreeAddr(b), Seed: "1f", KnownWorkers: &discovery.List{Complete: true, Members: members}}
	c.Settings.Classes = []dispatchconfig.Class{{Name: "usage-view", Idempotency: "free", LatencyTarget: 8, ClientTimeout: 10},
		{Name: "plan-change", Idempotency: "single_shot", LatencyTarget: 8, ClientTimeout: 10}}
	c.Settings.Bounds.MaxAttempts, c.Settings.Family.StartNotified = 3, true
	c.Settings.Kinds, c.Settings.Zones = []string{"box"}, []string{"hut"}
	return c
}

// benchLoad sends b.N jobs from clients in a closed loop, and returns the latencies in microseconds
// and the number of failed jobs.
func benchLoad(b *testing.B, addr, class string, clients int) (*hdrhistogram.Histogram, int64) {
	hist := hdrhistogram.New(1, 10_000_000, 3)
	var mu sync.Mutex // guards hist
	var next, failed atomic.Int64
	var wg sync.WaitGroup
	for n := range clients {
		wg.Go(func() {
			conn, err := new(net.Dialer).DialContext(b.Context(), "tcp", addr)
			if err != nil {
				b.Error(err)
				return
			}
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			var latencies []int64
			for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
				start := time.Now()
				if _, err := fmt.Fprintf(conn, "POST /%s HTTP/1.1\r\nHost: x\r\nRequest-Id: b%d-%d\r\nRequest-Timeout: 9000m\r\nContent-Length: 5\r\n\r\nhello",
					class, n, i); err != nil {
					b.Error(err)
					return
				}
				a, err := testkit.ReadResponse(reader)
				if err != nil {
					b.Error(err)
					return
				}
				if a.Status != http.StatusOK {
					failed.Add(1)
				}
				latencies = append(latencies, time.Since(start).Microseconds())
			}
			mu.Lock()
			defer mu.Unlock()
			for _, v := range latencies {
				_ = hist.RecordValue(max(1, v)) // latencies above 10 s are not recorded
			}
		})
	}
	wg.Wait()
	return hist, failed.Load()
}

// segmentBytes returns the total size of the journal's segments in bytes.
func segmentBytes(b *testing.B, dir string) (bytes int64) {
	b.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "lane-0", "*.seg"))
	if err != nil {
		b.Fatal(err)
	}
	for _, f := range files {
		if info, err := os.Stat(f); err == nil {
			bytes += info.Size()
		}
	}
	return bytes
}
