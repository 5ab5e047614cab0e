package scale

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"time"

	"sedgevale/internal/peers"
)

// reading is what all counters show at a moment.
type reading struct {
	counts    []peers.Counts // of real processes, read at
	countsAt  []time.Time
	usage     []usage
	usageAt   []time.Time
	sent, got []int64 // bytes of hollow schedulers, to and from real processes
	discovery []int64
	starts    int64
	reloads   int
	lists     int64
}

// reloaded is the line of the log for a change that is in force.
var reloaded = []byte("configuration read again")

func (s *stage) counts(r *reading) error {
	for _, p := range s.real {
		status, err := p.status()
		if err != nil {
			return fmt.Errorf("real-%d: %w", p.number, err)
		}
		r.counts, r.countsAt = append(r.counts, status.Counts), append(r.countsAt, time.Now())
	}
	r.sent, r.got = make([]int64, len(s.real)), make([]int64, len(s.real))
	for i := range s.real {
		for _, h := range s.hollow {
			r.sent[i] += h.sent[i].Load()
			r.got[i] += h.got[i].Load()
		}
	}
	return nil
}

func (s *stage) usages(r *reading) error {
	for i, p := range s.real {
		u, err := usageOf(p.cmd.Process.Pid)
		if err != nil {
			return fmt.Errorf("real-%d: %w: %s", p.number, err, p.lastWords())
		}
		r.usage, r.usageAt = append(r.usage, u), append(r.usageAt, time.Now())
		log, err := os.ReadFile(p.log.Name())
		if err != nil {
			return err
		}
		r.reloads += bytes.Count(log, reloaded)
		r.discovery = append(r.discovery, s.site.bytes[i].Load())
		r.starts += s.workers.starts[i].Load()
	}
	r.starts += s.starts.Load()
	r.lists = s.site.changes.Load()
	return nil
}

// measure waits for the warm-up, then reads, waits and reads again. What asks the processes costs them time, so that is
// asked outside of the time that counts.
func (s *stage) measure(ctx context.Context) (m Measurement, err error) {
	if !pause(ctx, seconds(s.f.WarmupS)) {
		return m, ctx.Err()
	}
	var a, b reading
	if err := s.counts(&a); err != nil {
		return m, err
	}
	s.meter.read()
	if err := s.usages(&a); err != nil {
		return m, err
	}
	began, length := time.Now(), seconds(s.f.LengthS)
	if s.f.ZoneAtOnce {
		s.wg.Go(func() {
			if pause(s.work, length/2) {
				s.site.replaceZone(s.work)
			}
		})
	}
	running, looks := 0.0, 0
	for time.Since(began) < length {
		if !pause(ctx, min(lookEvery, max(time.Millisecond, length-time.Since(began)))) {
			return m, ctx.Err()
		}
		running += float64(s.out())
		looks++
	}
	ticks, late, worst := s.meter.read()
	if err := s.usages(&b); err != nil {
		return m, err
	}
	took := time.Since(began)
	if err := s.counts(&b); err != nil {
		return m, err
	}
	m = s.between(&a, &b)
	m.Seconds = took.Seconds()
	givers := len(s.hollow)
	if s.loaded {
		givers = s.size.Schedulers
	}
	m.Load = Load{StartsPlanned: s.plan.StartsPerS * float64(givers) * took.Seconds(), Starts: float64(b.starts - a.starts),
		RunningPlanned: float64(s.plan.Running * givers), Running: running / float64(looks),
		Ticks: ticks, LateTicks: late, WorstLate: float64(worst.Microseconds()) / 1000,
		ChangesPlanned: float64(len(s.real)) * float64(took) / float64(s.f.gap(s.size.ChangesPerDay)), Changes: float64(b.reloads - a.reloads)}
	return m, nil
}

// out is how many long tasks are out.
func (s *stage) out() (n int64) {
	for _, h := range s.hollow {
		n += h.running.Load()
	}
	for i := range s.real {
		n += s.workers.running[i].Load()
	}
	return n
}

// between is what a mean real process did between two readings.
func (s *stage) between(a, b *reading) (m Measurement) {
	n := float64(len(s.real))
	among := 0.0 // bytes from real processes to real ones
	for i := range s.real {
		took := b.countsAt[i].Sub(a.countsAt[i]).Seconds()
		sent := float64(b.counts[i].SentBytes - a.counts[i].SentBytes)
		among += max(0, sent-float64(b.got[i]-a.got[i])) / took
		m.Sent += sent / took / 1000 / n
		m.Received += float64(b.sent[i]-a.sent[i]) / took / 1000 / n
		m.Datagrams += float64(b.counts[i].Sent-a.counts[i].Sent+b.counts[i].Received-a.counts[i].Received) / took / n
		took = b.usageAt[i].Sub(a.usageAt[i]).Seconds()
		cpu := 100 * (b.usage[i].cpu - a.usage[i].cpu).Seconds() / took
		m.EachCPU, m.EachRSS = append(m.EachCPU, cpu), append(m.EachRSS, b.usage[i].rss)
		m.CPU += cpu / n
		m.RSS += b.usage[i].rss / n
		m.HWM = max(m.HWM, b.usage[i].hwm)
		m.Discovery += float64(b.discovery[i]-a.discovery[i]) / took / n
	}
	if len(s.real) > 1 {
		m.Received += among / n / 1000
	}
	m.ListEvents = float64(b.lists - a.lists)
	return m
}
