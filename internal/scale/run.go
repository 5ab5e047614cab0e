package scale

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sedgevale/internal/config"
	"sedgevale/internal/peers"
	"sedgevale/internal/standin"
)

const (
	settleFor  = 20 * time.Second // what is to come about must have by then
	lookEvery  = 250 * time.Millisecond
	askLimit   = 5 * time.Second
	rampEvery  = 50 * time.Millisecond // so many more clients of long tasks come to a real process
	rampBy     = 40
	longThink  = 300 * time.Millisecond // of a client whose long task has ended
	shortCycle = time.Second            // of a client of short tasks
)

// Options are the choices of who runs.
type Options struct {
	Binary string           // the program; "": this one
	Dir    string           // for files and logs; "": one that is removed again
	Clock  func() time.Time // by which lateness is measured; nil: time.Now
	// Progress is called before each point. It may be nil.
	Progress func(at, of int, p Point)
}

// Result is what was measured at a point.
type Result struct {
	Point
	Control   Measurement `json:"control"` // the real processes have no jobs of their own
	All       Measurement `json:"all"`
	Invalid   string      `json:"invalid,omitempty"` // why it gives no slope
	Seconds   float64     `json:"seconds"`           // that the whole of it took
	HereMB    float64     `json:"here_mb"`           // most memory of this process so far
	Processes int         `json:"processes"`
	// InForce is after how many seconds the slowest real process took a job of a team that a change had added; 0: not
	// within InForceMost. At the point of the file's own size alone.
	InForce     float64 `json:"in_force_s"`
	InForceMost float64 `json:"in_force_most_s,omitempty"` // 0: not measured
}

// Measurement is of the mean real process over a time.
type Measurement struct {
	Seconds    float64   `json:"seconds"`
	CPU        float64   `json:"cpu_percent"` // of a core
	RSS        float64   `json:"rss_mb"`      // at the end
	HWM        float64   `json:"hwm_mb"`
	Sent       float64   `json:"sent_kb_s"` // to other schedulers; 1 KB is 1000 bytes
	Received   float64   `json:"received_kb_s"`
	Datagrams  float64   `json:"datagrams_s"`       // sent and received
	Discovery  float64   `json:"discovery_bytes_s"` // written by discovery
	ListEvents float64   `json:"list_changes"`      // in all
	EachCPU    []float64 `json:"each_cpu_percent"`  // by process
	EachRSS    []float64 `json:"each_rss_mb"`
	Load       Load      `json:"load"`
}

// Run plays all points and calls each with what was measured. It returns once all that it has started is gone. Whoever
// ends the context early gets what is there, and the context's error.
func Run(ctx context.Context, f *File, o Options, each func(Result)) (all []Result, err error) {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Binary == "" {
		if o.Binary, err = os.Executable(); err != nil {
			return nil, err
		}
	}
	if o.Dir == "" {
		if o.Dir, err = os.MkdirTemp("", "sedgevale-scale"); err != nil {
			return nil, err
		}
		defer os.RemoveAll(o.Dir)
	}
	points := f.points()
	most := 0
	for _, p := range points {
		most = max(most, p.Size.Workers)
	}
	workers, err := newWorkers(f, most)
	if err != nil {
		return nil, err
	}
	defer workers.Close()
	for i, p := range points {
		if o.Progress != nil {
			o.Progress(i+1, len(points), p)
		}
		r, err := runPoint(ctx, f, o, p, workers, i == 0)
		if err != nil {
			return all, err
		}
		all = append(all, r)
		each(r)
	}
	return all, nil
}

// stage is all that stands at a point.
type stage struct {
	f       *File
	size    Size
	plan    Plan
	workers *Workers
	site    *site
	real    []*process
	hollow  []*hollow
	starts  atomic.Int64 // of hollow schedulers
	meter   *meter
	loaded  bool // the real processes have jobs
	work    context.Context
	wg      sync.WaitGroup
}

func runPoint(ctx context.Context, f *File, o Options, p Point, w *Workers, first bool) (r Result, err error) {
	began := time.Now()
	r.Point = p
	if err := w.begin(p.Size.Slots); err != nil {
		return r, err
	}
	dir := filepath.Join(o.Dir, fmt.Sprintf("point-%d", began.UnixNano()))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return r, err
	}
	s := &stage{f: f, size: p.Size, plan: f.plan(p.Size), workers: w, meter: &meter{clock: o.Clock}}
	work, stop := context.WithCancel(ctx)
	s.work = work
	defer func() {
		stop()
		for _, one := range s.real {
			one.kill()
		}
		if s.site != nil {
			s.site.Close()
		}
		s.wg.Wait()
		for _, h := range s.hollow {
			h.conn.Close()
		}
	}()
	if err := s.build(dir, o.Binary); err != nil {
		return r, err
	}
	for _, h := range s.hollow {
		s.wg.Go(func() { h.run(work) })
	}
	strange, err := s.await(ctx)
	if err != nil {
		return r, err
	}
	s.wg.Go(func() { s.site.churn(work) })
	s.wg.Go(func() { s.reload(work) })
	if r.Control, err = s.measure(ctx); err != nil {
		return r, err
	}
	for _, one := range s.real {
		s.load(one)
	}
	s.loaded = true
	if err := s.ramped(ctx); err != nil {
		return r, err
	}
	if r.All, err = s.measure(ctx); err != nil {
		return r, err
	}
	if first {
		took, err := s.inForce(ctx)
		if err != nil {
			return r, err
		}
		r.InForce, r.InForceMost = took.Seconds(), inForceFor.Seconds()
	}
	r.Control.Load.StrangeAudience, r.All.Load.StrangeAudience = strange, strange
	if why := r.Control.Load.verdict(); why != "" {
		r.Invalid = "control: " + why
	} else if why := r.All.Load.verdict(); why != "" {
		r.Invalid = "all: " + why
	}
	if u, err := usageOf(os.Getpid()); err == nil {
		r.HereMB = u.hwm
	}
	r.Seconds, r.Processes = time.Since(began).Seconds(), len(s.real)+1
	return r, nil
}

// build makes files, sockets and processes.
func (s *stage) build(dir, binary string) (err error) {
	if s.site, err = newSite(s.f, s.size, s.workers); err != nil {
		return err
	}
	addrs := make([]netip.AddrPort, s.size.Schedulers)
	texts := make([]string, len(addrs))
	for i := range addrs {
		if i < s.f.Real {
			texts[i], err = freeAddr("udp4", loopback(addrsOfSchedulers+i))
		} else {
			var h *hollow
			if h, err = newHollow(s.f, s.size, i, s.meter, &s.starts); err == nil {
				s.hollow, texts[i] = append(s.hollow, h), h.conn.LocalAddr().String()
			}
		}
		if err != nil {
			return err
		}
		addrs[i] = netip.MustParseAddrPort(texts[i])
	}
	var plan *config.PeerPlan
	for i := range s.f.Real {
		p := &process{number: i}
		p.http.Timeout = askLimit
		host := loopback(addrsOfSchedulers + i)
		if p.listen, err = freeAddr("tcp4", host); err != nil {
			return err
		}
		if p.ops, err = freeAddr("tcp4", host); err != nil {
			return err
		}
		if p.file, err = newOperatorFile(dir, s.f, s.size, i, p.listen, p.ops, s.site.addrs[i], texts, s.site.members); err != nil {
			return err
		}
		if plan == nil {
			c, err := config.ReadOperator(p.file.path)
			if err != nil {
				return err
			}
			if plan, err = c.PeerPlan(); err != nil {
				return err
			}
		}
		s.real = append(s.real, p)
		if err := p.start(binary, dir); err != nil {
			return err
		}
	}
	s.site.mu.Lock()
	defer s.site.mu.Unlock()
	ids, ready := s.site.now()
	for _, h := range s.hollow {
		h.join(s.f, addrs, plan.Site)
		h.list(ids, ready, true)
	}
	s.site.tell = func(ids []string, ready []place, fresh bool) {
		for _, h := range s.hollow {
			h.list(ids, ready, fresh)
		}
	}
	return nil
}

// await returns once the real processes serve and all know of each other, and whether their audiences are others than
// the hollow ones'.
func (s *stage) await(ctx context.Context) (strange bool, err error) {
	for _, p := range s.real {
		if err := s.until(ctx, p, "does not serve", lookEvery/10, p.ready); err != nil {
			return false, err
		}
		var status peers.Status
		// Its page is long, and what it costs to write is to be small beside what is measured.
		if err := s.until(ctx, p, "does not know all others and all workers", 2*lookEvery, func() bool {
			var err error
			status, err = p.status()
			return err == nil && status.Counts.Boxes == s.size.Workers && !slices.ContainsFunc(status.Members, func(m peers.MemberStatus) bool {
				return m.State != peers.Alive.String() && m.State != "self"
			})
		}); err != nil {
			return false, err
		}
		if len(s.hollow) == 0 {
			continue
		}
		h := s.hollow[0]
		h.mu.Lock()
		ours := h.node.Status(h.now())
		h.mu.Unlock()
		audiences := map[string][]uint16{}
		for _, b := range ours.Boxes {
			audiences[b.ID] = b.Audience
		}
		for _, b := range status.Boxes {
			strange = strange || !slices.Equal(audiences[b.ID], b.Audience)
		}
	}
	return strange, nil
}

var errEnded = errors.New("ended by itself")

// until waits for a condition on a real process.
func (s *stage) until(ctx context.Context, p *process, what string, every time.Duration, ok func() bool) error {
	for deadline := time.Now().Add(settleFor); ; {
		switch {
		case ok():
			return nil
		case p.ended():
			return fmt.Errorf("real-%d %w: %s", p.number, errEnded, p.lastWords())
		case time.Now().After(deadline):
			return fmt.Errorf("real-%d %s after %v: %s", p.number, what, settleFor, p.lastWords())
		case !pause(ctx, every):
			return ctx.Err()
		}
	}
}

// reload changes the real processes' files at the pace of the size.
func (s *stage) reload(ctx context.Context) {
	if s.size.ChangesPerDay <= 0 {
		return
	}
	t := time.NewTicker(s.f.gap(s.size.ChangesPerDay))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, p := range s.real {
			if p.change(s.size) != nil { // it has ended; the measurement will show that
				return
			}
		}
	}
}

// load has clients give a real process its part of the tasks until the point ends and the process with it.
func (s *stage) load(p *process) {
	var teams []string
	for i := range s.size.Teams {
		teams = append(teams, teamName(i))
	}
	clients := func(kind string, number int, class string, think, limit time.Duration, seed int) {
		s.wg.Go(func() {
			standin.Clients{Target: p.listen, Number: number, Mix: []standin.Mix{{Class: class, Part: 1}}, Tenants: teams, Think: think,
				Timeout: limit, Prefix: jobPrefix(p.number) + kind, Seed: s.f.Seed ^ uint64(seed+1)<<32 ^ uint64(p.number)}.Run(s.work)
		})
	}
	s.wg.Go(func() {
		for at := 0; at < s.plan.Running && pause(s.work, rampEvery); at += rampBy {
			clients(fmt.Sprintf("l%d", at), min(rampBy, s.plan.Running-at), longClass, longThink, seconds(2*limitFactor*s.f.LongS), at)
		}
	})
	cycle := shortCycle + seconds(s.f.ShortMS/1000)
	number := max(1, int(s.plan.ShortPerS*cycle.Seconds()+0.5))
	think := time.Duration(float64(number)/s.plan.ShortPerS*float64(time.Second)) - seconds(s.f.ShortMS/1000)
	clients("s", number, shortClass, max(0, think), max(5*time.Second, seconds(2*limitFactor*s.f.ShortMS/1000)), s.plan.Running)
}

// ramped waits until the real processes have their long tasks out, or gives up: then the measurement will say so.
func (s *stage) ramped(ctx context.Context) error {
	for deadline := time.Now().Add(settleFor); time.Now().Before(deadline); {
		if !slices.ContainsFunc(s.real, func(p *process) bool {
			return s.workers.running[p.number].Load() < int64(0.98*float64(s.plan.Running))
		}) {
			return nil
		}
		if !pause(ctx, lookEvery) {
			return ctx.Err()
		}
	}
	return nil
}

// lastWords are the end of the process's log.
func (p *process) lastWords() string {
	b, _ := os.ReadFile(p.log.Name())
	return string(bytes.TrimSpace(b[max(0, len(b)-600):]))
}
