package reverseproxy

import (
	"context"
	"strings"

	"sedgevale/dispatcher"
	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/healthcheck"
	"sedgevale/internal/pool"
	"sedgevale/internal/taskgroup"
)

// applyStates sets the states of a new pool's members from their health and cordons. The
// caller publishes the list next.
func (b *backend) applyStates() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, m := range b.spec.Servers {
		switch {
		case m.Disabled || b.cordoned[m.Name]:
			b.pool.SetState(i, pool.Maintenance, b.proxy.opt.Clock.Now())
		case b.unhealthy[m.Name] && !m.NoCheck:
			b.pool.SetState(i, pool.Down, b.proxy.opt.Clock.Now())
		}
	}
}

// workerState is a member's state as the module knows it. A draining server still gets requests by
// affinity, so only one that is down or in maintenance is not picked.
func workerState(p pool.State) dispatcher.WorkerState {
	if p == pool.Up || p == pool.Draining {
		return dispatcher.Active
	}
	return dispatcher.Draining
}

// startChecks starts the health checks of the active configuration, which end with the proxy or with the next call; Run waits
// for them. The lock is held.
func (p *Proxy) startChecks() {
	if p.checks != nil {
		p.checks.Cancel()
	}
	checks := p.goroutines.Derive()
	p.checks = checks
	var all []healthcheck.Check
	active := p.active.Load()
	for _, spec := range active.web.Backends {
		for i := range spec.Servers {
			if c, ok := active.checkOf(checks, &spec, &spec.Servers[i]); ok {
				all = append(all, c)
			}
		}
	}
	checks.Go(func(ctx context.Context) { healthcheck.NewDriver(p.opt.Log).Run(ctx, all) })
}

// checkOf returns the health check of a server, if it has one of its own.
func (active *activeConfig) checkOf(checks *taskgroup.Group, spec *dispatchconfig.WebBackend, m *dispatchconfig.WebServer) (healthcheck.Check, bool) {
	c, addr, ok, err := spec.HealthCheck(m)
	if !ok || err != nil || m.Disabled {
		return healthcheck.Check{}, false
	}
	b := active.backends[spec.Name]
	b.mu.Lock()
	down := b.unhealthy[m.Name]
	b.mu.Unlock()
	followers := active.tracking(b.id(m.Name))
	return healthcheck.Check{Name: b.id(m.Name), Addr: addr, Spec: c, InitiallyDown: down, OnChange: func(up bool, _ string) {
		select {
		case <-checks.Done(): // newer checks have taken over
			return
		default:
		}
		b.setHealth(m.Name, up)
		for _, f := range followers {
			f.backend.setHealth(f.server, up)
		}
	}}, true
}

// follower is a server whose state is that of another.
type follower struct {
	backend *backend
	server  string
}

// tracking returns the servers that track one of that id.
func (active *activeConfig) tracking(id string) (out []follower) {
	for _, spec := range active.web.Backends {
		for _, m := range spec.Servers {
			if m.Track == id {
				out = append(out, follower{active.backends[spec.Name], m.Name})
			}
		}
	}
	return out
}

// setHealth notes that a server has become healthy or unhealthy by its checks.
func (b *backend) setHealth(server string, up bool) {
	b.mu.Lock()
	i := b.index(server)
	if i < 0 {
		b.mu.Unlock()
		return
	}
	b.unhealthy[server] = !up
	b.avoidUntil[i] = 0
	b.publishState(i)
}

// index returns the index of a server in the pool, or -1. The lock is held.
func (b *backend) index(server string) int {
	if b.pool == nil {
		return -1
	}
	return b.pool.Index(server)
}

// publishState works out a server's state and gives it to pool, transport and planner. The lock is
// held when it is called, and released when it returns.
func (b *backend) publishState(i int) {
	p := b.proxy
	m := &b.spec.Servers[i]
	to := pool.Up
	switch {
	case m.Disabled || b.cordoned[m.Name]:
		to = pool.Maintenance
	case b.unhealthy[m.Name]:
		to = pool.Down
	}
	if was, _ := b.pool.State(i); was != to {
		b.pool.SetState(i, to, p.opt.Clock.Now())
	}
	connect, _ := b.spec.Timeouts()
	id, addr := b.id(m.Name), m.Addr
	b.mu.Unlock()
	p.transport.update(false, []serverInfo{{id, addr, connect, to == pool.Up}})
	p.planners.WorkersUpdated(dispatcher.UpdateDelta, []dispatcher.WorkerInfo{{Worker: id, Kind: p.kind(id), State: workerState(to)}})
	b.dispatchQueue()
}

// Cordon cordons a server, BACKEND/SERVER, or uncordons it, and reports whether there is such a server.
// Requests in flight there go on to their end.
func (p *Proxy) Cordon(host string, out bool) (known bool) {
	name, server, _ := strings.Cut(host, "/")
	b := p.active.Load().backends[name]
	if b == nil {
		return false
	}
	b.mu.Lock()
	i := b.index(server)
	if i < 0 {
		b.mu.Unlock()
		return false
	}
	b.cordoned[server] = out
	b.publishState(i)
	return true
}

// kind returns the module's kind of a worker.
func (p *Proxy) kind(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.kinds[id]
}

// servingServers returns how many servers of a backend take new requests.
func (p *Proxy) servingServers(name string) int {
	b := p.active.Load().backends[name]
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

// ServerStatus is the state of a server, for operators. Busy counts the requests in flight there.
type ServerStatus struct {
	Server string `json:"server"`
	Addr   string `json:"addr"`
	State  string `json:"state"`
	Busy   int    `json:"busy"`
}

// Status returns the states of all servers, in the order of the configuration.
func (p *Proxy) Status() (out []ServerStatus) {
	active := p.active.Load()
	for _, spec := range active.web.Backends {
		b := active.backends[spec.Name]
		b.mu.Lock()
		for i, m := range b.spec.Servers {
			state, busy := b.pool.State(i)
			out = append(out, ServerStatus{b.id(m.Name), m.Addr, state.String(), busy})
		}
		b.mu.Unlock()
	}
	return out
}
