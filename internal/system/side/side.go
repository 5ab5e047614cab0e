// Package side is the scheduler beside a worker: the only one that talks to it. It answers heartbeats, obeys the
// owner of the worker's shard, and tells it what the worker does. What it decides is in workeragent.
package side

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"sedgevale/internal/system/api"
	"sedgevale/internal/system/directory"
	"sedgevale/internal/system/node"
	"sedgevale/internal/system/result"
	"sedgevale/internal/system/rpc"
	"sedgevale/internal/system/settings"
	"sedgevale/workeragent"
)

const (
	checkEvery   = 50 * time.Millisecond
	reportEvery  = 400 * time.Millisecond
	reportCall   = 700 * time.Millisecond
	answerAfter  = 700 * time.Millisecond // an idle worker's heartbeat is answered after so long without orders
	retryAfterMS = 25                     // between an answer and the next heartbeat
	maxBeatBytes = 8 << 20
	keepLapsed   = 20 * time.Second
)

// Side is a scheduler on a side machine.
type Side struct {
	settings  *settings.Settings
	logger    logr.Logger
	client    *rpc.Client
	directory *directory.Directory
	timing    workeragent.Timing
	life      string
	started   time.Time
	ctx       context.Context // of the process

	mu       sync.Mutex
	agents   map[string]*incarnation
	newest   string
	sequence int64  // of the last report
	owner    string // that the session is with
	session  string
}

// incarnation is one incarnation of the worker and what waits for it.
type incarnation struct {
	agent     *workeragent.Agent
	service   string
	orders    chan struct{} // poked when there is something for the worker
	tell      chan struct{} // poked when there is something for the owner
	told      uint64        // the news that was told last
	lapsedAt  time.Duration
	ended     bool // another incarnation has replaced it
	confirmed bool
}

func poke(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// Run serves until the context ends.
func Run(ctx context.Context, p *node.Process) error {
	var random [6]byte
	_, _ = rand.Read(random[:])
	s := &Side{
		settings: p.Settings, logger: p.Logger, client: p.Client, directory: directory.New(p, false),
		timing: node.Timing(p.Settings), life: hex.EncodeToString(random[:]), started: time.Now(),
		agents: map[string]*incarnation{}, ctx: ctx,
	}
	go s.directory.Run(ctx)
	server := rpc.NewServer()
	rpc.Handle(server, api.MethodOrders, s.takeOrders)
	if err := p.Listen(ctx, p.Settings.InternalAddress(), server.Handler()); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /sedgevale/instances/{id}", s.heartbeat)
	mux.HandleFunc("DELETE /sedgevale/instances/{id}", s.goodbye)
	if err := p.Listen(ctx, p.Settings.BindAddrs.ControlPlane, mux); err != nil {
		return err
	}
	go s.checkLoop(ctx)
	<-ctx.Done()
	return nil
}

func (s *Side) now() time.Duration { return time.Since(s.started) }

// incarnationOf returns the state for an instance, made at its first heartbeat. The lock is held.
func (s *Side) incarnationOf(instance string) *incarnation {
	one := s.agents[instance]
	if one != nil {
		return one
	}
	one = &incarnation{
		agent:  workeragent.New(s.now(), instance, s.life, s.timing),
		orders: make(chan struct{}, 1), tell: make(chan struct{}, 1),
	}
	s.agents[instance] = one
	return one
}

// certainBeats is how many heartbeats make an incarnation certain: a late one of an incarnation that has
// crashed is not followed by another.
const certainBeats = 2

// confirm notes that an incarnation is certainly there. A worker that crashed comes back under another name,
// so the others have ended, but for those that announced their end and may still be at work. The lock is held.
func (s *Side) confirm(one *incarnation) {
	if one.confirmed || one.agent.Beats() < certainBeats {
		return
	}
	one.confirmed = true
	s.newest = one.agent.Instance
	for _, old := range s.agents {
		if old != one && !old.agent.Draining() {
			old.ended = true
		}
	}
	go s.reportLoop(s.ctx, one)
}

// takeOrders passes an owner's orders to the agent.
func (s *Side) takeOrders(_ context.Context, r *api.OrdersRequest) (*api.Empty, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	one := s.agents[r.Orders.Instance]
	if one == nil || one.ended {
		return nil, result.Errorf(result.WrongInstance, "instance %s is not here", r.Orders.Instance)
	}
	if err := one.agent.OnOrders(s.now(), r.Token, &r.Orders); err != nil {
		return nil, err
	}
	if one.agent.Pending(s.now()) {
		poke(one.orders)
	}
	return &api.Empty{}, nil
}

// checkLoop looks for holds that have lapsed, and forgets incarnations that ended long ago.
func (s *Side) checkLoop(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(checkEvery)
		s.mu.Lock()
		now := s.now()
		for instance, one := range s.agents {
			if one.agent.Check(now) {
				s.logger.V(1).Info("hold lapsed", "instance", instance)
				one.lapsedAt = now
				poke(one.tell)
			}
			if instance != s.newest && one.agent.SafelyDead() && now-one.lapsedAt > keepLapsed {
				one.ended = true
				delete(s.agents, instance)
			}
		}
		s.mu.Unlock()
	}
}

// reportLoop tells the owner how an incarnation stands, at each change and now and then.
func (s *Side) reportLoop(ctx context.Context, one *incarnation) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-one.tell:
		case <-time.After(reportEvery):
		}
		s.mu.Lock()
		known := s.agents[one.agent.Instance] == one && !one.ended
		s.mu.Unlock()
		if !known {
			return
		}
		s.report(one)
	}
}

func (s *Side) report(one *incarnation) {
	s.mu.Lock()
	now := s.now()
	report := one.agent.Report(now)
	report.Side = s.settings.InternalAddress()
	service := one.service
	owner, _ := s.directory.Owner(service)
	if owner != s.owner {
		s.owner, s.session = owner, ""
	}
	s.sequence++
	request := &api.ReportRequest{Shard: service, Session: s.session, Sequence: s.sequence, Report: *report}
	s.mu.Unlock()
	if owner == "" || service == "" {
		time.Sleep(checkEvery)
		poke(one.tell)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportCall)
	defer cancel()
	response := &api.ReportResponse{}
	err := s.client.Call(ctx, owner, api.MethodReport, request, response)
	if err != nil {
		s.logger.V(1).Info("report not taken", "owner", owner, "error", err.Error())
		time.Sleep(checkEvery)
		poke(one.tell) // to this owner again, or to the next
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if owner == s.owner {
		s.session = response.Session
	}
	if !response.Accepted {
		poke(one.tell)
		return
	}
	if err := one.agent.OnLease(now, response.Token, response.Noted); err != nil {
		s.logger.V(1).Info("owner is outdated", "owner", owner, "error", err.Error())
		return
	}
	if one.agent.Pending(s.now()) {
		poke(one.orders)
	}
}
