// Package scheduler is the whole request dispatcher as a library: it listens to clients,
// watches the list of workers, and forwards requests to them as the decision module
// (package sedgevale) says. A program needs no more than Serve; one that embeds a scheduler
// calls New and Run.
//
// A request's way:
//
//   - httpd.Conn.read parses it on an event loop of the server and calls the handler:
//     platformapi.Handler.Serve, or sse.Handler.Serve for an event stream. jobrequest.Parser.Parse
//     returns its job and deadline.
//   - The handler submits a dispatch.Exchange, to the admission queue (driver.Driver) if there is
//     one, else to the planners (dispatch.Set), of which one takes it, by its ID.
//   - Planner.submit passes it to dispatcher.Dispatcher.SubmitRequest, on the goroutine of
//     Planner.Run. The Dispatcher answers by calls of the Planner as its Host: Send, Cancel, Reject,
//     Fail.
//   - Planner.Send gives an attempt to the upstream.Pool, which sends it on the event loop of the
//     connections to workers, and reports its start, progress and outcome as events of the
//     Planner. With a journal the attempt waits until its intent is durable.
//   - Planner.AttemptEnded and the timers lead to the final answer, Exchange.answer, or to a retry.
//     The client side (dispatch.Client) posts the response to its connection's event loop.
//
// The reverse proxy (internal/reverseproxy) makes an Exchange of each of its requests, too, with a
// planner and a carrier of its own.
package scheduler

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"

	"sedgevale/dispatcher"
	"sedgevale/internal/discovery"
	"sedgevale/internal/dispatch"
	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/evloop"
	"sedgevale/internal/fairqueue/driver"
	"sedgevale/internal/fdlimit"
	"sedgevale/internal/handover"
	"sedgevale/internal/httpd"
	"sedgevale/internal/jobrequest"
	"sedgevale/internal/journal/recorder"
	"sedgevale/internal/ops"
	"sedgevale/internal/peerlink"
	"sedgevale/internal/reverseproxy"
	"sedgevale/internal/sse"
	"sedgevale/internal/upstream"
)

// Options are the choices of a program that embeds a Scheduler.
type Options struct {
	Log *slog.Logger // nil: none
	// OnProcessCount is called with the number of processes that serve as this scheduler,
	// this one included, whenever it changes: it is 2 during an upgrade. It may be nil and
	// must not block.
	OnProcessCount func(processes int)
}

// Scheduler listens to clients and forwards their requests to workers.
type Scheduler struct {
	options         Options
	config          *dispatchconfig.Config                // at the start; not changed
	current         atomic.Pointer[dispatchconfig.Config] // of the last successful Reload
	settings        atomic.Pointer[dispatcher.Settings]   // in force; not changed, only replaced
	requestParser   *jobrequest.Parser
	clock           dispatch.Clock
	descriptors     *fdlimit.Limiter
	workerLoop      *evloop.Loop // for connections to workers, discovery and the sibling process
	pool            *upstream.Pool
	watcher         *discovery.Watcher
	planners        *dispatch.Set
	cordons         *ops.Cordons
	cordonSemaphore chan struct{} // holds a token while a cordon is applied
	ready           atomic.Bool   // clients are served: false before the start and from the drain on

	servers      []*httpd.Server     // for clients
	opsServer    *httpd.Server       // for operators; nil without an ops address
	eventStreams *sse.Handler        // nil without an [sse] section
	reverseProxy *reverseproxy.Proxy // nil without a [web] section
	journal      *recorder.Recorder  // nil without a [journal] section
	admission    *driver.Driver      // nil without a [door] section
	peerLink     *peerlink.Link      // nil without peers

	background sync.WaitGroup // what Run has started; it ends with Run
	siblings   siblingSet

	workersMu sync.Mutex // guards workers
	workers   discovery.List
}

// Run serves until the context ends, then drains: it answers what it has accepted and
// returns once all is answered, at the latest after the drain's deadline. It returns an
// error if a server cannot listen or the drain fails.
func (s *Scheduler) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer s.background.Wait()
	defer stop()
	defer func() { _ = s.workerLoop.Stop() }() // an error would come too late for anybody
	predecessor, sockets := s.takeOver(work)
	s.startBackground(work)
	if err := s.listen(work, sockets); err != nil {
		return err
	}
	if s.eventStreams != nil {
		s.background.Go(func() { s.eventStreams.Run(work) })
	}
	s.ready.Store(true)
	if predecessor != nil {
		predecessor.send(&handover.Message{Serving: true})
	}
	s.acceptSuccessors()
	s.options.Log.Info("serving", "name", s.config.Name, "listen", s.config.Listen,
		"workers", len(s.config.Known.Members), "revision", s.config.Known.Revision)
	<-ctx.Done()
	return s.drain(work)
}

// startBackground starts what runs beside the servers until the context ends.
func (s *Scheduler) startBackground(ctx context.Context) {
	s.background.Go(func() { s.planners.Run(ctx) })
	if s.reverseProxy != nil {
		s.background.Go(func() { s.reverseProxy.Run(ctx) })
	}
	if s.peerLink != nil {
		s.background.Go(func() { s.peerLink.Run(ctx) })
	}
	s.background.Go(func() { s.pool.Run(ctx) })
	s.background.Go(func() { s.reportDescriptors(ctx) })
}

// listen starts the servers, the operators' first, on the listening sockets that the
// predecessor passed on, by address, or on sockets of their own.
func (s *Scheduler) listen(ctx context.Context, sockets map[string]*net.TCPListener) error {
	servers := s.servers
	if s.opsServer != nil {
		servers = append([]*httpd.Server{s.opsServer}, servers...)
	}
	for _, server := range servers {
		if err := server.Start(ctx, sockets[server.Addr()]); err != nil {
			return err
		}
		delete(sockets, server.Addr())
	}
	for _, l := range sockets { // of a server that this configuration lacks
		_ = l.Close()
	}
	return nil
}
