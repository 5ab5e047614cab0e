package reverseproxy

import (
	"context"
	"sync"
	"time"

	"sedgevale/dispatcher"
	"sedgevale/internal/dispatch"
	"sedgevale/internal/evloop"
	"sedgevale/internal/http1"
)

const (
	idleConnTimeout = 5 * time.Second // a connection to a server is kept that long
	maxIdleConns    = 256             // to one server
	maxBufferedBody = 256 << 10       // bytes of a body, or delivered and unsent, beyond which a goroutine reads a response
	sweepInterval   = 500 * time.Millisecond
)

// serverInfo describes a server to the transport.
type serverInfo struct {
	id, addr       string
	connectTimeout time.Duration
	ready          bool // it may be sent requests
}

// transport carries requests to servers. It is the planner's dispatch.Carrier.
type transport struct {
	proxy *Proxy
	loop  *evloop.Loop

	// The maps are for the loop alone.
	servers   map[string]*server // by serverInfo.id
	attempts  map[*dispatch.Attempt]*upstreamAttempt
	byRequest map[*proxyRequest]*upstreamAttempt // those that a transfer has not taken over

	mu    sync.Mutex      // guards ready
	ready map[string]bool // the same as the servers' ready, for goroutines
}

// server is a server and its connections. It belongs to the loop.
type server struct {
	serverInfo
	idle    []*serverConn // the most recently used last
	dialing map[*upstreamAttempt]struct{}
}

// upstreamAttempt is an attempt on its way to a server and back. It belongs to the loop.
type upstreamAttempt struct {
	attempt  *dispatch.Attempt
	request  *proxyRequest
	server   *server     // nil: removed from the configuration
	conn     *serverConn // nil: not sent
	reported bool        // its outcome has been reported to the planner
	done     bool        // it has ended, or a transfer or goroutine has taken it over
}

func newTransport(p *Proxy) *transport {
	return &transport{proxy: p, loop: p.opt.Loop, servers: map[string]*server{}, attempts: map[*dispatch.Attempt]*upstreamAttempt{},
		byRequest: map[*proxyRequest]*upstreamAttempt{}, ready: map[string]bool{}}
}

// update replaces the list of servers, or with full false updates the given ones.
func (tr *transport) update(full bool, all []serverInfo) {
	tr.mu.Lock()
	if full {
		clear(tr.ready)
	}
	for _, m := range all {
		tr.ready[m.id] = m.ready
	}
	tr.mu.Unlock()
	tr.loop.Do(func() {
		named := map[string]bool{}
		for _, m := range all {
			named[m.id] = true
			srv := tr.servers[m.id]
			if srv == nil {
				srv = &server{dialing: map[*upstreamAttempt]struct{}{}}
				tr.servers[m.id] = srv
			}
			moved := srv.addr != m.addr
			if srv.serverInfo = m; moved || !m.ready {
				tr.closeUnsent(srv)
			}
		}
		if full {
			for id, srv := range tr.servers {
				if !named[id] {
					srv.ready = false
					tr.closeUnsent(srv)
					delete(tr.servers, id)
				}
			}
		}
	})
}

// isReady reports whether a server may be sent requests. Any goroutine may call it.
func (tr *transport) isReady(id string) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.ready[id]
}

// closeUnsent ends attempts that have not been sent to a server, and its idle connections.
func (tr *transport) closeUnsent(srv *server) {
	for ua := range srv.dialing {
		tr.end(ua, dispatcher.NotSent)
	}
	tr.closeIdle(srv)
}

// Send carries out an attempt.
func (tr *transport) Send(attempt *dispatch.Attempt) {
	r := attempt.Payload.(*proxyRequest)
	tr.loop.Do(func() {
		ua := &upstreamAttempt{attempt: attempt, request: r, server: tr.servers[attempt.Worker]}
		tr.attempts[attempt] = ua
		tr.byRequest[r] = ua
		switch {
		case ua.server == nil || !ua.server.ready:
			tr.end(ua, dispatcher.NotSent)
		case r.transfer != nil:
			ua.done = true // from here on the transfer carries it
			delete(tr.byRequest, r)
			r.transfer.attempts <- attempt
		default:
			tr.start(ua)
		}
	})
}

// Cancel cancels an attempt by closing its connection.
func (tr *transport) Cancel(attempt *dispatch.Attempt) {
	tr.loop.Do(func() {
		if ua := tr.attempts[attempt]; ua != nil {
			if ua.request.transfer != nil && ua.done {
				delete(tr.attempts, attempt)
				ua.request.transfer.stop()
				return
			}
			ua.request.recordCause("response-timeout")
			tr.end(ua, dispatcher.Cancelled)
		}
	})
}

// CancelUnsent cancels an attempt unless its request was sent.
func (tr *transport) CancelUnsent(attempt *dispatch.Attempt) {
	tr.loop.Do(func() {
		if ua := tr.attempts[attempt]; ua != nil && ua.conn == nil && ua.request.transfer == nil {
			tr.end(ua, dispatcher.NotSent)
		}
	})
}

// Probe reports at once that there is no load: servers behind the proxy report none.
func (tr *transport) Probe(worker string, p *dispatch.Planner) { p.ProbeResult(worker, nil) }

// CloseIdleConnections closes a server's idle connections.
func (tr *transport) CloseIdleConnections(id string) {
	tr.loop.Do(func() {
		if srv := tr.servers[id]; srv != nil {
			tr.closeIdle(srv)
		}
	})
}

func (tr *transport) closeIdle(srv *server) {
	for len(srv.idle) > 0 {
		tr.closeConn(srv.idle[len(srv.idle)-1])
	}
}

// cancelRequest ends the attempt of a request whose client has disconnected.
func (tr *transport) cancelRequest(r *proxyRequest) {
	tr.loop.Do(func() {
		if ua := tr.byRequest[r]; ua != nil {
			tr.end(ua, dispatcher.Cancelled)
		}
	})
	if r.transfer != nil {
		r.transfer.stop()
	}
}

// start sends an attempt on an idle connection, or dials one.
func (tr *transport) start(ua *upstreamAttempt) {
	srv := ua.server
	for n := len(srv.idle); n > 0; n = len(srv.idle) {
		sc := srv.idle[n-1]
		srv.idle = srv.idle[:n-1]
		if sc.isQuiet() {
			sc.send(ua)
			return
		}
		tr.closeConn(sc)
	}
	if !tr.proxy.opt.Budget.Acquire() {
		tr.proxy.opt.Budget.Release()
		tr.end(ua, dispatcher.NotSent)
		return
	}
	srv.dialing[ua] = struct{}{}
	p := http1.NewParser(http1.Response)
	p.KeepTrailer = true
	sc := &serverConn{transport: tr, attempt: ua, server: srv, parser: p}
	tr.loop.Dial(srv.addr, srv.connectTimeout, sc, func(error) {
		tr.proxy.opt.Budget.Release()
		tr.end(ua, dispatcher.ConnectFailed)
	})
}

// end ends an attempt. Unless its response is complete, its connection ends too.
func (tr *transport) end(ua *upstreamAttempt, o dispatcher.Outcome) {
	if ua.done {
		return
	}
	ua.done = true
	if ua.server != nil {
		delete(ua.server.dialing, ua)
	}
	if tr.byRequest[ua.request] == ua {
		delete(tr.byRequest, ua.request)
	}
	if sc := ua.conn; sc != nil && !sc.closed && !sc.complete {
		tr.closeConn(sc)
	}
	tr.report(ua, o)
}

// report reports the outcome of an attempt to the planner, once.
func (tr *transport) report(ua *upstreamAttempt, o dispatcher.Outcome) {
	if ua.reported {
		return
	}
	ua.reported = true
	delete(tr.attempts, ua.attempt)
	if cause := retryCauses[o]; cause != "" {
		ua.request.recordCause(cause)
	}
	ua.attempt.Planner.AttemptEnded(ua.attempt, o, nil, nil)
}

func (tr *transport) closeConn(sc *serverConn) {
	if sc.closed {
		return
	}
	sc.closed = true
	sc.server.forget(sc)
	tr.loop.Close(sc.loopConn)
}

// forget takes a connection out of the idle ones.
func (srv *server) forget(sc *serverConn) {
	for i := range srv.idle {
		if srv.idle[i] == sc {
			srv.idle = append(srv.idle[:i], srv.idle[i+1:]...)
			return
		}
	}
}

// closeIdleConns closes connections that are idle for too long, until the context ends.
func (tr *transport) closeIdleConns(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			tr.loop.Do(func() {
				last := time.Now().Add(-idleConnTimeout)
				for _, srv := range tr.servers {
					for len(srv.idle) > 0 && srv.idle[0].idleSince.Before(last) {
						tr.closeConn(srv.idle[0])
					}
				}
			})
		case <-ctx.Done():
			return
		}
	}
}
