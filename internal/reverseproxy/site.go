// Package reverseproxy is the third front: a plain HTTP/1.1 reverse proxy for any method, path and
// answer, on the same event loops, Exchange and decision module as the others. Routes say
// which backend a request goes to, the backend's pool which of its servers may have it,
// and the module whether and when it goes. Bodies of up to 64 KiB are carried on the event
// loops; longer ones, and tunnels, in goroutines that read no faster than they write.
package reverseproxy

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sedgevale"
	"sedgevale/internal/dispatch"
	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/evloop"
	"sedgevale/internal/fdlimit"
	"sedgevale/internal/healthcheck"
	"sedgevale/internal/httpd"
	"sedgevale/internal/pool"
	"sedgevale/internal/route"
)

// Options set a Site up.
type Options struct {
	Config *dispatchconfig.Web
	Loops  int
	Loop   *evloop.Loop
	Clock  dispatch.Clock
	Seed   uint64
	Budget *fdlimit.Budget
	Log    *slog.Logger
}

// Site is all frontends and backends.
type Site struct {
	opt      Options
	planners *dispatch.Set
	relay    *relay
	servers  []*httpd.Server
	next     atomic.Uint64 // of requests

	mu       sync.Mutex // for changes, not for requests
	tables   atomic.Pointer[tables]
	kinds    map[string]int // by worker id; never given to another
	checking context.CancelFunc
	work     context.Context
}

// tables are what requests are dealt with by. They are not changed, only replaced.
type tables struct {
	web       *dispatchconfig.Web
	frontends map[string]*frontend
	backends  map[string]*backend
}

type frontend struct {
	spec  dispatchconfig.WebFrontend
	rules *route.Rules
}

// backend lives on over new settings, since requests under way are counted in it.
type backend struct {
	name string
	site *Site

	mu     sync.Mutex
	spec   dispatchconfig.WebBackend
	rules  *route.Rules
	pool   *pool.Pool
	hash   *route.Format
	safe   []*sedgevale.Class // by member, for requests that may be sent again
	unsafe []*sedgevale.Class
	sick   map[string]bool // by server: its checks fail
	out    map[string]bool // an operator has taken it out
	shun   []time.Duration // by member: since its connections fail, it is sent others' turns until then
	timer  bool            // of the queue
}

// shunFor is how long a server whose connection failed gets nothing while others serve.
const shunFor = time.Second

// New returns a Site that does not serve yet.
func New(o Options) (*Site, error) {
	s := &Site{opt: o, kinds: map[string]int{}}
	s.relay = newRelay(s)
	t, err := s.build(o.Config)
	if err != nil {
		return nil, err
	}
	p, err := dispatch.NewPlanner(s.settings(t), o.Seed, o.Clock, s.relay, func() {}, o.Log)
	if err != nil {
		return nil, err
	}
	s.planners = dispatch.NewSet(p)
	s.install(t)
	for _, f := range o.Config.Frontends {
		limits := httpd.Limits{First: dispatchconfig.Seconds(f.RequestTimeout), Slow: dispatchconfig.Seconds(f.RequestTimeout),
			Read: dispatchconfig.Seconds(f.RequestTimeout), Idle: dispatchconfig.Seconds(f.IdleTimeout)}
		if f.RequestTimeout == 0 {
			limits.First, limits.Slow, limits.Read = requestWait, requestWait, requestWait
		}
		for _, addr := range f.Listen {
			s.servers = append(s.servers, httpd.NewLimited(addr, o.Loops, &door{s, f.Name}, limits, o.Budget, o.Log))
		}
	}
	return s, nil
}

// requestWait is how long a request's head, and a body that is carried on the event loop,
// may take to come, where the frontend does not say.
const requestWait = 10 * time.Second

// Servers are what listens, for who starts and stops them.
func (s *Site) Servers() []*httpd.Server { return s.servers }

// Run works until the context ends.
func (s *Site) Run(ctx context.Context) {
	s.mu.Lock()
	s.work = ctx
	s.check()
	s.mu.Unlock()
	go s.relay.sweep(ctx)
	s.planners.Run(ctx)
}

// Open returns how many requests wait for the head of an answer.
func (s *Site) Open(ctx context.Context) (int, error) { return s.planners.Open(ctx) }

// Alive returns once the planner has had a turn.
func (s *Site) Alive(ctx context.Context) error { return s.planners.Alive(ctx) }

// Reload goes on by other frontends and backends. Requests under way go on by the old
// ones; servers that stay keep their state. New addresses to listen on wait for a new
// start; they are returned. An error changes nothing.
func (s *Site) Reload(w *dispatchconfig.Web) (waits []string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, err := s.build(w)
	if err != nil {
		return nil, err
	}
	s.planners.Retune(s.settings(t))
	s.install(t)
	s.check()
	old := s.opt.Config
	for _, f := range w.Frontends {
		i := slices.IndexFunc(old.Frontends, func(o dispatchconfig.WebFrontend) bool { return o.Name == f.Name })
		if i < 0 || !slices.Equal(old.Frontends[i].Listen, f.Listen) {
			waits = append(waits, "web.frontends."+f.Name+".listen")
		}
	}
	return waits, nil
}

// build compiles a configuration. It changes nothing that is in use.
func (s *Site) build(w *dispatchconfig.Web) (*tables, error) {
	if err := w.Check(); err != nil {
		return nil, err
	}
	t := &tables{web: w, frontends: map[string]*frontend{}, backends: map[string]*backend{}}
	for _, f := range w.Frontends {
		rules, err := route.Compile(f.Spec, w.Files)
		if err != nil {
			return nil, err
		}
		t.frontends[f.Name] = &frontend{f, rules}
	}
	for _, spec := range w.Backends {
		b := &backend{name: spec.Name, site: s, spec: spec, sick: map[string]bool{}, out: map[string]bool{}}
		var err error
		if b.rules, err = route.Compile(spec.Spec, w.Files); err != nil {
			return nil, err
		}
		if spec.HashOn != "" {
			if b.hash, err = route.ParseFormat("%["+spec.HashOn+"]", w.Files); err != nil {
				return nil, err
			}
		}
		if len(spec.Servers) > 0 {
			if b.pool, err = pool.New(spec.Pool()); err != nil {
				return nil, err
			}
		}
		connect, server := spec.Times()
		limit := connect + server
		for _, m := range spec.Servers {
			id := b.id(m.Name)
			kind, ok := s.kinds[id]
			if !ok {
				kind = len(s.kinds)
				s.kinds[id] = kind
			}
			class := sedgevale.Class{Name: id, Effect: sedgevale.Safe, Aim: limit, Limit: limit, LateShare: 1, Kinds: []int{kind}}
			once := class
			once.Name, once.Effect = id+"!", sedgevale.Unsafe
			b.safe, b.unsafe = append(b.safe, &class), append(b.unsafe, &once)
		}
		b.shun = make([]time.Duration, len(spec.Servers))
		t.backends[spec.Name] = b
	}
	return t, nil
}

func (b *backend) id(server string) string { return b.name + "/" + server }

// settings are the module's: a class for each server, since the pool says whose turn it
// is, and one attempt for each request, since after a failure the pool says who is next.
func (s *Site) settings(t *tables) sedgevale.Settings {
	set := sedgevale.Settings{MaxAttempts: 1, MayCancel: true, Peers: 1}
	for _, b := range t.web.Backends {
		for i := range t.backends[b.Name].safe {
			set.Classes = append(set.Classes, *t.backends[b.Name].safe[i], *t.backends[b.Name].unsafe[i])
		}
	}
	if len(set.Classes) == 0 { // no backend has servers; the module wants one class all the same
		set.Classes = []sedgevale.Class{{Name: "-", Aim: time.Second, Limit: time.Second, Kinds: []int{}}}
	}
	return set
}

// install puts tables in force. Backends that stay take the new settings over.
func (s *Site) install(t *tables) {
	old := s.tables.Load()
	for name, b := range t.backends {
		if old == nil || old.backends[name] == nil {
			continue
		}
		was := old.backends[name]
		was.mu.Lock()
		if b.pool != nil && was.pool != nil {
			b.pool.Adopt(was.pool)
		}
		var lost []any
		if was.pool != nil { // who waits goes on waiting, in the new pool
			for _, c := range was.pool.Drain() {
				if b.pool == nil || !b.pool.Queue(s.opt.Clock.Now(), c, c.(*call).hint) {
					lost = append(lost, c)
				}
			}
		}
		was.spec, was.rules, was.pool, was.hash, was.safe, was.unsafe, was.shun = b.spec, b.rules, b.pool, b.hash, b.safe, b.unsafe, b.shun
		was.mu.Unlock()
		for _, c := range lost {
			c.(*call).nobody()
		}
		t.backends[name] = was
		was.adopt()
	}
	s.tables.Store(t)
	s.list(t)
}

// list tells planner and relay all servers, as they stand.
func (s *Site) list(t *tables) {
	var entries []sedgevale.WorkerInfo
	var members []member
	for _, b := range t.web.Backends {
		be := t.backends[b.Name]
		connect, _ := b.Times()
		be.mu.Lock()
		for i, m := range b.Servers {
			id := be.id(m.Name)
			state, _ := be.pool.State(i)
			entries = append(entries, sedgevale.WorkerInfo{Worker: id, Kind: s.kinds[id], State: stateOf(state)})
			members = append(members, member{id, m.Addr, connect, state == pool.Up || state == pool.Draining})
		}
		be.mu.Unlock()
	}
	s.relay.members(true, members)
	s.planners.Members(sedgevale.ListWhole, entries)
}

// adopt has a new pool's members stand as checks and operators say; the list that is told
// next has them so.
func (b *backend) adopt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, m := range b.spec.Servers {
		switch {
		case m.Disabled || b.out[m.Name]:
			b.pool.Set(i, pool.Maintenance, b.site.opt.Clock.Now())
		case b.sick[m.Name] && !m.NoCheck:
			b.pool.Set(i, pool.Down, b.site.opt.Clock.Now())
		}
	}
}

// stateOf is a member's state as the module knows it. What is tied to a draining server
// still goes there, so only one that is down or in maintenance has left the pick.
func stateOf(p pool.State) sedgevale.WorkerState {
	if p == pool.Up || p == pool.Draining {
		return sedgevale.Active
	}
	return sedgevale.Leaving
}

// check starts the health checks of the tables in force. The lock is held.
func (s *Site) check() {
	if s.work == nil {
		return
	}
	if s.checking != nil {
		s.checking()
	}
	ctx, stop := context.WithCancel(s.work)
	s.checking = stop
	var all []healthcheck.Check
	t := s.tables.Load()
	for _, spec := range t.web.Backends {
		b := t.backends[spec.Name]
		for i := range spec.Servers {
			m := &spec.Servers[i]
			c, addr, ok, err := spec.CheckOf(m)
			if !ok || err != nil || m.Disabled {
				continue
			}
			b.mu.Lock()
			down := b.sick[m.Name]
			b.mu.Unlock()
			followers := t.tracking(b.id(m.Name))
			all = append(all, healthcheck.Check{Name: b.id(m.Name), Addr: addr, Spec: c, Down: down, Tell: func(up bool, _ string) {
				if ctx.Err() == nil {
					b.set(m.Name, up)
					for _, f := range followers {
						f.backend.set(f.server, up)
					}
				}
			}})
		}
	}
	go healthcheck.NewDriver(s.opt.Log).Run(ctx, all)
}

type follower struct {
	backend *backend
	server  string
}

func (t *tables) tracking(id string) (out []follower) {
	for _, spec := range t.web.Backends {
		for _, m := range spec.Servers {
			if m.Track == id {
				out = append(out, follower{t.backends[spec.Name], m.Name})
			}
		}
	}
	return out
}

// set takes in that a server serves or does not: the module and the carrier hear of it as
// of a drain and a return.
func (b *backend) set(server string, up bool) {
	b.mu.Lock()
	i := -1
	if b.pool != nil {
		i = b.pool.Index(server)
	}
	if i < 0 {
		b.mu.Unlock()
		return
	}
	b.sick[server] = !up
	b.shun[i] = 0
	b.settle(i)
}

// settle has pool, carrier and module know how a server stands. It gives the lock back.
func (b *backend) settle(i int) {
	s := b.site
	m := &b.spec.Servers[i]
	to := pool.Up
	switch {
	case m.Disabled || b.out[m.Name]:
		to = pool.Maintenance
	case b.sick[m.Name]:
		to = pool.Down
	}
	if was, _ := b.pool.State(i); was != to {
		b.pool.Set(i, to, s.opt.Clock.Now())
	}
	connect, _ := b.spec.Times()
	id, addr := b.id(m.Name), m.Addr
	b.mu.Unlock()
	s.relay.members(false, []member{{id, addr, connect, to == pool.Up}})
	s.planners.Members(sedgevale.ListPatch, []sedgevale.WorkerInfo{{Worker: id, Kind: s.kind(id), State: stateOf(to)}})
	b.advance()
}

// Cordon takes a server, BACKEND/SERVER, out or puts it back, and reports whether it is
// one of the site's. What is under way there goes on to its end.
func (s *Site) Cordon(host string, out bool) (known bool) {
	name, server, _ := strings.Cut(host, "/")
	b := s.tables.Load().backends[name]
	if b == nil {
		return false
	}
	b.mu.Lock()
	i := -1
	if b.pool != nil {
		i = b.pool.Index(server)
	}
	if i < 0 {
		b.mu.Unlock()
		return false
	}
	b.out[server] = out
	b.settle(i)
	return true
}

func (s *Site) kind(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kinds[id]
}

// alive returns how many servers of a backend serve.
func (s *Site) alive(name string) int {
	b := s.tables.Load().backends[name]
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pool == nil {
		return 0
	}
	return b.pool.Serving()
}

// Status is how a server stands, for operators.
type Status struct {
	Server string `json:"server"`
	Addr   string `json:"addr"`
	State  string `json:"state"`
	Busy   int    `json:"busy"`
}

// Status returns how all servers stand.
func (s *Site) Status() (out []Status) {
	t := s.tables.Load()
	for _, spec := range t.web.Backends {
		b := t.backends[spec.Name]
		b.mu.Lock()
		for i, m := range b.spec.Servers {
			state, busy := b.pool.State(i)
			out = append(out, Status{b.id(m.Name), m.Addr, state.String(), busy})
		}
		b.mu.Unlock()
	}
	return out
}

func portOf(a net.Addr) int {
	if t, ok := a.(*net.TCPAddr); ok {
		return t.Port
	}
	return 0
}

func (s *Site) requestID() string {
	return "web-" + strconv.FormatUint(s.next.Add(1), 36)
}

// retryAfter returns what a 503 says, "" for nothing.
func (b *backend) retryAfter() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spec.RetryAfter <= 0 {
		return ""
	}
	return strconv.FormatFloat(b.spec.RetryAfter, 'f', -1, 64)
}

func (b *backend) String() string { return fmt.Sprintf("backend %s", b.name) }

// hopByHop are fields that are for one connection alone (RFC 9110, section 7.6.1).
func hopByHop(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "te", "transfer-encoding", "upgrade", "trailer":
		return true
	}
	return false
}
