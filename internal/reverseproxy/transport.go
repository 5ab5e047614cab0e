package reverseproxy

import (
	"context"
	"sync"
	"time"

	"sedgevale/dispatcher"
	"sedgevale/internal/dispatchdriver"
	"sedgevale/internal/evloop"
	"sedgevale/internal/http1"
)

const (
	idleConnTimeout = 5 * time.Second        // how long an idle connection to a server is kept
	maxIdleConns    = 256                    // idle connections for each server
	maxBufferedBody = 256 << 10              // bytes of a response body, or of its parts that the client's event loop has not written yet, above which a goroutine reads the response
	sweepInterval   = 500 * time.Millisecond // interval between checks for expired idle connections
)

// serverInfo describes a server to the transport.
type serverInfo struct {
	id, addr       string
	connectTimeout time.Duration
	ready          bool // whether requests may be sent to the server
}

// transport sends requests to servers over pooled connections. It implements dispatchdriver.Transport for the planner.
type transport struct {
	proxy *Proxy
	loop  *evloop.Loop

	// The maps below are used on the event loop only.
	servers   map[string]*server // by serverInfo.id
	attempts  map[*dispatchdriver.Attempt]*upstreamAttempt
	byRequest map[*proxyRequest]*upstreamAttempt // attempts that no transfer has taken over

	mu    sync.Mutex      // guards ready
	ready map[string]bool // copy of serverInfo.ready by id, for use outside the event loop
}

// server holds the connections to a server. It must be used on the event loop only.
type server struct {
	serverInfo
	idle    []*serverConn // idle connections, the most recently used last
	dialing map[*upstreamAttempt]struct{}
}

// upstreamAttempt is the transport's state of an attempt. It must be used on the event loop only.
type upstreamAttempt struct {
	attempt  *dispatchdriver.Attempt
	request  *proxyRequest
	server   *server     // nil if removed from the configuration
	conn     *serverConn // nil if not sent
	reported bool        // whether its outcome has been reported to the planner
	done     bool        // whether it has ended, or a transfer or tunnel has taken it over
}

func newTransport(p *Proxy) *transport {
	return &transport{proxy: p, loop: p.opt.Loop, servers: map[string]*server{}, attempts: map[*dispatchdriver.Attempt]*upstreamAttempt{},
		byRequest: map[*proxyRequest]*upstreamAttempt{}, ready: map[string]bool{}}
}

// update updates the given servers. If full is set, it also removes all others.
func (tr *transport) update(full bool, servers []serverInfo) {
	tr.mu.Lock()
	if full {
		clear(tr.ready)
	}
	for _, info := range servers {
		tr.ready[info.id] = info.ready
	}
	tr.mu.Unlock()
	tr.loop.Do(func() {
		listed := map[string]bool{}
		for _, info := range servers {
			listed[info.id] = true
			srv := tr.servers[info.id]
			if srv == nil {
				srv = &server{dialing: map[*upstreamAttempt]struct{}{}}
				tr.servers[info.id] = srv
			}
			addrChanged := srv.addr != info.addr
			if srv.serverInfo = info; addrChanged || !info.ready {
				tr.closeUnsent(srv)
			}
		}
		if full {
			for id, srv := range tr.servers {
				if !listed[id] {
					srv.ready = false
					tr.closeUnsent(srv)
					delete(tr.servers, id)
				}
			}
		}
	})
}

// isReady reports whether requests may be sent to a server. It is safe for concurrent use.
func (tr *transport) isReady(id string) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.ready[id]
}

// closeUnsent ends the attempts that are still connecting to a server and closes its idle connections.
func (tr *transport) closeUnsent(srv *server) {
	for ua := range srv.dialing {
		tr.end(ua, dispatcher.NotSent)
	}
	tr.closeIdle(srv)
}

// Send sends an attempt to its server.
func (tr *transport) Send(attempt *dispatchdriver.Attempt) {
	r := attempt.Payload.(*proxyRequest)
	tr.loop.Do(func() {
		ua := &upstreamAttempt{attempt: attempt, request: r, server: tr.servers[attempt.Worker]}
		tr.attempts[attempt] = ua
		tr.byRequest[r] = ua
		switch {
		case ua.server == nil || !ua.server.ready:
			tr.end(ua, dispatcher.NotSent)
		case r.transfer != nil:
			ua.done = true // the transfer takes the attempt over
			delete(tr.byRequest, r)
			r.transfer.attempts <- attempt
		default:
			tr.start(ua)
		}
	})
}

// Cancel cancels an attempt by closing its connection.
func (tr *transport) Cancel(attempt *dispatchdriver.Attempt) {
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

// CancelUnsent cancels an attempt unless its request has been sent or is forwarded by a transfer.
func (tr *transport) CancelUnsent(attempt *dispatchdriver.Attempt) {
	tr.loop.Do(func() {
		if ua := tr.attempts[attempt]; ua != nil && ua.conn == nil && ua.request.transfer == nil {
			tr.end(ua, dispatcher.NotSent)
		}
	})
}

// Probe immediately returns a result without a load report, because the proxy's servers do not report load.
func (tr *transport) Probe(worker string, p *dispatchdriver.Planner) { p.ProbeResult(worker, nil) }

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

// cancelRequest cancels the attempt of a request that needs no response any more, for example because the client
// has disconnected.
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

// start sends an attempt on an idle connection or dials a new one.
func (tr *transport) start(ua *upstreamAttempt) {
	srv := ua.server
	for n := len(srv.idle); n > 0; n = len(srv.idle) {
		sc := srv.idle[n-1]
		srv.idle = srv.idle[:n-1]
		if sc.isReusable() {
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

// end ends an attempt with the given outcome and closes its connection unless the response is complete.
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

// report reports the outcome of an attempt to the planner. Only the first call for an attempt has an effect.
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
	sc.server.removeIdle(sc)
	tr.loop.Close(sc.loopConn)
}

// removeIdle removes a connection from the idle list, if it is there.
func (srv *server) removeIdle(sc *serverConn) {
	for i := range srv.idle {
		if srv.idle[i] == sc {
			srv.idle = append(srv.idle[:i], srv.idle[i+1:]...)
			return
		}
	}
}

// closeIdleConns periodically closes connections that have been idle for longer than idleConnTimeout, until ctx is done.
func (tr *transport) closeIdleConns(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			tr.loop.Do(func() {
				cutoff := time.Now().Add(-idleConnTimeout)
				for _, srv := range tr.servers {
					for len(srv.idle) > 0 && srv.idle[0].idleSince.Before(cutoff) {
						tr.closeConn(srv.idle[0])
					}
				}
			})
		case <-ctx.Done():
			return
		}
	}
}
