// Package reverseproxy implements a general-purpose HTTP/1.1 reverse proxy. It shares the event loops,
// dispatchdriver.Exchange and the decision module with the job frontends. Routing rules select the backend of a request,
// the backend's pool selects the server, and the decision module decides whether and when the request is sent.
// Event loops forward request bodies of up to 64 KiB (httpd.MaxBody) and response bodies of up to 256 KiB
// (maxBufferedBody); goroutines forward longer bodies and tunnels, reading no faster than they can write.
package reverseproxy

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sedgevale/dispatcher"
	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/dispatchdriver"
	"sedgevale/internal/evloop"
	"sedgevale/internal/fdlimit"
	"sedgevale/internal/httpd"
	"sedgevale/internal/pool"
	"sedgevale/internal/route"
	"sedgevale/internal/taskgroup"
)

// Options configures a Proxy.
type Options struct {
	Config *dispatchconfig.Web
	Loops  int                  // number of event loops for each listener
	Loop   *evloop.Loop         // event loop for connections to servers
	Clock  dispatchdriver.Clock // clock of the planner and the pools
	Seed   uint64               // seed of the planner's random number generator
	Budget *fdlimit.Limiter     // limiter of open file descriptors
	Quota  *httpd.Quota         // bounds the memory for clients; nil for no bound
	Log    *slog.Logger
}

// Proxy is a reverse proxy with all its frontends and backends.
type Proxy struct {
	opt         Options
	planners    *dispatchdriver.Set
	transport   *transport
	servers     []*httpd.Server
	nextRequest atomic.Uint64    // sequence number of the last request
	goroutines  *taskgroup.Group // goroutines that Run stops and waits for

	active atomic.Pointer[activeConfig]

	// mu serializes configuration changes and guards the fields below. Request handling does not acquire it.
	mu     sync.Mutex
	kinds  map[string]int   // kind number by worker id; numbers are never reused for another worker
	checks *taskgroup.Group // health checks of the active configuration; nil before Run
}

// activeConfig is the configuration that applies to new requests. It is immutable, and a reload replaces it as a whole,
// except that a backend whose name still exists is kept.
type activeConfig struct {
	web       *dispatchconfig.Web
	frontends map[string]*frontend // by name
	backends  map[string]*backend  // by name
}

type frontend struct {
	spec  dispatchconfig.WebFrontend
	rules *route.Rules
}

// backend is a group of servers with their pool. It survives a reload because it counts the requests in flight.
type backend struct {
	name  string
	proxy *Proxy

	// mu guards the fields below.
	mu                   sync.Mutex
	spec                 dispatchconfig.WebBackend
	rules                *route.Rules
	pool                 *pool.Pool          // nil if the backend has no servers
	hash                 *route.Format       // format of the hash key; nil if requests are not hashed
	idempotentClasses    []*dispatcher.Class // classes of requests that may be retried, by server index
	nonIdempotentClasses []*dispatcher.Class // classes of all other requests, by server index
	unhealthy            map[string]bool     // servers whose health checks fail, by name
	cordoned             map[string]bool     // servers that an operator has cordoned, by name
	avoidUntil           []time.Duration     // Clock time until which other servers are preferred after a connect failure, by server index
	timerArmed           bool                // whether a timer for the queue's next deadline is running
}

// connectFailureBackoff is how long a server is avoided after a failed attempt to connect to it.
const connectFailureBackoff = time.Second

// New returns a Proxy that is not serving yet. It fails if the configuration is invalid.
func New(o Options) (*Proxy, error) {
	p := &Proxy{opt: o, kinds: map[string]int{}, goroutines: taskgroup.New(context.Background())}
	p.transport = newTransport(p)
	active, err := p.build(o.Config)
	if err != nil {
		return nil, err
	}
	planner, err := dispatchdriver.NewPlanner(p.moduleSettings(active), o.Seed, o.Clock, p.transport, func() {}, o.Log)
	if err != nil {
		return nil, err
	}
	p.planners = dispatchdriver.NewSet(planner)
	p.install(active)
	for _, f := range o.Config.Frontends {
		timeout := dispatchconfig.Seconds(f.RequestTimeout)
		if f.RequestTimeout == 0 {
			timeout = defaultRequestTimeout
		}
		limits := httpd.Limits{FirstByte: timeout, FirstRequest: timeout, Request: timeout, Idle: dispatchconfig.Seconds(f.IdleTimeout)}
		for _, addr := range f.Listen {
			server := httpd.NewWithLimits(addr, o.Loops, &frontendHandler{p, f.Name}, limits, o.Budget, o.Log)
			server.SetQuota(o.Quota)
			p.servers = append(p.servers, server)
		}
	}
	return p, nil
}

// defaultRequestTimeout limits how long a client may take to send a request head, and a body that is read on the
// event loop, if the frontend's request_timeout is 0.
const defaultRequestTimeout = 10 * time.Second

// Servers returns the HTTP servers of all frontends, which the caller starts and stops.
func (p *Proxy) Servers() []*httpd.Server { return p.servers }

// Run dispatches requests, runs health checks and closes idle connections until ctx is done. It must be called at
// most once.
func (p *Proxy) Run(ctx context.Context) {
	p.mu.Lock()
	p.startChecks()
	p.mu.Unlock()
	p.goroutines.Go(p.transport.closeIdleConns)
	p.planners.Run(ctx)
	p.goroutines.Shutdown()
}

// Open returns the number of requests that are waiting for a response head.
func (p *Proxy) Open(ctx context.Context) (int, error) { return p.planners.CountOpen(ctx) }

// Ping returns nil once the planner's goroutine has responded, or the error of ctx.
func (p *Proxy) Ping(ctx context.Context) error { return p.planners.Ping(ctx) }

// Reload replaces the frontends and backends. Requests in flight keep their configuration, and servers that still exist
// keep their state. Changed listen addresses only take effect after a restart; Reload returns the names of these
// settings. If Reload fails, the active configuration is unchanged.
func (p *Proxy) Reload(w *dispatchconfig.Web) (needRestart []string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	active, err := p.build(w)
	if err != nil {
		return nil, err
	}
	p.planners.UpdateSettings(p.moduleSettings(active))
	p.install(active)
	if p.checks != nil {
		p.startChecks()
	}
	old := p.opt.Config
	for _, f := range w.Frontends {
		i := slices.IndexFunc(old.Frontends, func(o dispatchconfig.WebFrontend) bool { return o.Name == f.Name })
		if i < 0 || !slices.Equal(old.Frontends[i].Listen, f.Listen) {
			needRestart = append(needRestart, "web.frontends."+f.Name+".listen")
		}
	}
	return needRestart, nil
}

// build compiles a configuration without changing the active one.
func (p *Proxy) build(w *dispatchconfig.Web) (*activeConfig, error) {
	if err := w.Check(); err != nil {
		return nil, err
	}
	active := &activeConfig{web: w, frontends: map[string]*frontend{}, backends: map[string]*backend{}}
	for _, f := range w.Frontends {
		rules, err := route.Compile(f.Spec, w.ReadFile)
		if err != nil {
			return nil, err
		}
		active.frontends[f.Name] = &frontend{f, rules}
	}
	for _, spec := range w.Backends {
		b, err := p.buildBackend(w, spec)
		if err != nil {
			return nil, err
		}
		active.backends[spec.Name] = b
	}
	return active, nil
}

// buildBackend compiles a backend: its rules, its pool and, for each server, the decision module's classes
// of idempotent and of other requests.
func (p *Proxy) buildBackend(w *dispatchconfig.Web, spec dispatchconfig.WebBackend) (b *backend, err error) {
	b = &backend{name: spec.Name, proxy: p, spec: spec, unhealthy: map[string]bool{}, cordoned: map[string]bool{}}
	if b.rules, err = route.Compile(spec.Spec, w.ReadFile); err != nil {
		return nil, err
	}
	if spec.HashOn != "" {
		if b.hash, err = route.ParseFormat("%["+spec.HashOn+"]", w.ReadFile); err != nil {
			return nil, err
		}
	}
	if len(spec.Servers) > 0 {
		if b.pool, err = pool.New(spec.PoolOptions()); err != nil {
			return nil, err
		}
	}
	connect, server := spec.Timeouts()
	limit := connect + server
	for _, m := range spec.Servers {
		id := b.id(m.Name)
		kind, ok := p.kinds[id]
		if !ok {
			kind = len(p.kinds)
			p.kinds[id] = kind
		}
		class := dispatcher.Class{Name: id, Idempotency: dispatcher.Idempotent, LatencyTarget: limit, ClientTimeout: limit, LateValue: 1, Kinds: []int{kind}}
		nonIdempotent := class
		nonIdempotent.Name, nonIdempotent.Idempotency = id+"!", dispatcher.NotIdempotent
		b.idempotentClasses, b.nonIdempotentClasses = append(b.idempotentClasses, &class), append(b.nonIdempotentClasses, &nonIdempotent)
	}
	b.avoidUntil = make([]time.Duration, len(spec.Servers))
	return b, nil
}

// id returns the worker id of a server, BACKEND/SERVER.
func (b *backend) id(server string) string { return b.name + "/" + server }

// moduleSettings returns the decision module's settings. Each server has its own classes because the pool, not the
// module, selects the server. Each exchange has a single attempt because the pool selects again after a failure.
func (p *Proxy) moduleSettings(active *activeConfig) dispatcher.Settings {
	set := dispatcher.Settings{MaxAttempts: 1, AllowCancel: true, Dispatchers: 1}
	for _, b := range active.web.Backends {
		for i := range active.backends[b.Name].idempotentClasses {
			set.Classes = append(set.Classes, *active.backends[b.Name].idempotentClasses[i], *active.backends[b.Name].nonIdempotentClasses[i])
		}
	}
	if len(set.Classes) == 0 { // no backend has servers, but the module requires at least one class
		set.Classes = []dispatcher.Class{{Name: "-", LatencyTarget: time.Second, ClientTimeout: time.Second, Kinds: []int{}}}
	}
	return set
}

// install activates a configuration. Backends that already existed take over their new settings.
func (p *Proxy) install(active *activeConfig) {
	old := p.active.Load()
	for name, b := range active.backends {
		if old == nil || old.backends[name] == nil {
			continue
		}
		existing := old.backends[name]
		for _, r := range existing.replace(b) {
			r.(*proxyRequest).replyNoServer()
		}
		active.backends[name] = existing
		existing.applyStates()
	}
	p.active.Store(active)
	p.publish(active)
}

// replace applies the settings of next, a newly built backend that is not in use yet. It moves queued requests to the
// new queue and returns those for which it has no room.
func (b *backend) replace(next *backend) (rejected []any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pool != nil {
		if next.pool != nil {
			next.pool.InheritState(b.pool)
		}
		for _, r := range b.pool.Drain() {
			if next.pool == nil || !next.pool.Enqueue(b.proxy.opt.Clock.Now(), r, r.(*proxyRequest).hint) {
				rejected = append(rejected, r)
			}
		}
	}
	b.spec, b.rules, b.pool, b.hash, b.idempotentClasses, b.nonIdempotentClasses, b.avoidUntil = next.spec, next.rules, next.pool, next.hash, next.idempotentClasses, next.nonIdempotentClasses, next.avoidUntil
	return rejected
}

// publish passes the complete list of servers and their states to the planner and the transport.
func (p *Proxy) publish(active *activeConfig) {
	var workers []dispatcher.WorkerInfo
	var servers []serverInfo
	for _, b := range active.web.Backends {
		be := active.backends[b.Name]
		connect, _ := b.Timeouts()
		be.mu.Lock()
		for i, m := range b.Servers {
			id := be.id(m.Name)
			state, _ := be.pool.State(i)
			workers = append(workers, dispatcher.WorkerInfo{Name: id, Kind: p.kinds[id], State: workerState(state)})
			servers = append(servers, serverInfo{id, m.Addr, connect, state == pool.Up || state == pool.Draining})
		}
		be.mu.Unlock()
	}
	p.transport.update(true, servers)
	p.planners.WorkersUpdated(dispatcher.UpdateFull, workers)
}

// portOf returns the port of a TCP address, or 0 for any other address.
func portOf(a net.Addr) int {
	if t, ok := a.(*net.TCPAddr); ok {
		return t.Port
	}
	return 0
}

// requestID returns a new request id.
func (p *Proxy) requestID() string {
	return "web-" + strconv.FormatUint(p.nextRequest.Add(1), 36)
}

// retryAfter returns the Retry-After value of a 503 response in seconds, or "" to send none.
func (b *backend) retryAfter() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spec.RetryAfter <= 0 {
		return ""
	}
	return strconv.FormatFloat(b.spec.RetryAfter, 'f', -1, 64)
}

// hopByHop reports whether a header field applies to a single connection and must not be forwarded
// (RFC 9110, section 7.6.1).
func hopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "te", "transfer-encoding", "upgrade", "trailer":
		return true
	}
	return false
}
