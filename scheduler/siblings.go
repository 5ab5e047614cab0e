package scheduler

import (
	"context"
	"errors"
	"sync"
	"time"

	"sedgevale/internal/dispatchdriver"
	"sedgevale/internal/handover"
)

const (
	descriptorReportInterval = 50 * time.Millisecond
	// cordonForwardTimeout is the time in which a sibling must confirm a forwarded cordon. It is
	// shorter than the second after which an operator's call times out.
	cordonForwardTimeout = 400 * time.Millisecond
)

var (
	errCordonUnconfirmed = errors.New("the other process of the upgrade has not confirmed the order")
	errSiblingTimeout    = errors.New("the other process has not confirmed a cordon request in time")
)

// sibling is another process of the same scheduler, with which this process shares its state
// during an upgrade. It implements handover.Handler for the link to that process.
type sibling struct {
	scheduler *Scheduler
	id        int
	done      chan struct{} // closed when the link is lost

	mu               sync.Mutex // guards the fields below
	link             *handover.Link
	pending          []*handover.Message // messages to be sent after the first message
	started          bool                // the first message has been sent
	lost             bool
	descriptors      int  // number of file descriptors that the process has reported to use
	serving          bool // the process accepts connections in place of this one
	lastCordonNumber uint64
	pendingCordons   map[uint64]chan struct{} // by number; closed when the process has confirmed the cordon
}

// siblingSet is the set of processes that are linked to this one.
type siblingSet struct {
	added chan struct{} // holds a token after a sibling was added

	mu       sync.Mutex // guards the fields below
	all      map[*sibling]struct{}
	lastID   int
	listener *handover.Listener // nil: not listening for a new process
}

func (s *Scheduler) addSibling() *sibling {
	s.siblings.mu.Lock()
	defer s.siblings.mu.Unlock()
	s.siblings.lastID++
	sib := &sibling{scheduler: s, id: s.siblings.lastID, done: make(chan struct{}), pendingCordons: map[uint64]chan struct{}{}}
	s.siblings.all[sib] = struct{}{}
	select {
	case s.siblings.added <- struct{}{}:
	default:
	}
	return sib
}

func (s *Scheduler) siblingList() []*sibling {
	s.siblings.mu.Lock()
	defer s.siblings.mu.Unlock()
	list := make([]*sibling, 0, len(s.siblings.all))
	for sib := range s.siblings.all {
		list = append(list, sib)
	}
	return list
}

// dropSibling stops sharing state with a process whose link is lost.
func (s *Scheduler) dropSibling(sib *sibling) {
	s.planners.RemoveSibling(sib.id)
	if s.eventStreams != nil {
		s.eventStreams.EndMirror(sib.id)
	}
}

// start sends the first message, if any, followed by the pending messages.
func (sib *sibling) start(link *handover.Link, first *handover.Message) {
	sib.mu.Lock()
	defer sib.mu.Unlock()
	sib.link, sib.started = link, true
	if first != nil {
		link.Send(first)
	}
	for _, m := range sib.pending {
		link.Send(m)
	}
	sib.pending = nil
}

func (sib *sibling) send(m *handover.Message) {
	sib.mu.Lock()
	defer sib.mu.Unlock()
	switch {
	case sib.lost:
	case sib.started:
		sib.link.Send(m)
	default:
		sib.pending = append(sib.pending, m)
	}
}

func (sib *sibling) isLost() bool {
	sib.mu.Lock()
	defer sib.mu.Unlock()
	return sib.lost
}

// descriptorsInUse returns the number of file descriptors that the process uses: the number
// that it has reported, but at least fixedDescriptors.
func (sib *sibling) descriptorsInUse() int {
	sib.mu.Lock()
	defer sib.mu.Unlock()
	return max(fixedDescriptors, sib.descriptors)
}

// publish sends the process an update of a planner of this process.
func (sib *sibling) publish(planner int, shared dispatchdriver.SiblingState) {
	sib.send(&handover.Message{PlannerUpdate: &handover.PlannerUpdate{Planner: planner, Shared: shared}, Descriptors: sib.scheduler.descriptorsInUse()})
}

// Message handles a message from the other process. It is called on the link's event loop.
func (sib *sibling) Message(_ *handover.Link, m *handover.Message) {
	s := sib.scheduler
	if m.PlannerUpdate != nil {
		s.planners.UpdateSibling(sib.id, m.PlannerUpdate.Planner, m.PlannerUpdate.Shared)
	}
	if m.Stream != nil && s.eventStreams != nil {
		s.eventStreams.AddMirrored(sib.id, m.Stream)
	}
	if m.Order != nil {
		go sib.applyForwardedCordon(m.Order)
	}
	if sib.update(m) {
		s.rebalanceResources()
	}
	if m.Serving {
		s.options.Log.Info("the new process accepts connections; this process stops accepting")
		for _, server := range s.servers {
			server.PauseAccepting()
		}
		if s.peerLink != nil {
			s.peerLink.Pause()
		}
	}
}

// update records the state and the confirmation that a message of the process carries, and
// reports whether the number of the process's descriptors has changed.
func (sib *sibling) update(m *handover.Message) (changed bool) {
	sib.mu.Lock()
	defer sib.mu.Unlock()
	if m.ConfirmedOrder != 0 {
		if done := sib.pendingCordons[m.ConfirmedOrder]; done != nil {
			close(done)
			delete(sib.pendingCordons, m.ConfirmedOrder)
		}
	}
	changed = m.Descriptors != 0 && m.Descriptors != sib.descriptors
	if m.Descriptors != 0 {
		sib.descriptors = m.Descriptors
	}
	if m.Serving {
		sib.serving = true
	}
	return changed
}

// Lost handles the loss of the link. It is called on the link's event loop. If the other
// process accepted connections, this one resumes accepting.
func (sib *sibling) Lost(*handover.Link) {
	s := sib.scheduler
	s.siblings.mu.Lock()
	delete(s.siblings.all, sib)
	s.siblings.mu.Unlock()
	sib.mu.Lock()
	sib.lost, sib.pending = true, nil
	serving := sib.serving
	sib.mu.Unlock()
	close(sib.done)
	s.dropSibling(sib)
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

// reportDescriptors reports the number of file descriptors in use to the siblings until the
// context ends. It does not wake up while there is no sibling.
func (s *Scheduler) reportDescriptors(ctx context.Context) {
	for {
		select {
		case <-s.siblings.added:
			s.reportDescriptorsWhileLinked(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// reportDescriptorsWhileLinked reports each change until there is no sibling or the context ends.
func (s *Scheduler) reportDescriptorsWhileLinked(ctx context.Context) {
	ticker := time.NewTicker(descriptorReportInterval)
	defer ticker.Stop()
	for last := 0; ; {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		siblings, used := s.siblingList(), s.descriptorsInUse()
		if len(siblings) == 0 {
			return
		}
		if used != last {
			for _, sib := range siblings {
				sib.send(&handover.Message{Descriptors: used})
			}
		}
		last = used
	}
}

// applyForwardedCordon applies a cordon or uncordon that the other process has forwarded, and
// confirms it.
func (sib *sibling) applyForwardedCordon(o *handover.Order) {
	ctx, cancel := context.WithTimeout(context.Background(), cordonForwardTimeout)
	defer cancel()
	err := sib.scheduler.applyCordon(ctx, o.Host, o.Cordon)
	if err == nil {
		err = sib.scheduler.forwardCordonToSiblings(ctx, o.Host, o.Cordon, sib)
	}
	if err != nil {
		sib.scheduler.options.Log.Warn("cannot apply a cordon or uncordon request forwarded by the other process; not confirming it", "worker", o.Host, "out", o.Cordon, "err", err)
		return
	}
	sib.send(&handover.Message{ConfirmedOrder: o.Number})
}

// forwardCordonToSiblings forwards a cordon or uncordon to all siblings except origin, and
// waits until each has confirmed it or its link is lost.
func (s *Scheduler) forwardCordonToSiblings(ctx context.Context, host string, cordon bool, origin *sibling) error {
	ctx, cancel := context.WithTimeout(ctx, cordonForwardTimeout)
	defer cancel()
	for _, sib := range s.siblingList() {
		if sib == origin {
			continue
		}
		if err := sib.forwardCordon(ctx, host, cordon); err != nil {
			return err
		}
	}
	return nil
}

// forwardCordon forwards a cordon or uncordon to the process and waits for its confirmation. If
// the process does not confirm before the context ends, its link is dropped, since its state
// may differ from that of this process.
func (sib *sibling) forwardCordon(ctx context.Context, host string, cordon bool) error {
	done := make(chan struct{})
	sib.mu.Lock()
	sib.lastCordonNumber++
	number := sib.lastCordonNumber
	sib.pendingCordons[number] = done
	sib.mu.Unlock()
	sib.send(&handover.Message{Order: &handover.Order{Number: number, Host: host, Cordon: cordon}})
	select {
	case <-done:
		return nil
	case <-sib.done:
		return nil
	case <-ctx.Done():
	}
	sib.mu.Lock()
	link := sib.link
	sib.mu.Unlock()
	if link != nil {
		link.Drop(errSiblingTimeout)
	}
	return errCordonUnconfirmed
}
