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
	overhead  = 32
	tellEvery = 50 * time.Millisecond
	// An operator waits a second; the other process has this much of it.
	orderWait = 400 * time.Millisecond
	estateMax = time.Second
)

var (
	errNoWord = errors.New("the other process of the upgrade has not confirmed the order")
	errLate   = errors.New("it does not answer")
)

// bond is what joins this process to another of the same scheduler.
type bond struct {
	s      *Scheduler
	number int

	mu      sync.Mutex
	link    *handover.Link
	held    []*handover.Message // until the first message is out
	begun   bool
	gone    chan struct{} // closed when the other is gone
	lost    bool
	used    int
	serving bool // it accepts clients in our place
	orders  uint64
	waits   map[uint64]chan struct{}
}

// bonds are all of those.
type bonds struct {
	mu   sync.Mutex
	all  map[*bond]struct{}
	last int
	more chan struct{}  // holds a token once there is another
	host *handover.Host // nil: not waiting for another process
}

func (s *Scheduler) bond() *bond {
	s.bonds.mu.Lock()
	defer s.bonds.mu.Unlock()
	s.bonds.last++
	b := &bond{s: s, number: s.bonds.last, gone: make(chan struct{}), waits: map[uint64]chan struct{}{}}
	s.bonds.all[b] = struct{}{}
	select {
	case s.bonds.more <- struct{}{}:
	default:
	}
	return b
}

func (s *Scheduler) others() []*bond {
	s.bonds.mu.Lock()
	defer s.bonds.mu.Unlock()
	all := make([]*bond, 0, len(s.bonds.all))
	for b := range s.bonds.all {
		all = append(all, b)
	}
	return all
}

func (s *Scheduler) hello() handover.Hello { return handover.NewHello(s.config.Name, s.config.Listen) }

// join takes over from the process that serves now, if there is one: it brings
// its listening sockets and returns the bond. A partner that is missing or broken
// is no reason not to start. It must be called before the planners run.
func (s *Scheduler) join() (*bond, map[string]*net.TCPListener) {
	session, err := handover.Join(fileOf(s.config, "sock"), s.hello())
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
		s.opt.Log.Warn("the other process hands nothing over, starting without", "err", err)
		return nil, nil
	}
	s.watcher.Known(state.List.Revision, state.Discovery)
	s.members(sedgevale.ListWhole, state.List)
	for _, host := range state.Cordons {
		if err := s.cordons.Set(host, true); err != nil {
			s.opt.Log.Warn("a cordon is not saved", "worker", host, "err", err)
		}
		s.keep(host)
	}
	b := s.bond()
	s.planners.Adopt(b.number, b.tell, state.Planners)
	b.begin(session.Link(s.loop, b, s.opt.Log), nil)
	s.shareOut()
	s.opt.Log.Info("taking over from the process that serves", "workers", len(state.List.Members), "cordons", len(state.Cordons))
	return b, session.Sockets
}

// inherited returns the configuration of the process that serves, or nil: a file
// that it has turned down must not stop the next one.
func inherited() *dispatchconfig.Config {
	me := &dispatchconfig.Config{Name: os.Getenv("EDGE_NAME"), Listen: os.Getenv("EDGE_LISTEN")}
	session, err := handover.Join(fileOf(me, "sock"), handover.NewHello(me.Name, me.Listen))
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

// await waits for the next process, from now on.
func (s *Scheduler) await() {
	host, err := handover.Listen(fileOf(s.config, "sock"))
	if err != nil {
		s.opt.Log.Warn("a next process will find nobody to take over from", "err", err)
		return
	}
	s.bonds.mu.Lock()
	s.bonds.host = host
	s.bonds.mu.Unlock()
	sockets := func() (all []*net.TCPListener) {
		for _, server := range s.servers {
			all = append(all, server.Listener())
		}
		return all
	}
	go host.Accept(s.hello(), sockets, s.handOver, func(err error) {
		s.opt.Log.Warn("a process that wanted to take over got nothing", "err", err)
	})
}

// handOver gives another process all that it needs to be this scheduler too.
func (s *Scheduler) handOver(session *handover.Session) {
	b := s.bond() // from here on it is told of orders; what is out already goes with the state
	link := session.Link(s.loop, b, s.opt.Log)
	ctx, stop := context.WithTimeout(context.Background(), estateMax)
	defer stop()
	estates, err := s.planners.Share(ctx, b.number, b.tell)
	if err != nil {
		link.Drop(err)
		return
	}
	state := &handover.State{Source: s.current.Load().Source, List: s.listed(), Discovery: s.watcher.Addr(), Cordons: s.cordons.Hosts(), Planners: estates}
	b.begin(link, &handover.Message{State: state})
	if s.streams != nil {
		s.streams.Mirror(b.number, func(st *sse.Stream) { b.send(&handover.Message{Stream: st}) })
	}
	s.shareOut()
	if b.isLost() { // its end may have come before the planners knew of it
		s.part(b)
		return
	}
	s.opt.Log.Info("handing over to a new process", "workers", len(state.List.Members), "cordons", len(state.Cordons))
}

// begin sends the first message, if there is one, and what was held until now.
func (b *bond) begin(link *handover.Link, first *handover.Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.link, b.begun = link, true
	if first != nil {
		link.Send(first)
	}
	for _, m := range b.held {
		link.Send(m)
	}
	b.held = nil
}

func (b *bond) send(m *handover.Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.lost:
	case b.begun:
		b.link.Send(m)
	default:
		b.held = append(b.held, m)
	}
}

func (b *bond) isLost() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lost
}

// tell passes on what a planner does.
func (b *bond) tell(planner int, shared dispatch.Shared) {
	b.send(&handover.Message{Share: &handover.Share{Planner: planner, Shared: shared}, Used: b.s.used()})
}

func (s *Scheduler) used() int { return s.budget.Used() + overhead }

// Message is the link's.
func (b *bond) Message(_ *handover.Link, m *handover.Message) {
	s := b.s
	if m.Share != nil {
		s.planners.Beside(b.number, m.Share.Planner, m.Share.Shared)
	}
	if m.Stream != nil && s.streams != nil {
		s.streams.Take(b.number, m.Stream)
	}
	if m.Order != nil {
		go b.obey(m.Order)
	}
	b.mu.Lock()
	if m.Done != 0 {
		if done := b.waits[m.Done]; done != nil {
			close(done)
			delete(b.waits, m.Done)
		}
	}
	changed := m.Used != 0 && m.Used != b.used
	if m.Used != 0 {
		b.used = m.Used
	}
	if m.Serving {
		b.serving = true
	}
	b.mu.Unlock()
	if changed {
		s.shareOut()
	}
	if m.Serving {
		s.opt.Log.Info("the new process accepts clients, this one does not any more")
		for _, server := range s.servers {
			server.Pause()
		}
		if s.link != nil {
			s.link.Pause()
		}
	}
}

// Lost is the link's.
func (b *bond) Lost(*handover.Link) {
	s := b.s
	s.bonds.mu.Lock()
	delete(s.bonds.all, b)
	s.bonds.mu.Unlock()
	b.mu.Lock()
	b.lost, b.held = true, nil
	serving := b.serving
	b.mu.Unlock()
	close(b.gone)
	s.part(b)
	s.shareOut()
	if serving {
		for _, server := range s.servers {
			server.Resume()
		}
		if s.link != nil {
			s.link.Resume()
		}
	}
}

// part ends all sharing with a process that is gone.
func (s *Scheduler) part(b *bond) {
	s.planners.Part(b.number)
	if s.streams != nil {
		s.streams.Part(b.number)
	}
}

// shareOut keeps this process to its share of the machine: all that the others
// leave of the descriptors, and an even part of the memory.
func (s *Scheduler) shareOut() {
	all, used := s.others(), 0
	for _, b := range all {
		b.mu.Lock()
		used += max(overhead, b.used)
		b.mu.Unlock()
	}
	s.budget.Others(used)
	if s.opt.Share != nil {
		s.opt.Share(1 + len(all))
	}
}

// report tells the others how many descriptors are in use here, as long as there
// are others, until the context ends. Alone it does not wake up.
func (s *Scheduler) report(ctx context.Context) {
	for {
		select {
		case <-s.bonds.more:
		case <-ctx.Done():
			return
		}
		tick := time.NewTicker(tellEvery)
		for last := 0; ; {
			select {
			case <-tick.C:
			case <-ctx.Done():
				tick.Stop()
				return
			}
			all, used := s.others(), s.used()
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

// obey carries out an order that the other process has had.
func (b *bond) obey(o *handover.Order) {
	ctx, stop := context.WithTimeout(context.Background(), orderWait)
	defer stop()
	err := b.s.apply(ctx, o.Host, o.Out)
	if err == nil {
		err = b.s.tellOthers(ctx, o.Host, o.Out, b)
	}
	if err != nil {
		b.s.opt.Log.Warn("an order of the other process is not carried out", "worker", o.Host, "out", o.Out, "err", err)
		return
	}
	b.send(&handover.Message{Done: o.Number})
}

// tellOthers has the other processes carry out an order, too.
func (s *Scheduler) tellOthers(ctx context.Context, host string, out bool, but *bond) error {
	ctx, stop := context.WithTimeout(ctx, orderWait)
	defer stop()
	for _, b := range s.others() {
		if b == but {
			continue
		}
		done := make(chan struct{})
		b.mu.Lock()
		b.orders++
		number := b.orders
		b.waits[number] = done
		b.mu.Unlock()
		b.send(&handover.Message{Order: &handover.Order{Number: number, Host: host, Out: out}})
		select {
		case <-done:
		case <-b.gone:
		case <-ctx.Done():
			b.mu.Lock()
			link := b.link
			b.mu.Unlock()
			if link != nil {
				link.Drop(errLate)
			}
			return errNoWord
		}
	}
	return nil
}
