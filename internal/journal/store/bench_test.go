package store_test

import (
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"sedgevale/internal/journal"
	"sedgevale/internal/journal/store"
)

func openOnDisk(b *testing.B, dir string) *store.Store {
	b.Helper()
	s, err := store.Open(store.Options{Dir: dir, Secret: secret, Sync: true, Retention: time.Hour, MaxBytes: 1 << 30, ReservedBytes: 1 << 20})
	if err != nil {
		b.Fatal(err)
	}
	return s
}

// BenchmarkCommit measures the rate of durable intents for several numbers of concurrent writers.
func BenchmarkCommit(b *testing.B) {
	for _, concurrency := range []int{1, 32, 256} {
		b.Run(fmt.Sprintf("waiting=%d", concurrency), func(b *testing.B) {
			s := openOnDisk(b, b.TempDir())
			defer s.Close()
			var wg sync.WaitGroup
			b.ResetTimer()
			for n := range concurrency {
				wg.Go(func() {
					done := make(chan error, 1)
					for i := n; i < b.N; i += concurrency {
						s.Put(journal.Record{Kind: journal.Intent, Serial: uint64(i), At: 1e15, JobID: "9b1f03aa5c7e2d41", Worker: "s-0badcafe"},
							func(err error) { done <- err })
						if err := <-done; err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			wg.Wait()
			b.StopTimer()
			st := s.Stats()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
			b.ReportMetric(float64(b.N)/float64(max(1, st.Syncs)), "records/sync")
		})
	}
}

// BenchmarkRecovery measures Open after the previous process died, for several numbers of open jobs.
func BenchmarkRecovery(b *testing.B) {
	for _, open := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("open=%d", open), func(b *testing.B) {
			dir := b.TempDir()
			s := openOnDisk(b, dir)
			var wg sync.WaitGroup
			for i := range open {
				serial := s.Serial()
				id := fmt.Sprintf("9b1f03aa-%d", i)
				s.Put(journal.Record{Kind: journal.Accepted, Serial: serial, At: 1e15, JobID: id, Class: "plan-change", Tenant: "brazos-valley",
					Target: "/plan-change", Size: 212, Digest: make([]byte, 16)}, nil)
				wg.Add(1)
				s.Put(journal.Record{Kind: journal.Intent, Serial: serial, At: 1e15, JobID: id, Worker: "s-0badcafe"}, func(error) { wg.Done() })
			}
			wg.Wait()
			s.Close() // the jobs have no end record
			for b.Loop() {
				s, err := store.OpenStepped(store.Options{Dir: dir, Secret: secret, Sync: true, Owner: store.Owner{PID: 1, Name: "x"}})
				if err != nil {
					b.Fatal(err)
				}
				if n := s.UnresolvedJobs(); n != open {
					b.Fatalf("recovered %d jobs", n)
				}
				b.StopTimer()
				s.Unlock()
				b.StartTimer()
			}
		})
	}
}

// BenchmarkMemory writes a million jobs and reports the heap size in MB after 100,000 jobs and at the end.
func BenchmarkMemory(b *testing.B) {
	const jobs = 1_000_000
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc) / (1 << 20)
	}
	for b.Loop() {
		s, err := store.Open(store.Options{Dir: b.TempDir(), Secret: secret, Sync: true, Retention: time.Hour, MaxBytes: 64 << 20, ReservedBytes: 1 << 20})
		if err != nil {
			b.Fatal(err)
		}
		slots := make(chan struct{}, 256)
		for i := range jobs {
			slots <- struct{}{}
			serial := s.Serial()
			id, at := fmt.Sprintf("9b1f03aa-%d", i), time.Now().UnixMicro()
			s.Put(journal.Record{Kind: journal.Accepted, Serial: serial, At: at, JobID: id, Class: "plan-change", Tenant: "brazos-valley",
				Target: "/plan-change", Size: 212, Digest: make([]byte, 16)}, nil)
			s.Put(journal.Record{Kind: journal.Intent, Serial: serial, At: at, JobID: id, Worker: "s-0badcafe"}, func(error) {
				s.Put(journal.Record{Kind: journal.Ended, Serial: serial, At: at, Code: uint8(journal.OutcomeServed)}, nil)
				s.Put(journal.Record{Kind: journal.Answered, Serial: serial, At: at, Code: uint8(journal.Served)}, nil)
				<-slots
			})
			if i == jobs/10 {
				b.ReportMetric(heap(), "MB-at-100k")
			}
		}
		b.ReportMetric(heap(), "MB-at-1M")
		s.Close()
		b.ReportMetric(float64(s.Stats().Bytes)/(1<<20), "disk-MB")
	}
}
