package scheduler_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
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
	"sedgevale/scheduler"
)

// BenchmarkJournal compares jobs with the journal and without, so many at once, on
// stand-in boxes whose jobs take no time. Besides the time a job it gives the latency's
// median and 99th percentile, in microseconds.
func BenchmarkJournal(b *testing.B) {
	for _, class := range []string{"plan-change", "usage-view"} {
		for _, many := range []int{1, 32, 256} {
			for _, kept := range []string{"off", "none", "group"} {
				b.Run(fmt.Sprintf("%s/clients=%d/journal=%s", class, many, kept), func(b *testing.B) { benchJournal(b, class, many, kept) })
			}
		}
	}
}

func benchJournal(b *testing.B, class string, many int, kept string) {
	var members []discovery.Member
	for i := range 4 {
		box := fake.NewBox(fake.BoxOptions{ID: fmt.Sprint("box-", i), Slots: 256, Queue: 1024,
			Work: func(string, *rand.Rand) time.Duration { return 0 }})
		addr, err := box.Listen("127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		defer box.Close()
		members = append(members, discovery.Member{ID: fmt.Sprint("box-", i), HostPort: addr, Locality: "hut", Flavor: "box",
			Phase: "ready", Size: 256})
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	c := &scheduler.Config{Name: "bench", Listen: addr, Seed: "1f", Known: &discovery.List{Complete: true, Members: members}}
	c.Settings.Classes = []dispatchconfig.Class{{Name: "usage-view", Effect: "free", Promise: 8, HardLimit: 10},
		{Name: "plan-change", Effect: "single_shot", Promise: 8, HardLimit: 10}}
	c.Settings.Bounds.MaxAttempts, c.Settings.Family.TellsStart = 3, true
	c.Settings.Kinds, c.Settings.Zones = []string{"box"}, []string{"hut"}
	dir := filepath.Join(b.TempDir(), "journal")
	if kept != "off" {
		c.Journal = &dispatchconfig.Journal{Dir: dir, Sync: kept}
	}
	s, err := scheduler.New(c, scheduler.Options{Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	over := make(chan error, 1)
	go func() { over <- s.Run(ctx) }()
	for {
		if a, err := http.Get("http://" + addr + "/ready"); err == nil {
			a.Body.Close()
			if a.StatusCode == 200 {
				break
			}
		}
		time.Sleep(time.Millisecond)
	}
	hist := hdrhistogram.New(1, 10_000_000, 3)
	var mu sync.Mutex
	var next, failed atomic.Int64
	b.ResetTimer()
	var wg sync.WaitGroup
	for n := range many {
		wg.Go(func() {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				b.Error(err)
				return
			}
			defer conn.Close()
			in := bufio.NewReader(conn)
			var mine []int64
			for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
				began := time.Now()
				fmt.Fprintf(conn, "POST /%s HTTP/1.1\r\nHost: x\r\nRequest-Id: b%d-%d\r\nRequest-Timeout: 9000m\r\nContent-Length: 5\r\n\r\nhello",
					class, n, i)
				a, err := http.ReadResponse(in, nil)
				if err != nil {
					b.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, a.Body)
				if a.StatusCode != 200 {
					failed.Add(1)
				}
				mine = append(mine, time.Since(began).Microseconds())
			}
			mu.Lock()
			defer mu.Unlock()
			for _, v := range mine {
				_ = hist.RecordValue(max(1, v))
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	stop()
	if err := <-over; err != nil {
		b.Error(err)
	}
	b.ReportMetric(float64(hist.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(hist.ValueAtQuantile(99)), "p99-µs")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "jobs/s")
	if n := failed.Load(); n > 0 {
		b.ReportMetric(float64(n), "failed")
	}
	if kept != "off" && class == "plan-change" {
		bytes := int64(0)
		files, _ := filepath.Glob(filepath.Join(dir, "lane-0", "*.seg"))
		for _, f := range files {
			if info, err := os.Stat(f); err == nil {
				bytes += info.Size()
			}
		}
		b.ReportMetric(float64(bytes)/float64(b.N), "disk-B/job")
	}
}
