package scheduler

import (
	"context"
	"errors"
	"sync"
	"time"

	"sedgevale/internal/dispatch"
	"sedgevale/internal/handover"
)

const (
	reportInterval = 50 * time.Millisecond
	// An operator waits a second for an answer; a sibling has orderTimeout of it.
	orderTimeout = 400 * time.Millisecond
)

var (
	errOrderUnconfirmed = errors.New("the other process of the upgrade has not confirmed the order")
	errNotAnswering     = errors.New("it does not answer")
)

// sibling is another process of the same scheduler, with which this one shares its state
// during an upgrade. It is the handover.Handler of the link to it.
type sibling struct {
	scheduler *Scheduler
	id        int
	done      chan struct{} // closed when the process is gone

	mu            sync.Mutex // guards all below
	link          *handover.Link
	pending       []*handover.Message // to be sent once the first message is out
	started       bool                // the first message is out
	lost          bool
	descriptors   int  // that it holds
	serving       bool // it accepts connections in place of this process
	lastOrder     uint64
	pendingOrders map[uint64]chan struct{} // by number; closed when the order is in force there
}

// siblingSet is the processes that are linked to this one.
type siblingSet struct {
	added chan struct{} // holds a token once there is another

	mu       sync.Mutex // guards all below
	all      map[*sibling]struct{}
	lastID   int
	listener *handover.Listener // nil: not waiting for another process
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

// dropSibling ends all sharing with a process that is gone.
func (s *Scheduler) dropSibling(b *sibling) {
	s.planners.RemoveSibling(b.id)
	if s.eventStreams != nil {
		s.eventStreams.EndMirror(b.id)
	}
}

// start sends the first message, if there is one, and then what was sent before.
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

// descriptorsInUse returns how many descriptors the process holds: what it has reported,
// or what any process holds at least.
func (b *sibling) descriptorsInUse() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(fixedDescriptors, b.descriptors)
}

// publish passes on what a planner of this process does.
func (b *sibling) publish(planner int, shared dispatch.SiblingState) {
	b.send(&handover.Message{PlannerUpdate: &handover.PlannerUpdate{Planner: planner, Shared: shared}, Descriptors: b.scheduler.descriptorsInUse()})
}

// Message takes a message of the other process in, on the link's event loop.
func (b *sibling) Message(_ *handover.Link, m *handover.Message) {
	s := b.scheduler
	if m.PlannerUpdate != nil {
		s.planners.UpdateSibling(b.id, m.PlannerUpdate.Planner, m.PlannerUpdate.Shared)
	}
	if m.Stream != nil && s.eventStreams != nil {
		s.eventStreams.AddMirrored(b.id, m.Stream)
	}
	if m.Order != nil {
		go b.executeOrder(m.Order)
	}
	if b.update(m) {
		s.rebalanceResources()
	}
	if m.Serving {
		s.options.Log.Info("the new process accepts connections, this one has stopped accepting")
		for _, server := range s.servers {
			server.Pause()
		}
		if s.peerLink != nil {
			s.peerLink.Pause()
		}
	}
}

// update notes what a message says of the process itself, and reports whether the number
// of its descriptors changed.
func (b *sibling) update(m *handover.Message) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m.ConfirmedOrder != 0 {
		if done := b.pendingOrders[m.ConfirmedOrder]; done != nil {
			close(done)
			delete(b.pendingOrders, m.ConfirmedOrder)
		}
	}
	changed = m.Descriptors != 0 && m.Descriptors != b.descriptors
	if m.Descriptors != 0 {
		b.descriptors = m.Descriptors
	}
	if m.Serving {
		b.serving = true
	}
	return changed
}

// Lost takes in that the link is gone, on its event loop. If the other process accepted
// connections, this one does so again.
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

// reportDescriptors tells the siblings how many descriptors are in use here, as long as
// there are siblings, until the context ends. Without any it does not wake up.
func (s *Scheduler) reportDescriptors(ctx context.Context) {
	for {
		select {
		case <-s.siblings.added:
			s.reportWhileLinked(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// reportWhileLinked reports each change until there is no sibling or the context ends.
func (s *Scheduler) reportWhileLinked(ctx context.Context) {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for last := 0; ; {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		siblings, used := s.siblingList(), s.descriptorsInUse()
		if len(siblings) == 0 {
			return
		}
		if used != last {
			for _, b := range siblings {
				b.send(&handover.Message{Descriptors: used})
			}
		}
		last = used
	}
}

// executeOrder carries out an order that the other process forwards, and confirms it.
func (b *sibling) executeOrder(o *handover.Order) {
	ctx, stop := context.WithTimeout(context.Background(), orderTimeout)
	defer stop()
	err := b.scheduler.applyCordon(ctx, o.Host, o.Out)
	if err == nil {
		err = b.scheduler.forwardOrder(ctx, o.Host, o.Out, b)
	}
	if err != nil {
		b.scheduler.options.Log.Warn("a cordon order forwarded by the other process failed", "worker", o.Host, "out", o.Out, "err", err)
		return
	}
	b.send(&handover.Message{ConfirmedOrder: o.Number})
}

// forwardOrder has the siblings but for origin carry out an order, too, and waits until
// each has confirmed it or is gone.
func (s *Scheduler) forwardOrder(ctx context.Context, host string, out bool, origin *sibling) error {
	ctx, stop := context.WithTimeout(ctx, orderTimeout)
	defer stop()
	for _, b := range s.siblingList() {
		if b == origin {
			continue
		}
		if err := b.order(ctx, host, out); err != nil {
			return err
		}
	}
	return nil
}

// order has the process carry out an order and waits for its confirmation. One that does
// not confirm before the context ends is dropped: it may hold another state than this one.
func (b *sibling) order(ctx context.Context, host string, out bool) error {
	done := make(chan struct{})
	b.mu.Lock()
	b.lastOrder++
	number := b.lastOrder
	b.pendingOrders[number] = done
	b.mu.Unlock()
	b.send(&handover.Message{Order: &handover.Order{Number: number, Host: host, Out: out}})
	select {
	case <-done:
		return nil
	case <-b.done:
		return nil
	case <-ctx.Done():
	}
	b.mu.Lock()
	link := b.link
	b.mu.Unlock()
	if link != nil {
		link.Drop(errNotAnswering)
	}
	return errOrderUnconfirmed
}
