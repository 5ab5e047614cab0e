// Package reverseproxy is a plain HTTP/1.1 reverse proxy for any method, path and response, on the
// same event loops, Exchange and decision module as the job frontends. Rules select
// the backend of a request, the backend's pool its server, and the module decides whether and when it
// is sent. Bodies of up to 64 KiB are carried on the event loops; longer ones, and tunnels,
// by goroutines that read no faster than they write.
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
	"sedgevale/internal/dispatch"
	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/evloop"
	"sedgevale/internal/fdlimit"
	"sedgevale/internal/httpd"
	"sedgevale/internal/pool"
	"sedgevale/internal/route"
	"sedgevale/internal/taskgroup"
)

// Options configure a Proxy.
type Options struct {
	Config *dispatchconfig.Web
	Loops  int              // event loops of each listener
	Loop   *evloop.Loop     // for connections to servers
	Clock  dispatch.Clock   // of the planner and the pools
	Seed   uint64           // of the planner's random draws
	Budget *fdlimit.Limiter // of descriptors
	Log    *slog.Logger
}

// Proxy is a reverse proxy with all its frontends and backends.
type Proxy struct {
	opt         Options
	planners    *dispatch.Set
	transport   *transport
	servers     []*httpd.Server
	nextRequest atomic.Uint64    // number of the last request
	goroutines  *taskgroup.Group // they end with Run

	active atomic.Pointer[activeConfig]

	// mu serialises changes of the configuration and guards the fields below. Requests do not take it.
	mu     sync.Mutex
	kinds  map[string]int   // by worker id; a number is never given to another worker
	checks *taskgroup.Group // the health checks of the active configuration; nil: Run was not called yet
}

// activeConfig is the configuration that new requests follow. It is immutable and replaced as a whole by a reload, but for its
// backends, which a reload keeps where their names stay.
type activeConfig struct {
	web       *dispatchconfig.Web
	frontends map[string]*frontend // by name
	backends  map[string]*backend  // by name
}

type frontend struct {
	spec  dispatchconfig.WebFrontend
	rules *route.Rules
}

// backend is kept when the configuration is reloaded, since it counts the requests in flight.
type backend struct {
	name  string
	proxy *Proxy

	// mu guards the fields below.
	mu            sync.Mutex
	spec          dispatchconfig.WebBackend
	rules         *route.Rules
	pool          *pool.Pool          // nil: no servers
	hash          *route.Format       // nil: requests are not hashed
	safeClasses   []*dispatcher.Class // by member, for requests that may be retried
	unsafeClasses []*dispatcher.Class // by member, for others
	unhealthy     map[string]bool     // by server: its checks fail
	cordoned      map[string]bool     // by server: an operator has cordoned it
	avoidUntil    []time.Duration     // by member, on Clock: a connection failed, so others are preferred
	timerArmed    bool                // for the queue's next time-out
}

// connectFailureBackoff is how long a server is avoided after a connection to it has failed.
const connectFailureBackoff = time.Second

// New returns a Proxy that does not serve yet. The error is about the configuration.
func New(o Options) (*Proxy, error) {
	p := &Proxy{opt: o, kinds: map[string]int{}, goroutines: taskgroup.New(context.Background())}
	p.transport = newTransport(p)
	active, err := p.build(o.Config)
	if err != nil {
		return nil, err
	}
	planner, err := dispatch.NewPlanner(p.moduleSettings(active), o.Seed, o.Clock, p.transport, func() {}, o.Log)
	if err != nil {
		return nil, err
	}
	p.planners = dispatch.NewSet(planner)
	p.install(active)
	for _, f := range o.Config.Frontends {
		timeout := dispatchconfig.Seconds(f.RequestTimeout)
		if f.RequestTimeout == 0 {
			timeout = defaultRequestTimeout
		}
		limits := httpd.Limits{FirstByte: timeout, FirstRequest: timeout, Request: timeout, Idle: dispatchconfig.Seconds(f.IdleTimeout)}
		for _, addr := range f.Listen {
			p.servers = append(p.servers, httpd.NewLimited(addr, o.Loops, &frontendHandler{p, f.Name}, limits, o.Budget, o.Log))
		}
	}
	return p, nil
}

// defaultRequestTimeout is how long a request's head, and a body that is carried on the event loop,
// may take to arrive, where the frontend's request_timeout is 0.
const defaultRequestTimeout = 10 * time.Second

// Servers returns the listeners. The caller starts and stops them.
func (p *Proxy) Servers() []*httpd.Server { return p.servers }

// Run plans requests, checks servers and closes idle connections until the context ends. It is
// called once.
func (p *Proxy) Run(ctx context.Context) {
	p.mu.Lock()
	p.startChecks()
	p.mu.Unlock()
	p.goroutines.Go(p.transport.closeIdleConns)
	p.planners.Run(ctx)
	p.goroutines.Shutdown()
}

// Open returns the number of requests that wait for the head of a response.
func (p *Proxy) Open(ctx context.Context) (int, error) { return p.planners.CountOpen(ctx) }

// Ping returns nil once the planner's goroutine has run, or the error of the context.
func (p *Proxy) Ping(ctx context.Context) error { return p.planners.Ping(ctx) }

// Reload replaces frontends and backends. Requests in flight go on by the old ones; servers that stay
// keep their state. Changed addresses to listen on take effect at the next start only: the names of
// their settings are returned. An error changes nothing.
func (p *Proxy) Reload(w *dispatchconfig.Web) (waits []string, err error) {
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
			waits = append(waits, "web.frontends."+f.Name+".listen")
		}
	}
	return waits, nil
}

// build compiles a configuration. It changes nothing that is in use.
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

// buildBackend compiles a backend: its rules, its pool and, for each server, the module's classes
// of requests that may and may not be sent again.
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
		once := class
		once.Name, once.Idempotency = id+"!", dispatcher.NotIdempotent
		b.safeClasses, b.unsafeClasses = append(b.safeClasses, &class), append(b.unsafeClasses, &once)
	}
	b.avoidUntil = make([]time.Duration, len(spec.Servers))
	return b, nil
}

// id returns the worker id of a server, BACKEND/SERVER.
func (b *backend) id(server string) string { return b.name + "/" + server }

// moduleSettings returns the decision module's settings: a class for each server, since the pool
// picks the server, and one attempt for each request, since after a failure the pool picks again.
func (p *Proxy) moduleSettings(active *activeConfig) dispatcher.Settings {
	set := dispatcher.Settings{MaxAttempts: 1, AllowCancel: true, Dispatchers: 1}
	for _, b := range active.web.Backends {
		for i := range active.backends[b.Name].safeClasses {
			set.Classes = append(set.Classes, *active.backends[b.Name].safeClasses[i], *active.backends[b.Name].unsafeClasses[i])
		}
	}
	if len(set.Classes) == 0 { // no backend has servers; the module requires a class
		set.Classes = []dispatcher.Class{{Name: "-", LatencyTarget: time.Second, ClientTimeout: time.Second, Kinds: []int{}}}
	}
	return set
}

// install activates a configuration. Backends that existed before continue with their new settings.
func (p *Proxy) install(active *activeConfig) {
	old := p.active.Load()
	for name, b := range active.backends {
		if old == nil || old.backends[name] == nil {
			continue
		}
		was := old.backends[name]
		for _, c := range was.replace(b) {
			c.(*proxyRequest).noServer()
		}
		active.backends[name] = was
		was.applyStates()
	}
	p.active.Store(active)
	p.publish(active)
}

// replace gives a backend the settings of another one, which is not in use yet. It returns the
// requests that were queued and for which the new queue has no capacity; the others stay queued.
func (b *backend) replace(by *backend) (rejected []any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pool != nil {
		if by.pool != nil {
			by.pool.InheritState(b.pool)
		}
		for _, c := range b.pool.Drain() {
			if by.pool == nil || !by.pool.Enqueue(b.proxy.opt.Clock.Now(), c, c.(*proxyRequest).hint) {
				rejected = append(rejected, c)
			}
		}
	}
	b.spec, b.rules, b.pool, b.hash, b.safeClasses, b.unsafeClasses, b.avoidUntil = by.spec, by.rules, by.pool, by.hash, by.safeClasses, by.unsafeClasses, by.avoidUntil
	return rejected
}

// publish gives planner and transport the complete list of servers and their states.
func (p *Proxy) publish(active *activeConfig) {
	var entries []dispatcher.WorkerInfo
	var members []serverInfo
	for _, b := range active.web.Backends {
		be := active.backends[b.Name]
		connect, _ := b.Timeouts()
		be.mu.Lock()
		for i, m := range b.Servers {
			id := be.id(m.Name)
			state, _ := be.pool.State(i)
			entries = append(entries, dispatcher.WorkerInfo{Worker: id, Kind: p.kinds[id], State: workerState(state)})
			members = append(members, serverInfo{id, m.Addr, connect, state == pool.Up || state == pool.Draining})
		}
		be.mu.Unlock()
	}
	p.transport.update(true, members)
	p.planners.WorkersUpdated(dispatcher.UpdateFull, entries)
}

// portOf returns the port of a TCP address, 0 of another.
func portOf(a net.Addr) int {
	if t, ok := a.(*net.TCPAddr); ok {
		return t.Port
	}
	return 0
}

// requestID returns the id of the next request.
func (p *Proxy) requestID() string {
	return "web-" + strconv.FormatUint(p.nextRequest.Add(1), 36)
}

// retryAfter returns the value of Retry-After for a 503, in seconds; "": there is none.
func (b *backend) retryAfter() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spec.RetryAfter <= 0 {
		return ""
	}
	return strconv.FormatFloat(b.spec.RetryAfter, 'f', -1, 64)
}

// hopByHop reports whether a header field is meant for one connection and not forwarded (RFC 9110, section 7.6.1).
func hopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "te", "transfer-encoding", "upgrade", "trailer":
		return true
	}
	return false
}
