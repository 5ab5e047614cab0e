// Package scheduler is the whole scheduler as a library: it listens to clients,
// watches the list of workers, and carries jobs to them as the decision module
// says. A program needs no more than Serve.
package scheduler

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"sedgevale"
	"sedgevale/internal/discovery"
	"sedgevale/internal/dispatch"
	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/evloop"
	"sedgevale/internal/fairqueue"
	"sedgevale/internal/fairqueue/driver"
	"sedgevale/internal/fdlimit"
	"sedgevale/internal/handover"
	"sedgevale/internal/httpd"
	"sedgevale/internal/jobrequest"
	"sedgevale/internal/journal/recorder"
	"sedgevale/internal/ops"
	"sedgevale/internal/peerlink"
	"sedgevale/internal/platformapi"
	"sedgevale/internal/reverseproxy"
	"sedgevale/internal/sse"
	"sedgevale/internal/upstream"
)

const (
	// A front goes on sending for 0.4 s after it was told to stop, so at least as
	// long is listened.
	acceptGracePeriod = 700 * time.Millisecond
	drainPollInterval = 50 * time.Millisecond
	// Clients go on using the connections that they have. Each is good for one more
	// request, so it stays open for a while yet. Who told us to stop waits for the
	// longest deadline, or for so long, before it kills; what is open then would be
	// lost, so it is answered before.
	idleGracePeriod    = 2500 * time.Millisecond
	maxDrainWait       = 3 * time.Second
	abandonGracePeriod = 400 * time.Millisecond
	// Who is told to end is killed 0.7 s after the longest time that a client may wait: the
	// last answers, and the ends of connections, have so much of that.
	lingerTimeout = 200 * time.Millisecond
	// Each event loop and planner may sit in a system call; with a processor for
	// each the others go on at once. One processor was measured to do nearly as
	// well; see NOTES.md.
	minProcessors  = 8
	memoryFraction = 0.75
	workerHost     = "origin.svc"
	// Kept of a subscriber's time, for its last event's way.
	streamDeadlineMargin = 50 * time.Millisecond
	// Of the descriptors, for operators' calls alone.
	reservedOpsDescriptors = 32
	// Schedulers that hear of a box at least, and boxes that one looks at first (docs/design/peers.md).
	minWorkerObservers = 8
	minSubsetSize      = 4
)

// Options are the choices of who embeds a scheduler.
type Options struct {
	Log *slog.Logger // nil: none
	// OnProcessCount is called with how many processes serve as this scheduler, this one
	// included, when that changes. It may be nil and must not block.
	OnProcessCount func(processes int)
}

// Scheduler is a real scheduler.
type Scheduler struct {
	options      Options
	config       *dispatchconfig.Config                // of the start
	current      atomic.Pointer[dispatchconfig.Config] // read last
	settings     atomic.Pointer[sedgevale.Settings]    // in force; not changed, only replaced
	rules        *jobrequest.Rules
	clock        dispatch.Clock
	descriptors  *fdlimit.Budget
	workerLoop   *evloop.Loop // for workers and discovery
	pool         *upstream.Pool
	watcher      *discovery.Watcher
	planners     *dispatch.Set
	servers      []*httpd.Server
	eventStreams *sse.Front    // nil: no second front
	opsServer    *httpd.Server // nil: no second address
	cordons      *ops.Cordons
	journal      *recorder.Recorder // nil: none
	reverseProxy *reverseproxy.Site // nil: no third front
	admission    *driver.Keeper     // nil: no door
	peerLink     *peerlink.Link     // nil: no other schedulers
	siblings     siblingSet
	workersMu    sync.Mutex
	workers      discovery.List // as it stands
	cordonTurn   chan struct{}  // held by the order that is carried out
	ready        atomic.Bool
}

// New returns a scheduler that does nothing yet.
func New(c *dispatchconfig.Config, opt Options) (*Scheduler, error) {
	if opt.Log == nil {
		opt.Log = slog.New(slog.DiscardHandler)
	}
	many := max(1, c.Planners)
	if err := c.Check(); err != nil {
		return nil, err
	}
	set, err := c.Settings.Module(many)
	if err != nil {
		return nil, err
	}
	set.AskForList = c.Discovery != "" // pushed lists come to the address, and it is asked for them there
	s := &Scheduler{options: opt, config: c, clock: dispatch.NewClock(), descriptors: fdlimit.New(0),
		cordonTurn: make(chan struct{}, 1), siblings: siblingSet{all: map[*sibling]struct{}{}, added: make(chan struct{}, 1)}}
	s.settings.Store(&set)
	s.current.Store(c)
	s.limitDescriptors(c)
	if s.workerLoop, err = evloop.New(opt.Log); err != nil {
		return nil, err
	}
	s.pool = upstream.New(upstream.Options{Loop: s.workerLoop, DialTimeout: dispatchconfig.Seconds(c.Settings.Bounds.DialTimeout),
		IdleClose: dispatchconfig.Seconds(c.Settings.Bounds.IdleClose), Host: workerHost, Clock: s.clock, Budget: s.descriptors,
		Log: opt.Log})
	s.watcher = discovery.NewWatcher(s.workerLoop, c.Discovery, *c.Known, s.onWorkerList, s.onDiscoveryFailure, opt.Log)
	if c.Journal != nil {
		if s.journal, err = recorder.Open(c, opt.Log); err != nil {
			return nil, errors.Join(err, s.workerLoop.Stop())
		}
	}
	var planners []*dispatch.Planner
	for i := range many {
		p, err := dispatch.NewPlanner(set, c.SeedNumber()+uint64(i), s.clock, s.pool, s.watcher.Watch, opt.Log)
		if err != nil {
			return nil, err
		}
		if s.journal != nil {
			p.Record(s.journal)
		}
		planners = append(planners, p)
	}
	s.planners = dispatch.NewSet(planners...)
	if plan, err := c.PeerPlan(); err != nil {
		return nil, errors.Join(err, s.workerLoop.Stop())
	} else if plan != nil {
		s.peerLink = peerlink.New(peerlink.Options{Listen: plan.Listen, Peers: plan.Peers, Self: plan.Self, Site: plan.Site,
			Watch: plan.Watch, Revision: c.InForce(), Seed: c.SeedNumber(), Hearers: minWorkerObservers, Least: minSubsetSize, Planners: planners, Clock: s.clock, Log: opt.Log})
	}
	s.updateWorkers(sedgevale.ListStale, *c.Known)
	s.rules = jobrequest.New(s.clock, &jobrequest.Terms{Classes: set.Classes, Tenants: set.Tenants})
	var takers platformapi.Planners = s.planners
	if c.Door != nil {
		o := fairqueue.Options{Coops: tenantShares(set.Tenants), Concurrency: c.Door.Concurrency, Queue: c.Door.Queue, Clients: c.Door.Clients,
			Seed: c.SeedNumber()}
		if s.admission, err = driver.New(o, s.planners, s.clock, set.MaxRetryAfter, opt.Log); err != nil {
			return nil, errors.Join(err, s.workerLoop.Stop())
		}
		takers = s.admission
	}
	if c.Listen != "" {
		s.servers = append(s.servers, httpd.New(c.Listen, c.Loops, platformapi.New(s.rules, takers, s.ready.Load), s.descriptors, opt.Log))
	}
	if c.Web != nil {
		if s.reverseProxy, err = reverseproxy.New(reverseproxy.Options{Config: c.Web, Loops: c.Loops, Loop: s.workerLoop, Clock: s.clock, Seed: c.SeedNumber() + uint64(many),
			Budget: s.descriptors, Log: opt.Log}); err != nil {
			return nil, errors.Join(err, s.workerLoop.Stop())
		}
		s.servers = append(s.servers, s.reverseProxy.Servers()...)
	}
	if c.SSE != nil {
		s.eventStreams = sse.New(sse.Options{Rules: s.rules.Earlier(streamDeadlineMargin), Planners: takers, Ready: s.ready.Load,
			Heartbeat: dispatchconfig.Seconds(c.SSE.Heartbeat), Retain: dispatchconfig.Seconds(c.SSE.Retain), Log: opt.Log})
		s.servers = append(s.servers, httpd.New(c.SSE.Listen, c.Loops, s.eventStreams, s.descriptors, opt.Log))
	}
	if s.cordons, err = ops.ReadCordons(runtimeFile(c, "cordons")); err != nil {
		opt.Log.Warn("the workers that were out are not known", "err", err)
	}
	for _, host := range s.cordons.Hosts() {
		s.restoreCordon(host)
	}
	if c.Ops != "" {
		s.opsServer = httpd.New(c.Ops, 1, ops.New(s, s.journalReader(), s.opsPages()), fdlimit.New(fdlimit.Reserve+reservedOpsDescriptors/2), opt.Log)
	}
	return s, nil
}

// tenantShares returns the tenants as the door knows them.
func tenantShares(tenants []sedgevale.Tenant) (all []fairqueue.Coop) {
	for _, t := range tenants {
		all = append(all, fairqueue.Coop{Name: t.Name, Share: t.Share})
	}
	return all
}

// journalReader returns who answers questions about jobs, or nil.
func (s *Scheduler) journalReader() ops.Journal {
	if s.journal == nil { // else it would be an interface that is not nil
		return nil
	}
	return s.journal
}

// opsPages returns what operators can read.
func (s *Scheduler) opsPages() map[string]ops.Page {
	pages := map[string]ops.Page{}
	if s.reverseProxy != nil {
		pages["/admin/servers"] = ops.Page{Type: "application/x-ndjson", Read: func() []byte {
			var b bytes.Buffer
			e := json.NewEncoder(&b)
			for _, one := range s.reverseProxy.Status() {
				_ = e.Encode(one) // has no value that cannot be written
			}
			return b.Bytes()
		}}
	}
	if s.peerLink != nil {
		pages["/admin/peers"] = ops.Page{Type: "application/json", Read: func() []byte {
			b, _ := json.Marshal(s.peerLink.Status()) // has no value that cannot be written
			return append(b, '\n')
		}}
	}
	return pages
}

// limitDescriptors keeps to a configuration's limit of descriptors. The operators' are kept apart.
func (s *Scheduler) limitDescriptors(c *dispatchconfig.Config) {
	n := c.Limits.Sockets
	if n > 0 && c.Ops != "" {
		n = max(1, n-reservedOpsDescriptors)
	}
	s.descriptors.Limit(n)
}

// ConfigureRuntime sets the Go runtime up for the machine: it is for programs that are
// nothing but a scheduler.
func ConfigureRuntime(c *dispatchconfig.Config) {
	limitMemory(c, 1)
	if runtime.GOMAXPROCS(0) < minProcessors {
		runtime.GOMAXPROCS(minProcessors)
	}
}

// limitMemory keeps to one of so many even parts of the machine's memory.
func limitMemory(c *dispatchconfig.Config, parts int) {
	if c.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryFraction * float64(c.Limits.MemoryMB) / float64(parts) * (1 << 20)))
	}
}

// Run serves until the context ends, then answers what it has taken.
func (s *Scheduler) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	defer s.workerLoop.Stop()
	before, sockets := s.takeOver()
	go s.planners.Run(work)
	if s.reverseProxy != nil {
		go s.reverseProxy.Run(work)
	}
	if s.peerLink != nil {
		go s.peerLink.Run(work)
	}
	go s.pool.Run(work)
	go s.reportDescriptors(work)
	listening := s.servers
	if s.opsServer != nil {
		listening = append([]*httpd.Server{s.opsServer}, listening...)
	}
	for _, server := range listening {
		if err := server.Start(sockets[server.Addr()]); err != nil {
			return err
		}
		delete(sockets, server.Addr())
	}
	for _, l := range sockets { // of a front that this configuration lacks
		l.Close()
	}
	if s.eventStreams != nil {
		go s.eventStreams.Run(work)
	}
	s.ready.Store(true)
	if before != nil {
		before.send(&handover.Message{Serving: true})
	}
	s.acceptSuccessors()
	s.options.Log.Info("serving", "name", s.config.Name, "listen", s.config.Listen,
		"workers", len(s.config.Known.Members), "revision", s.config.Known.Revision)
	<-ctx.Done()
	return s.drain(work)
}

// drain answers what was taken and what still comes, and returns once all is
// quiet. Whoever sent the signal sets the last limit.
func (s *Scheduler) drain(ctx context.Context) error {
	began := time.Now()
	s.ready.Store(false)
	for _, server := range s.servers {
		server.Drain()
	}
	s.options.Log.Info("stopping: answering what was taken")
	time.Sleep(acceptGracePeriod)
	idle, end := drainDeadlines(s.maxDeadline())
	for closed := false; time.Since(began) < end; time.Sleep(drainPollInterval) {
		open, err := s.planners.Open(ctx)
		if err != nil {
			return err
		}
		if s.admission != nil {
			open += s.admission.Waiting()
		}
		if s.reverseProxy != nil {
			more, err := s.reverseProxy.Open(ctx)
			if err != nil {
				return err
			}
			open += more
		}
		clients := s.openClients()
		if open == 0 && clients == 0 {
			break
		}
		if !closed && time.Since(began) > idle {
			closed = true // each once it has been read to its end, or for a while
			for _, server := range s.servers {
				server.CloseIdle()
			}
		}
	}
	s.refuseRequests(ctx)
	if s.admission != nil {
		s.admission.Close()
	}
	if n, err := s.planners.Abandon(ctx); err != nil {
		return err
	} else if n > 0 {
		s.options.Log.Warn("jobs were still out, their clients were told that they failed", "jobs", n)
	}
	// The last answers are on their way to their event loop, and their clients are to read them.
	for until := time.Now().Add(lingerTimeout); time.Now().Before(until); time.Sleep(drainPollInterval / 5) {
		if s.openClients() == 0 {
			break
		}
	}
	s.siblings.mu.Lock()
	if s.siblings.listener != nil {
		s.siblings.listener.Close()
	}
	s.siblings.mu.Unlock()
	for _, server := range append([]*httpd.Server{s.opsServer}, s.servers...) {
		if server == nil {
			continue
		}
		if err := server.Stop(); err != nil {
			return err
		}
	}
	if s.journal != nil {
		s.journal.Close()
	}
	s.options.Log.Info("stopped")
	return nil
}

// drainDeadlines returns when, after the signal, connections that rest are ended, and when what is
// open is given up. What is left then until the kill is for the last answers.
func drainDeadlines(longest time.Duration) (idle, end time.Duration) {
	return max(acceptGracePeriod, min(longest, idleGracePeriod)), min(longest, maxDrainWait) + abandonGracePeriod
}

// refuseRequests sees to it that no further request is read, before what is open is given up.
func (s *Scheduler) refuseRequests(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, lingerTimeout/2)
	defer stop()
	done := make(chan struct{}, len(s.servers))
	for _, server := range s.servers {
		server.Refuse()
		server.Alive(func() { done <- struct{}{} })
	}
	for range s.servers {
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
	}
}

// openClients returns how many connections of clients are open.
func (s *Scheduler) openClients() (n int) {
	for _, server := range s.servers {
		n += server.Clients()
	}
	return n
}

// maxDeadline is how long a client may wait.
func (s *Scheduler) maxDeadline() time.Duration {
	most := time.Duration(0)
	for _, c := range s.settings.Load().Classes {
		most = max(most, c.Limit)
	}
	return most
}

// onWorkerList passes an answer of discovery on: first to those who carry, so that they
// know each worker that a planner may name.
func (s *Scheduler) onWorkerList(l discovery.List) {
	kind := sedgevale.ListPatch
	if l.Complete {
		kind = sedgevale.ListWhole
	}
	s.updateWorkers(kind, l)
}

func (s *Scheduler) updateWorkers(kind sedgevale.ListKind, l discovery.List) {
	s.workersMu.Lock()
	s.workers = s.workers.With(l, kind != sedgevale.ListPatch)
	whole := s.workers
	s.workersMu.Unlock()
	carriers := make([]upstream.Member, 0, len(l.Members))
	for _, m := range l.Members {
		carriers = append(carriers, upstream.Member{ID: m.ID, Addr: m.HostPort, Ready: m.Ready()})
	}
	s.pool.Members(kind != sedgevale.ListPatch, carriers)
	names := discovery.Names{Zones: s.config.Settings.Zones, Kinds: s.config.Settings.Kinds}
	s.planners.Members(kind, names.Entries(l, s.clock.FromUnixMilli))
	if s.peerLink != nil {
		s.peerLink.Members(whole)
	}
}

// workerList returns the list of workers as it stands.
func (s *Scheduler) workerList() discovery.List {
	s.workersMu.Lock()
	defer s.workersMu.Unlock()
	return s.workers
}

func (s *Scheduler) onDiscoveryFailure() { s.planners.Members(sedgevale.ListBroken, nil) }
