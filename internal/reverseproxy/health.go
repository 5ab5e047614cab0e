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

// applyStates sets the state of each server in a new pool from its health and cordon. The
// caller then publishes the server list.
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

// workerState converts a pool state to the decision module's worker state. A draining server still receives
// requests with session affinity, so only servers that are down or in maintenance become unavailable.
func workerState(p pool.State) dispatcher.WorkerState {
	if p == pool.Up || p == pool.Draining {
		return dispatcher.Active
	}
	return dispatcher.Draining
}

// startChecks starts the health checks of the active configuration. They run until the next call or until the proxy stops,
// and Run waits for them. The caller holds p.mu.
func (p *Proxy) startChecks() {
	if p.checks != nil {
		p.checks.Cancel()
	}
	checks := p.goroutines.Derive()
	p.checks = checks
	var memberChecks []healthcheck.Check
	active := p.active.Load()
	for _, spec := range active.web.Backends {
		for i := range spec.Servers {
			if c, ok := active.healthCheckFor(checks, &spec, &spec.Servers[i]); ok {
				memberChecks = append(memberChecks, c)
			}
		}
	}
	checks.Go(func(ctx context.Context) { healthcheck.NewDriver(p.opt.Log).Run(ctx, memberChecks) })
}

// healthCheckFor returns the health check of a server. It reports false if the server is disabled or has no check of its
// own.
func (active *activeConfig) healthCheckFor(checks *taskgroup.Group, spec *dispatchconfig.WebBackend, m *dispatchconfig.WebServer) (healthcheck.Check, bool) {
	c, addr, ok, err := spec.HealthCheck(m)
	if !ok || err != nil || m.Disabled {
		return healthcheck.Check{}, false
	}
	b := active.backends[spec.Name]
	b.mu.Lock()
	down := b.unhealthy[m.Name]
	b.mu.Unlock()
	trackers := active.tracking(b.id(m.Name))
	return healthcheck.Check{Name: b.id(m.Name), Addr: addr, Spec: c, InitiallyDown: down, OnChange: func(up bool, _ string) {
		select {
		case <-checks.Done(): // a reload has replaced these checks
			return
		default:
		}
		b.setHealth(m.Name, up)
		for _, f := range trackers {
			f.backend.setHealth(f.server, up)
		}
	}}, true
}

// trackingServer is a server that takes its health from another server (the track setting).
type trackingServer struct {
	backend *backend
	server  string
}

// tracking returns the servers that track the server with the given worker id.
func (active *activeConfig) tracking(id string) (out []trackingServer) {
	for _, spec := range active.web.Backends {
		for _, m := range spec.Servers {
			if m.Track == id {
				out = append(out, trackingServer{active.backends[spec.Name], m.Name})
			}
		}
	}
	return out
}

// setHealth records a health check transition of a server and publishes the new state.
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

// index returns the index of a server in the pool, or -1 if there is none. The caller holds b.mu.
func (b *backend) index(server string) int {
	if b.pool == nil {
		return -1
	}
	return b.pool.Index(server)
}

// publishState computes a server's state and passes it to the pool, the transport and the planner. The caller holds
// b.mu, and publishState releases it.
func (b *backend) publishState(i int) {
	p := b.proxy
	m := &b.spec.Servers[i]
	state := pool.Up
	switch {
	case m.Disabled || b.cordoned[m.Name]:
		state = pool.Maintenance
	case b.unhealthy[m.Name]:
		state = pool.Down
	}
	if previous, _ := b.pool.State(i); previous != state {
		b.pool.SetState(i, state, p.opt.Clock.Now())
	}
	connect, _ := b.spec.Timeouts()
	id, addr := b.id(m.Name), m.Addr
	b.mu.Unlock()
	p.transport.update(false, []serverInfo{{id, addr, connect, state == pool.Up}})
	p.planners.WorkersUpdated(dispatcher.UpdateDelta, []dispatcher.WorkerInfo{{Name: id, Kind: p.kind(id), State: workerState(state)}})
	b.dispatchQueue()
}

// Cordon cordons or uncordons the server with the given id, BACKEND/SERVER, and reports whether it exists.
// Requests in flight on the server continue.
func (p *Proxy) Cordon(id string, cordon bool) (known bool) {
	name, server, _ := strings.Cut(id, "/")
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
	b.cordoned[server] = cordon
	b.publishState(i)
	return true
}

// kind returns the number by which the decision module's classes refer to a worker.
func (p *Proxy) kind(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.kinds[id]
}

// servingServers returns how many servers of a backend accept new requests.
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

// ServerStatus is the state of a server as reported to operators. Busy is the number of its requests in flight.
type ServerStatus struct {
	Server string `json:"server"`
	Addr   string `json:"addr"`
	State  string `json:"state"`
	Busy   int    `json:"busy"`
}

// Status returns the state of every server, in configuration order.
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
