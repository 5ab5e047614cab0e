// Package scheduler implements the complete request dispatcher as a library: it serves clients,
// watches the list of workers, and forwards requests to them as the decision module
// (package dispatcher) decides. A program that only runs a scheduler calls Serve; one that
// embeds a scheduler calls New and Run.
//
// A request is processed as follows:
//
//   - httpd.Conn.read parses the request on an event loop of the server and calls the handler:
//     platformapi.Handler.Serve, or sse.Handler.Serve for an event stream. jobrequest.Parser.Parse
//     returns its job and deadline.
//   - The handler submits a dispatchdriver.Exchange to the admission queue (driver.Driver) if there is
//     one, otherwise to the planners (dispatchdriver.Set), which choose one of them by the job's ID.
//   - Planner.submit passes it to dispatcher.Dispatcher.SubmitRequest, on the goroutine of
//     Planner.Run. The Dispatcher calls back the Planner as its Host: Send, Cancel, Reject, Fail.
//   - Planner.Send passes an attempt to the upstream.Pool, which sends it on the event loop of the
//     connections to workers, and reports its start, progress and outcome as events to the
//     Planner. With a journal, the attempt waits until its intent is durable.
//   - Planner.AttemptEnded and timers lead to the final answer, Exchange.answer, or to a retry.
//     The client side (dispatchdriver.Client) posts the response to its connection's event loop.
//
// The reverse proxy (internal/reverseproxy) also creates an Exchange for each of its requests, with
// its own planner and transport.
package scheduler

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"

	"sedgevale/dispatcher"
	"sedgevale/internal/discovery"
	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/dispatchdriver"
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

// Options configure a Scheduler for the program that embeds it.
type Options struct {
	Log *slog.Logger // nil: no logging
	// OnProcessCount is called whenever the number of processes of this scheduler, including
	// this one, may have changed. The number is 2 during an upgrade. OnProcessCount may be
	// nil and must not block.
	OnProcessCount func(processes int)
}

// Scheduler listens to clients and forwards their requests to workers.
type Scheduler struct {
	options         Options
	config          *dispatchconfig.Config                // configuration at the start; never changed
	current         atomic.Pointer[dispatchconfig.Config] // configuration of the last successful Reload
	settings        atomic.Pointer[dispatcher.Settings]   // settings in force; replaced as a whole
	requestParser   *jobrequest.Parser
	clock           dispatchdriver.Clock
	descriptors     *fdlimit.Limiter
	quota           *httpd.Quota // bounds the memory for clients of all servers
	workerLoop      *evloop.Loop // event loop of the connections to workers, discovery and sibling processes
	pool            *upstream.Pool
	watcher         *discovery.Watcher
	planners        *dispatchdriver.Set
	cordons         *ops.Cordons
	cordonSemaphore chan struct{} // holds a token while a cordon or uncordon is applied
	ready           atomic.Bool   // false before the servers have started and from the start of the drain on

	servers      []*httpd.Server     // servers for clients
	opsServer    *httpd.Server       // server for operators; nil without an ops address
	eventStreams *sse.Handler        // nil without an [sse] section
	reverseProxy *reverseproxy.Proxy // nil without a [web] section
	journal      *recorder.Recorder  // nil without a [journal] section
	admission    *driver.Driver      // nil without a [door] section
	peerLink     *peerlink.Link      // nil without peers

	background sync.WaitGroup // goroutines started by Run, which waits for them
	siblings   siblingSet

	workersMu sync.Mutex // guards workers
	workers   discovery.List
}

// Run serves until the context ends, then drains: it answers the requests that it has
// accepted, and returns once all are answered, at the latest after the drain's deadline. It
// returns an error if a server cannot listen or the drain fails.
func (s *Scheduler) Run(ctx context.Context) error {
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer s.background.Wait()
	defer cancel()
	defer func() { _ = s.workerLoop.Stop() }() // all work is done, so the error is of no consequence
	predecessor, sockets := s.takeOver(workCtx)
	s.startBackground(workCtx)
	if err := s.listen(workCtx, sockets); err != nil {
		return err
	}
	if s.eventStreams != nil {
		s.background.Go(func() { s.eventStreams.Run(workCtx) })
	}
	s.ready.Store(true)
	if predecessor != nil {
		predecessor.send(&handover.Message{Serving: true})
	}
	s.acceptSuccessors()
	s.options.Log.Info("serving", "name", s.config.Name, "listen", s.config.Listen,
		"workers", len(s.config.KnownWorkers.Members), "revision", s.config.KnownWorkers.Revision)
	<-ctx.Done()
	return s.drain(workCtx)
}

// startBackground starts the goroutines that run besides the servers until the context ends.
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

// listen starts the servers, that for operators first. A server listens on the socket inherited
// from the predecessor, by address, or on a new one.
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
	for _, listener := range sockets { // inherited sockets that this configuration does not use
		_ = listener.Close()
	}
	return nil
}
