package scheduler

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"sedgevale/dispatcher"
	"sedgevale/internal/discovery"
	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/dispatchdriver"
	"sedgevale/internal/evloop"
	"sedgevale/internal/fairqueue"
	"sedgevale/internal/fairqueue/driver"
	"sedgevale/internal/fdlimit"
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
	// workerHost is the Host header of requests to workers.
	workerHost = "origin.svc"
	// streamDeadlineMargin is subtracted from the deadline of a job whose client follows an
	// event stream, so that the final event reaches the client in time.
	streamDeadlineMargin = 50 * time.Millisecond
	// At least minWorkerSubscribers schedulers subscribe to the load of a worker, and the
	// subset of workers that a scheduler tries first has at least minSubsetSize workers
	// (docs/design/peers.md).
	minWorkerSubscribers = 8
	minSubsetSize        = 4
)

// New returns a Scheduler that does not listen yet; Run starts it. It returns an error if the
// configuration does not pass its Check, the journal cannot be opened or an event loop
// cannot be created.
func New(c *dispatchconfig.Config, opt Options) (*Scheduler, error) {
	if opt.Log == nil {
		opt.Log = slog.New(slog.DiscardHandler)
	}
	if err := c.Check(); err != nil {
		return nil, err
	}
	settings, err := c.Settings.DispatcherSettings(max(1, c.Planners))
	if err != nil {
		return nil, err
	}
	settings.WatchOnDemand = c.Discovery != "" // the scheduler requests the list from discovery even where the platform pushes lists
	s := &Scheduler{options: opt, config: c, clock: dispatchdriver.NewClock(), descriptors: fdlimit.New(0), quota: newQuota(c),
		cordonSemaphore: make(chan struct{}, 1), siblings: siblingSet{all: map[*sibling]struct{}{}, added: make(chan struct{}, 1)}}
	s.settings.Store(&settings)
	s.current.Store(c)
	s.limitDescriptors(c)
	if s.workerLoop, err = evloop.New(opt.Log); err != nil {
		return nil, err
	}
	if err := s.build(&settings); err != nil {
		return nil, errors.Join(err, s.workerLoop.Stop())
	}
	return s, nil
}

// build creates the components of the scheduler in the order of their dependencies.
func (s *Scheduler) build(settings *dispatcher.Settings) error {
	c := s.config
	s.pool = upstream.New(upstream.Options{Loop: s.workerLoop, DialTimeout: dispatchconfig.Seconds(c.Settings.Bounds.DialTimeout),
		IdleTimeout: dispatchconfig.Seconds(c.Settings.Bounds.IdleTimeout), Host: workerHost, Clock: s.clock, Descriptors: s.descriptors,
		Log: s.options.Log})
	s.watcher = discovery.NewWatcher(s.workerLoop, c.Discovery, *c.KnownWorkers, s.onWorkerList, s.onDiscoveryFailure, s.options.Log)
	if c.Journal != nil {
		var err error
		if s.journal, err = recorder.Open(c, s.options.Log); err != nil {
			return err
		}
	}
	planners, err := s.buildPlanners(settings)
	if err != nil {
		return err
	}
	if err := s.buildPeerLink(planners); err != nil {
		return err
	}
	s.updateWorkers(dispatcher.UpdateStale, *c.KnownWorkers)
	s.requestParser = jobrequest.New(s.clock, &jobrequest.Settings{Classes: settings.Classes, Tenants: settings.Tenants})
	if err := s.buildServers(settings); err != nil {
		return err
	}
	s.buildOps()
	return nil
}

// buildPlanners creates the set of planners and returns its members.
func (s *Scheduler) buildPlanners(settings *dispatcher.Settings) ([]*dispatchdriver.Planner, error) {
	var planners []*dispatchdriver.Planner
	for i := range max(1, s.config.Planners) {
		p, err := dispatchdriver.NewPlanner(*settings, s.config.SeedNumber()+uint64(i), s.clock, s.pool, s.watcher.Watch, s.options.Log)
		if err != nil {
			return nil, err
		}
		if s.journal != nil {
			p.SetJournal(s.journal)
		}
		planners = append(planners, p)
	}
	s.planners = dispatchdriver.NewSet(planners...)
	return planners, nil
}

// buildPeerLink creates the link to the peer schedulers if the configuration names any.
func (s *Scheduler) buildPeerLink(planners []*dispatchdriver.Planner) error {
	c := s.config
	plan, err := c.PeerConfig()
	if err != nil || plan == nil {
		return err
	}
	s.peerLink = peerlink.New(peerlink.Options{Listen: plan.Listen, Peers: plan.Peers, Self: plan.Self, Site: plan.Site,
		FailureDetection: plan.FailureDetection, Revision: c.PeerRevision(), Seed: c.SeedNumber(), MinSubscribers: minWorkerSubscribers, MinSubset: minSubsetSize,
		Planners: planners, Clock: s.clock, Log: s.options.Log})
	return nil
}

// buildServers creates the servers for clients: those of the platform's protocol, the reverse
// proxy and the event streams, as configured. If there is an admission queue, the
// platform's protocol and the event streams submit their requests to it instead of the
// planners.
func (s *Scheduler) buildServers(settings *dispatcher.Settings) error {
	c, log := s.config, s.options.Log
	var planners platformapi.Planners = s.planners
	if c.Admission != nil {
		o := fairqueue.Options{Tenants: tenantShares(settings.Tenants), Concurrency: c.Admission.Concurrency, MaxQueued: c.Admission.Queue,
			ClientQueues: c.Admission.Clients, Seed: c.SeedNumber()}
		var err error
		if s.admission, err = driver.New(o, s.planners, s.clock, settings.MaxRetryAfter); err != nil {
			return fmt.Errorf("door: %w", err)
		}
		planners = s.admission
	}
	if c.Listen != "" {
		s.addServer(httpd.New(c.Listen, c.EventLoops, platformapi.New(s.requestParser, planners, s.ready.Load), s.descriptors, log))
	}
	if c.Web != nil {
		var err error
		if s.reverseProxy, err = reverseproxy.New(reverseproxy.Options{Config: c.Web, Loops: c.EventLoops, Loop: s.workerLoop, Clock: s.clock,
			Seed: c.SeedNumber() + uint64(max(1, c.Planners)), Budget: s.descriptors, Quota: s.quota, Log: log}); err != nil {
			return err
		}
		s.servers = append(s.servers, s.reverseProxy.Servers()...)
	}
	if c.SSE != nil {
		s.eventStreams = sse.New(sse.Options{Parser: s.requestParser.WithMargin(streamDeadlineMargin), Planners: planners, Ready: s.ready.Load,
			Heartbeat: dispatchconfig.Seconds(c.SSE.Heartbeat), Retain: dispatchconfig.Seconds(c.SSE.Retain), Log: log})
		s.addServer(httpd.New(c.SSE.Listen, c.EventLoops, s.eventStreams, s.descriptors, log))
	}
	return nil
}

// addServer adds a server for clients, whose memory counts against that of the process.
func (s *Scheduler) addServer(server *httpd.Server) {
	server.SetQuota(s.quota)
	s.servers = append(s.servers, server)
}

// buildOps restores the saved cordons and creates the server for operators.
func (s *Scheduler) buildOps() {
	c, log := s.config, s.options.Log
	var err error
	if s.cordons, err = ops.ReadCordons(runtimeFile(c, "cordons")); err != nil {
		log.Warn("cannot read the saved cordons; starting with all workers uncordoned", "err", err)
	}
	for _, host := range s.cordons.Hosts() {
		s.restoreCordon(host)
	}
	if c.Ops != "" {
		s.opsServer = httpd.New(c.Ops, 1, ops.New(s, s.journalReader(), s.opsPages()),
			fdlimit.New(fdlimit.Reserve+reservedOpsDescriptors/2), log)
		s.opsServer.SetQuota(s.quota)
	}
}

// tenantShares converts tenants to those of the admission queue.
func tenantShares(tenants []dispatcher.Tenant) (shares []fairqueue.Tenant) {
	for _, t := range tenants {
		shares = append(shares, fairqueue.Tenant{Name: t.Name, Share: t.Share})
	}
	return shares
}
