package scheduler

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"sedgevale/dispatcher"
	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/handover"
	"sedgevale/internal/sse"
)

// snapshotTimeout is the time in which the planners must return their state for a handover.
const snapshotTimeout = time.Second

func (s *Scheduler) hello() handover.Hello { return handover.NewHello(s.config.Name, s.config.Listen) }

// takeOver takes over from the process that is currently serving, if there is one. It adopts
// the state of that process and returns it as a sibling, with its listening sockets by
// address. A missing or failing predecessor does not prevent the start. takeOver must be
// called before the planners run.
func (s *Scheduler) takeOver(ctx context.Context) (*sibling, map[string]*net.TCPListener) {
	session, err := handover.Join(ctx, runtimeFile(s.config, "sock"), s.hello())
	if errors.Is(err, handover.ErrNoProcess) {
		return nil, nil
	}
	var state *handover.State
	if err == nil {
		if state, err = session.State(); err != nil {
			session.Close()
		}
	}
	if err != nil {
		s.options.Log.Warn("takeover failed; starting without the state of the serving process", "err", err)
		return nil, nil
	}
	s.watcher.StartAfter(state.List.Revision, state.Discovery)
	s.updateWorkers(dispatcher.UpdateFull, state.List)
	for _, host := range state.Cordons {
		if err := s.cordons.Set(host, true); err != nil {
			s.options.Log.Warn("cannot save a cordon inherited from the serving process; it is in force, but a restart may lose it", "worker", host, "err", err)
		}
		s.restoreCordon(host)
	}
	sib := s.addSibling()
	s.planners.TakeOver(sib.id, sib.publish, state.Planners)
	sib.start(session.Link(s.workerLoop, sib, s.options.Log), nil)
	s.rebalanceResources()
	s.options.Log.Info("taking over from the serving process", "workers", len(state.List.Members), "cordons", len(state.Cordons))
	return sib, session.Sockets
}

// inheritedConfig returns the configuration of the process that is currently serving, or nil if
// it cannot be obtained. A new process uses it if its own file is invalid, so that an invalid
// file does not prevent an upgrade.
func inheritedConfig(ctx context.Context) *dispatchconfig.Config {
	self := &dispatchconfig.Config{Name: os.Getenv("EDGE_NAME"), Listen: os.Getenv("EDGE_LISTEN")}
	session, err := handover.Join(ctx, runtimeFile(self, "sock"), handover.NewHello(self.Name, self.Listen))
	if err != nil {
		return nil
	}
	defer session.Close()
	state, err := session.State()
	if err != nil || state.Source == nil {
		return nil
	}
	c, err := dispatchconfig.FromSource(state.Source)
	if err != nil {
		return nil
	}
	if ops := os.Getenv("EDGE_OPS"); ops != "" { // the inherited address belongs to the other process
		c.Ops = ops
	}
	return c
}

// acceptSuccessors starts to listen for a new process that takes over from this one.
func (s *Scheduler) acceptSuccessors() {
	listener, err := handover.Listen(runtimeFile(s.config, "sock"))
	if err != nil {
		s.options.Log.Warn("cannot listen for a new process; the next one will start without a takeover", "err", err)
		return
	}
	s.siblings.mu.Lock()
	s.siblings.listener = listener
	s.siblings.mu.Unlock()
	sockets := func() (listeners []*net.TCPListener) {
		for _, server := range s.servers {
			listeners = append(listeners, server.Listener())
		}
		return listeners
	}
	go listener.Accept(s.hello(), sockets, s.handOver, func(err error) {
		s.options.Log.Warn("handover to a new process failed; still waiting for one", "err", err)
	})
}

// handOver sends a new process the state that it needs to serve as this scheduler, and keeps
// sharing state with it.
func (s *Scheduler) handOver(session *handover.Session) {
	sib := s.addSibling() // later cordons are forwarded to it; earlier ones are part of the state
	link := session.Link(s.workerLoop, sib, s.options.Log)
	ctx, cancel := context.WithTimeout(context.Background(), snapshotTimeout)
	defer cancel()
	planners, err := s.planners.AddSibling(ctx, sib.id, sib.publish)
	if err != nil {
		link.Drop(err)
		return
	}
	state := &handover.State{Source: s.current.Load().Source, List: s.workerList(), Discovery: s.watcher.Addr(),
		Cordons: s.cordons.Hosts(), Planners: planners}
	sib.start(link, &handover.Message{State: state})
	if s.eventStreams != nil {
		s.eventStreams.Mirror(sib.id, func(st *sse.Stream) { sib.send(&handover.Message{Stream: st}) })
	}
	s.rebalanceResources()
	if sib.isLost() { // the link may have been lost before the planners knew the sibling
		s.dropSibling(sib)
		return
	}
	s.options.Log.Info("handing over to a new process", "workers", len(state.List.Members), "cordons", len(state.Cordons))
}
