package scheduler

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"sedgevale"
	"sedgevale/internal/dispatch"
	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/handover"
	"sedgevale/internal/sse"
)

const (
	// Descriptors of a process that are not connections.
	fixedDescriptors = 32
	reportInterval   = 50 * time.Millisecond
	// An operator waits a second; the other process has this much of it.
	orderTimeout    = 400 * time.Millisecond
	snapshotTimeout = time.Second
)

var (
	errOrderUnconfirmed = errors.New("the other process of the upgrade has not confirmed the order")
	errNotAnswering     = errors.New("it does not answer")
)

// sibling is what joins this process to another of the same scheduler.
type sibling struct {
	scheduler *Scheduler
	id        int

	mu            sync.Mutex
	link          *handover.Link
	pending       []*handover.Message // until the first message is out
	started       bool
	done          chan struct{} // closed when the other is gone
	lost          bool
	descriptors   int
	serving       bool // it accepts clients in our place
	lastOrder     uint64
	pendingOrders map[uint64]chan struct{}
}

// siblingSet are all of those.
type siblingSet struct {
	mu       sync.Mutex
	all      map[*sibling]struct{}
	lastID   int
	added    chan struct{}  // holds a token once there is another
	listener *handover.Host // nil: not waiting for another process
}

func (s *Scheduler) addSibling() *sibling {
	s.siblings.mu.Lock()
	defer s.siblings.mu.Unlock()
	s.siblings.lastID++
	b := &sibling{scheduler: s, id: s.siblings.lastID, done: make(chan struct{}), pendingOrders: map[uint64]chan struct{}{}}
	s.siblings.all[b] = struct{}{}
	select {
	case s.siblings.added <- struct{}{}:
	default:
	}
	return b
}

func (s *Scheduler) siblingList() []*sibling {
	s.siblings.mu.Lock()
	defer s.siblings.mu.Unlock()
	all := make([]*sibling, 0, len(s.siblings.all))
	for b := range s.siblings.all {
		all = append(all, b)
	}
	return all
}

func (s *Scheduler) hello() handover.Hello { return handover.NewHello(s.config.Name, s.config.Listen) }

// takeOver takes over from the process that serves now, if there is one: it brings
// its listening sockets and returns the bond. A partner that is missing or broken
// is no reason not to start. It must be called before the planners run.
func (s *Scheduler) takeOver() (*sibling, map[string]*net.TCPListener) {
	session, err := handover.Join(runtimeFile(s.config, "sock"), s.hello())
	if errors.Is(err, handover.ErrNobody) {
		return nil, nil
	}
	var state *handover.State
	if err == nil {
		if state, err = session.State(); err != nil {
			session.Close()
		}
	}
	if err != nil {
		s.options.Log.Warn("the other process hands nothing over, starting without", "err", err)
		return nil, nil
	}
	s.watcher.Known(state.List.Revision, state.Discovery)
	s.updateWorkers(sedgevale.ListWhole, state.List)
	for _, host := range state.Cordons {
		if err := s.cordons.Set(host, true); err != nil {
			s.options.Log.Warn("a cordon is not saved", "worker", host, "err", err)
		}
		s.restoreCordon(host)
	}
	b := s.addSibling()
	s.planners.Adopt(b.id, b.publish, state.Planners)
	b.start(session.Link(s.workerLoop, b, s.options.Log), nil)
	s.rebalanceResources()
	s.options.Log.Info("taking over from the process that serves", "workers", len(state.List.Members), "cordons", len(state.Cordons))
	return b, session.Sockets
}

// inheritedConfig returns the configuration of the process that serves, or nil: a file
// that it has turned down must not stop the next one.
func inheritedConfig() *dispatchconfig.Config {
	me := &dispatchconfig.Config{Name: os.Getenv("EDGE_NAME"), Listen: os.Getenv("EDGE_LISTEN")}
	session, err := handover.Join(runtimeFile(me, "sock"), handover.NewHello(me.Name, me.Listen))
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

// acceptSuccessors waits for the next process, from now on.
func (s *Scheduler) acceptSuccessors() {
	host, err := handover.Listen(runtimeFile(s.config, "sock"))
	if err != nil {
		s.options.Log.Warn("a next process will find nobody to take over from", "err", err)
		return
	}
	s.siblings.mu.Lock()
	s.siblings.listener = host
	s.siblings.mu.Unlock()
	sockets := func() (all []*net.TCPListener) {
		for _, server := range s.servers {
			all = append(all, server.Listener())
		}
		return all
	}
	go host.Accept(s.hello(), sockets, s.handOver, func(err error) {
		s.options.Log.Warn("a process that wanted to take over got nothing", "err", err)
	})
}

// handOver gives another process all that it needs to be this scheduler too.
func (s *Scheduler) handOver(session *handover.Session) {
	b := s.addSibling() // from here on it is told of orders; what is out already goes with the state
	link := session.Link(s.workerLoop, b, s.options.Log)
	ctx, stop := context.WithTimeout(context.Background(), snapshotTimeout)
	defer stop()
	estates, err := s.planners.Share(ctx, b.id, b.publish)
	if err != nil {
		link.Drop(err)
		return
	}
	state := &handover.State{Source: s.current.Load().Source, List: s.workerList(), Discovery: s.watcher.Addr(), Cordons: s.cordons.Hosts(), Planners: estates}
	b.start(link, &handover.Message{State: state})
	if s.eventStreams != nil {
		s.eventStreams.Mirror(b.id, func(st *sse.Stream) { b.send(&handover.Message{Stream: st}) })
	}
	s.rebalanceResources()
	if b.isLost() { // its end may have come before the planners knew of it
		s.dropSibling(b)
		return
	}
	s.options.Log.Info("handing over to a new process", "workers", len(state.List.Members), "cordons", len(state.Cordons))
}

// start sends the first message, if there is one, and what was held until now.
func (b *sibling) start(link *handover.Link, first *handover.Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.link, b.started = link, true
	if first != nil {
		link.Send(first)
	}
	for _, m := range b.pending {
		link.Send(m)
	}
	b.pending = nil
}

func (b *sibling) send(m *handover.Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.lost:
	case b.started:
		b.link.Send(m)
	default:
		b.pending = append(b.pending, m)
	}
}

func (b *sibling) isLost() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lost
}

// publish passes on what a planner does.
func (b *sibling) publish(planner int, shared dispatch.Shared) {
	b.send(&handover.Message{Share: &handover.Share{Planner: planner, Shared: shared}, Used: b.scheduler.descriptorsInUse()})
}

func (s *Scheduler) descriptorsInUse() int { return s.descriptors.Used() + fixedDescriptors }

// Message is the link's.
func (b *sibling) Message(_ *handover.Link, m *handover.Message) {
	s := b.scheduler
	if m.Share != nil {
		s.planners.Beside(b.id, m.Share.Planner, m.Share.Shared)
	}
	if m.Stream != nil && s.eventStreams != nil {
		s.eventStreams.Take(b.id, m.Stream)
	}
	if m.Order != nil {
		go b.executeOrder(m.Order)
	}
	b.mu.Lock()
	if m.Done != 0 {
		if done := b.pendingOrders[m.Done]; done != nil {
			close(done)
			delete(b.pendingOrders, m.Done)
		}
	}
	changed := m.Used != 0 && m.Used != b.descriptors
	if m.Used != 0 {
		b.descriptors = m.Used
	}
	if m.Serving {
		b.serving = true
	}
	b.mu.Unlock()
	if changed {
		s.rebalanceResources()
	}
	if m.Serving {
		s.options.Log.Info("the new process accepts clients, this one does not any more")
		for _, server := range s.servers {
			server.Pause()
		}
		if s.peerLink != nil {
			s.peerLink.Pause()
		}
	}
}

// Lost is the link's.
func (b *sibling) Lost(*handover.Link) {
	s := b.scheduler
	s.siblings.mu.Lock()
	delete(s.siblings.all, b)
	s.siblings.mu.Unlock()
	b.mu.Lock()
	b.lost, b.pending = true, nil
	serving := b.serving
	b.mu.Unlock()
	close(b.done)
	s.dropSibling(b)
	s.rebalanceResources()
	if serving {
		for _, server := range s.servers {
			server.Resume()
		}
		if s.peerLink != nil {
			s.peerLink.Resume()
		}
	}
}

// dropSibling ends all sharing with a process that is gone.
func (s *Scheduler) dropSibling(b *sibling) {
	s.planners.Part(b.id)
	if s.eventStreams != nil {
		s.eventStreams.Part(b.id)
	}
}

// rebalanceResources keeps this process to its share of the machine: all that the others
// leave of the descriptors, and an even part of the memory.
func (s *Scheduler) rebalanceResources() {
	all, used := s.siblingList(), 0
	for _, b := range all {
		b.mu.Lock()
		used += max(fixedDescriptors, b.descriptors)
		b.mu.Unlock()
	}
	s.descriptors.Others(used)
	if s.options.OnProcessCount != nil {
		s.options.OnProcessCount(1 + len(all))
	}
}

// reportDescriptors tells the others how many descriptors are in use here, as long as there
// are others, until the context ends. Alone it does not wake up.
func (s *Scheduler) reportDescriptors(ctx context.Context) {
	for {
		select {
		case <-s.siblings.added:
		case <-ctx.Done():
			return
		}
		tick := time.NewTicker(reportInterval)
		for last := 0; ; {
			select {
			case <-tick.C:
			case <-ctx.Done():
				tick.Stop()
				return
			}
			all, used := s.siblingList(), s.descriptorsInUse()
			if len(all) == 0 {
				break
			}
			if used != last {
				for _, b := range all {
					b.send(&handover.Message{Used: used})
				}
			}
			last = used
		}
		tick.Stop()
	}
}

// executeOrder carries out an order that the other process has had.
func (b *sibling) executeOrder(o *handover.Order) {
	ctx, stop := context.WithTimeout(context.Background(), orderTimeout)
	defer stop()
	err := b.scheduler.applyCordon(ctx, o.Host, o.Out)
	if err == nil {
		err = b.scheduler.forwardOrder(ctx, o.Host, o.Out, b)
	}
	if err != nil {
		b.scheduler.options.Log.Warn("an order of the other process is not carried out", "worker", o.Host, "out", o.Out, "err", err)
		return
	}
	b.send(&handover.Message{Done: o.Number})
}

// forwardOrder has the other processes carry out an order, too.
func (s *Scheduler) forwardOrder(ctx context.Context, host string, out bool, but *sibling) error {
	ctx, stop := context.WithTimeout(ctx, orderTimeout)
	defer stop()
	for _, b := range s.siblingList() {
		if b == but {
			continue
		}
		done := make(chan struct{})
		b.mu.Lock()
		b.lastOrder++
		number := b.lastOrder
		b.pendingOrders[number] = done
		b.mu.Unlock()
		b.send(&handover.Message{Order: &handover.Order{Number: number, Host: host, Out: out}})
		select {
		case <-done:
		case <-b.done:
		case <-ctx.Done():
			b.mu.Lock()
			link := b.link
			b.mu.Unlock()
			if link != nil {
				link.Drop(errNotAnswering)
			}
			return errOrderUnconfirmed
		}
	}
	return nil
}
