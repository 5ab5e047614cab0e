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
	errNotAnswering     = errors.New("the other process has not confirmed a cordon order in time")
)

// sibling is another process of the same scheduler, with which this one shares its state
// during an upgrade. It is the handover.Handler of the link to it.
type sibling struct {
	scheduler *Scheduler
	id        int
	done      chan struct{} // closed once the link is lost

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
	other := &sibling{scheduler: s, id: s.siblings.lastID, done: make(chan struct{}), pendingOrders: map[uint64]chan struct{}{}}
	s.siblings.all[other] = struct{}{}
	select {
	case s.siblings.added <- struct{}{}:
	default:
	}
	return other
}

func (s *Scheduler) siblingList() []*sibling {
	s.siblings.mu.Lock()
	defer s.siblings.mu.Unlock()
	all := make([]*sibling, 0, len(s.siblings.all))
	for other := range s.siblings.all {
		all = append(all, other)
	}
	return all
}

// dropSibling ends all sharing with a process that is gone.
func (s *Scheduler) dropSibling(other *sibling) {
	s.planners.RemoveSibling(other.id)
	if s.eventStreams != nil {
		s.eventStreams.EndMirror(other.id)
	}
}

// start sends the first message, if there is one, and then what was sent before.
func (other *sibling) start(link *handover.Link, first *handover.Message) {
	other.mu.Lock()
	defer other.mu.Unlock()
	other.link, other.started = link, true
	if first != nil {
		link.Send(first)
	}
	for _, m := range other.pending {
		link.Send(m)
	}
	other.pending = nil
}

func (other *sibling) send(m *handover.Message) {
	other.mu.Lock()
	defer other.mu.Unlock()
	switch {
	case other.lost:
	case other.started:
		other.link.Send(m)
	default:
		other.pending = append(other.pending, m)
	}
}

func (other *sibling) isLost() bool {
	other.mu.Lock()
	defer other.mu.Unlock()
	return other.lost
}

// descriptorsInUse returns how many descriptors the process holds: what it has reported,
// or what any process holds at least.
func (other *sibling) descriptorsInUse() int {
	other.mu.Lock()
	defer other.mu.Unlock()
	return max(fixedDescriptors, other.descriptors)
}

// publish sends an update of a planner of this process.
func (other *sibling) publish(planner int, shared dispatch.SiblingState) {
	other.send(&handover.Message{PlannerUpdate: &handover.PlannerUpdate{Planner: planner, Shared: shared}, Descriptors: other.scheduler.descriptorsInUse()})
}

// Message handles a message of the other process, on the link's event loop.
func (other *sibling) Message(_ *handover.Link, m *handover.Message) {
	s := other.scheduler
	if m.PlannerUpdate != nil {
		s.planners.UpdateSibling(other.id, m.PlannerUpdate.Planner, m.PlannerUpdate.Shared)
	}
	if m.Stream != nil && s.eventStreams != nil {
		s.eventStreams.AddMirrored(other.id, m.Stream)
	}
	if m.Order != nil {
		go other.executeOrder(m.Order)
	}
	if other.update(m) {
		s.rebalanceResources()
	}
	if m.Serving {
		s.options.Log.Info("the new process accepts connections, this one has stopped accepting")
		for _, server := range s.servers {
			server.PauseAccepting()
		}
		if s.peerLink != nil {
			s.peerLink.Pause()
		}
	}
}

// update records what a message says of the process itself, and reports whether the number
// of its descriptors changed.
func (other *sibling) update(m *handover.Message) (changed bool) {
	other.mu.Lock()
	defer other.mu.Unlock()
	if m.ConfirmedOrder != 0 {
		if done := other.pendingOrders[m.ConfirmedOrder]; done != nil {
			close(done)
			delete(other.pendingOrders, m.ConfirmedOrder)
		}
	}
	changed = m.Descriptors != 0 && m.Descriptors != other.descriptors
	if m.Descriptors != 0 {
		other.descriptors = m.Descriptors
	}
	if m.Serving {
		other.serving = true
	}
	return changed
}

// Lost is called once the link has failed, on its event loop. If the other process accepted
// connections, this one does so again.
func (other *sibling) Lost(*handover.Link) {
	s := other.scheduler
	s.siblings.mu.Lock()
	delete(s.siblings.all, other)
	s.siblings.mu.Unlock()
	other.mu.Lock()
	other.lost, other.pending = true, nil
	serving := other.serving
	other.mu.Unlock()
	close(other.done)
	s.dropSibling(other)
	s.rebalanceResources()
	if serving {
		for _, server := range s.servers {
			server.ResumeAccepting()
		}
		if s.peerLink != nil {
			s.peerLink.Resume()
		}
	}
}

// reportDescriptors sends the siblings the number of descriptors in use here, as long as
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
			for _, other := range siblings {
				other.send(&handover.Message{Descriptors: used})
			}
		}
		last = used
	}
}

// executeOrder carries out an order that the other process forwards, and confirms it.
func (other *sibling) executeOrder(o *handover.Order) {
	ctx, stop := context.WithTimeout(context.Background(), orderTimeout)
	defer stop()
	err := other.scheduler.applyCordon(ctx, o.Host, o.Cordon)
	if err == nil {
		err = other.scheduler.forwardOrder(ctx, o.Host, o.Cordon, other)
	}
	if err != nil {
		other.scheduler.options.Log.Warn("a cordon order forwarded by the other process failed", "worker", o.Host, "out", o.Cordon, "err", err)
		return
	}
	other.send(&handover.Message{ConfirmedOrder: o.Number})
}

// forwardOrder has the siblings but for origin carry out an order, too, and waits until
// each has confirmed it or is gone.
func (s *Scheduler) forwardOrder(ctx context.Context, host string, cordon bool, origin *sibling) error {
	ctx, stop := context.WithTimeout(ctx, orderTimeout)
	defer stop()
	for _, other := range s.siblingList() {
		if other == origin {
			continue
		}
		if err := other.order(ctx, host, cordon); err != nil {
			return err
		}
	}
	return nil
}

// order has the process carry out an order and waits for its confirmation. One that does
// not confirm before the context ends is dropped: it may hold another state than this one.
func (other *sibling) order(ctx context.Context, host string, cordon bool) error {
	done := make(chan struct{})
	other.mu.Lock()
	other.lastOrder++
	number := other.lastOrder
	other.pendingOrders[number] = done
	other.mu.Unlock()
	other.send(&handover.Message{Order: &handover.Order{Number: number, Host: host, Cordon: cordon}})
	select {
	case <-done:
		return nil
	case <-other.done:
		return nil
	case <-ctx.Done():
	}
	other.mu.Lock()
	link := other.link
	other.mu.Unlock()
	if link != nil {
		link.Drop(errNotAnswering)
	}
	return errOrderUnconfirmed
}
