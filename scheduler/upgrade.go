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

// snapshotTimeout is how long the planners may take to hand their state over.
const snapshotTimeout = time.Second

func (s *Scheduler) hello() handover.Hello { return handover.NewHello(s.config.Name, s.config.Listen) }

// takeOver takes over from the process that serves now, if there is one: it adopts its
// state and returns it with its listening sockets by address. A process that is missing or
// broken is no reason not to start. It must be called before the planners run.
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
		s.options.Log.Warn("takeover failed, starting without the other process's state", "err", err)
		return nil, nil
	}
	s.watcher.StartAfter(state.List.Revision, state.Discovery)
	s.updateWorkers(dispatcher.UpdateFull, state.List)
	for _, host := range state.Cordons {
		if err := s.cordons.Set(host, true); err != nil {
			s.options.Log.Warn("cannot save a cordon", "worker", host, "err", err)
		}
		s.restoreCordon(host)
	}
	other := s.addSibling()
	s.planners.TakeOver(other.id, other.publish, state.Planners)
	other.start(session.Link(s.workerLoop, other, s.options.Log), nil)
	s.rebalanceResources()
	s.options.Log.Info("taking over from the serving process", "workers", len(state.List.Members), "cordons", len(state.Cordons))
	return other, session.Sockets
}

// inheritedConfig returns the configuration of the process that serves, or nil: a file that
// it has rejected must not keep the next process from starting.
func inheritedConfig(ctx context.Context) *dispatchconfig.Config {
	me := &dispatchconfig.Config{Name: os.Getenv("EDGE_NAME"), Listen: os.Getenv("EDGE_LISTEN")}
	session, err := handover.Join(ctx, runtimeFile(me, "sock"), handover.NewHello(me.Name, me.Listen))
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
	if ops := os.Getenv("EDGE_OPS"); ops != "" { // the file's is the other's
		c.Ops = ops
	}
	return c
}

// acceptSuccessors listens for the next process of this scheduler, from now on.
func (s *Scheduler) acceptSuccessors() {
	listener, err := handover.Listen(runtimeFile(s.config, "sock"))
	if err != nil {
		s.options.Log.Warn("cannot listen for the next process, it will have nothing to take over", "err", err)
		return
	}
	s.siblings.mu.Lock()
	s.siblings.listener = listener
	s.siblings.mu.Unlock()
	sockets := func() (all []*net.TCPListener) {
		for _, server := range s.servers {
			all = append(all, server.Listener())
		}
		return all
	}
	go listener.Accept(s.hello(), sockets, s.handOver, func(err error) {
		s.options.Log.Warn("handover to another process failed", "err", err)
	})
}

// handOver gives another process all that it needs to be this scheduler too.
func (s *Scheduler) handOver(session *handover.Session) {
	other := s.addSibling() // from here on it is sent orders; those before are part of the state
	link := session.Link(s.workerLoop, other, s.options.Log)
	ctx, stop := context.WithTimeout(context.Background(), snapshotTimeout)
	defer stop()
	planners, err := s.planners.AddSibling(ctx, other.id, other.publish)
	if err != nil {
		link.Drop(err)
		return
	}
	state := &handover.State{Source: s.current.Load().Source, List: s.workerList(), Discovery: s.watcher.Addr(),
		Cordons: s.cordons.Hosts(), Planners: planners}
	other.start(link, &handover.Message{State: state})
	if s.eventStreams != nil {
		s.eventStreams.Mirror(other.id, func(st *sse.Stream) { other.send(&handover.Message{Stream: st}) })
	}
	s.rebalanceResources()
	if other.isLost() { // its end may have come before the planners knew of it
		s.dropSibling(other)
		return
	}
	s.options.Log.Info("handing over to a new process", "workers", len(state.List.Members), "cordons", len(state.Cordons))
}
