package core

import (
	"context"
	"time"

	"sedgevale/internal/system/api"
	"sedgevale/internal/system/result"
	"sedgevale/internal/system/rpc"
	"sedgevale/jobs"
)

const (
	commitTimeout = 2500 * time.Millisecond
	orderTimeout  = 700 * time.Millisecond
)

func (c *Core) handleJobs(server *rpc.Server) {
	rpc.Handle(server, api.MethodSubmit, c.submit)
	rpc.Handle(server, api.MethodStatus, c.status)
	rpc.Handle(server, api.MethodCancel, c.cancel)
	rpc.Handle(server, api.MethodPending, c.pending)
	rpc.Handle(server, api.MethodReport, c.report)
}

// activeOwner returns the owner of a shard on this scheduler, if a quorum has confirmed it a moment ago.
func (c *Core) activeOwner(name string) (*owner, error) {
	c.mu.Lock()
	o := c.owners[name]
	c.mu.Unlock()
	if o == nil || !o.active() {
		return nil, result.Errorf(result.NotOwner, "%s does not own %s", c.address, name)
	}
	if !o.leaseValid() {
		return nil, result.Errorf(result.NotReady, "%s has no quorum for %s", c.address, name)
	}
	return o, nil
}

// catchUp makes sure that the configuration here is not older than the caller's.
func (c *Core) catchUp(ctx context.Context, version int64) error {
	state := c.currentConfig()
	if state != nil && state.record.Version >= version {
		return nil
	}
	if err := c.read(ctx, configRegister); err != nil {
		return result.Errorf(result.NotReady, "configuration %d is not known here: %w", version, err)
	}
	return nil
}

func (c *Core) submit(ctx context.Context, r *api.SubmitRequest) (*api.Empty, error) {
	o, err := c.activeOwner(r.Shard)
	if err != nil {
		return nil, err
	}
	if err := c.catchUp(ctx, r.ConfigVersion); err != nil {
		return nil, err
	}
	o.mu.Lock()
	if !o.scheduler.Knows(r.Queue) {
		o.mu.Unlock()
		return nil, result.Errorf(result.NoRoute, "queue %s is not in the newest configuration", r.Queue)
	}
	if o.scheduler.Unended() > maxUnfinishedJobs {
		o.mu.Unlock()
		return nil, result.Errorf(result.Overloaded, "shard %s: %d jobs have not ended", r.Shard, maxUnfinishedJobs)
	}
	durable, err := o.scheduler.Submit(o.monotonicNow(), wallClockMS(), r.ID, r.Queue, r.Body)
	if err != nil {
		o.mu.Unlock()
		return nil, result.Errorf(result.Invalid, "job %s: %w", r.ID, err)
	}
	if durable {
		o.mu.Unlock()
		return &api.Empty{}, nil
	}
	sequence := o.flush()
	o.mu.Unlock()
	return &api.Empty{}, o.waitCommittedWithin(ctx, sequence)
}

// waitCommittedWithin waits for a change to be durable, with a bound of its own.
func (o *owner) waitCommittedWithin(ctx context.Context, sequence int64) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return o.waitCommitted(ctx, sequence)
}

func (c *Core) status(ctx context.Context, r *api.JobRequest) (*api.JobResponse, error) {
	o, err := c.activeOwner(r.Shard)
	if err != nil {
		return nil, err
	}
	o.mu.Lock()
	uncertain := o.scheduler.Uncertain(r.ID)
	sequence := o.primary.Sequence()
	o.mu.Unlock()
	if uncertain {
		if err := o.waitCommittedWithin(ctx, sequence); err != nil {
			return nil, err
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	state, known := o.scheduler.Status(r.ID)
	if !known {
		return nil, result.Errorf(result.NoJob, "no job %s", r.ID)
	}
	return &api.JobResponse{State: string(state)}, nil
}

func (c *Core) cancel(ctx context.Context, r *api.JobRequest) (*api.Empty, error) {
	o, err := c.activeOwner(r.Shard)
	if err != nil {
		return nil, err
	}
	o.mu.Lock()
	known := o.scheduler.Cancel(o.monotonicNow(), r.ID)
	sequence := o.flush()
	o.mu.Unlock()
	if !known {
		return nil, result.Errorf(result.NoJob, "no job %s", r.ID)
	}
	return &api.Empty{}, o.waitCommittedWithin(ctx, sequence)
}

func (c *Core) pending(_ context.Context, r *api.PendingRequest) (*api.PendingResponse, error) {
	o, err := c.activeOwner(r.Shard)
	if err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return &api.PendingResponse{Pending: int64(o.scheduler.Pending(r.Queue))}, nil
}

// report takes what a side agent tells and grants it a lease.
func (c *Core) report(_ context.Context, r *api.ReportRequest) (*api.ReportResponse, error) {
	o, err := c.activeOwner(r.Shard)
	if err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	name, admitted := o.sessions.admit(r.Report.Side, r.Session, r.Sequence)
	if !admitted {
		return &api.ReportResponse{Token: o.token, Session: name}, nil
	}
	w := o.scheduler.Report(o.monotonicNow(), &r.Report)
	o.flush()
	return &api.ReportResponse{Token: o.token, Noted: o.scheduler.Noted(w), Session: name, Accepted: true}, nil
}

// orderSender tells one side agent what to start and stop.
type orderSender struct {
	worker *jobs.Worker
	wake   chan struct{}
}

func (s *orderSender) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// orderSenderFor returns the link to a worker's side agent. The lock is held.
func (o *owner) orderSenderFor(w *jobs.Worker) *orderSender {
	s := o.orderSenders[w.Ref]
	if s == nil || s.worker != w {
		s = &orderSender{worker: w, wake: make(chan struct{}, 1)}
		o.orderSenders[w.Ref] = s
		go o.sendOrdersLoop(s)
	}
	return s
}

// sendOrdersLoop sends orders to a side agent, one call at a time, for as long as its worker is known.
func (o *owner) sendOrdersLoop(s *orderSender) {
	sentNoted := int64(0)
	for {
		select {
		case <-s.wake:
		case <-o.ctx.Done():
			return
		}
		o.mu.Lock()
		if o.scheduler.Worker(s.worker.Ref) != s.worker {
			delete(o.orderSenders, s.worker.Ref)
			o.mu.Unlock()
			return
		}
		var orders *jobs.Orders
		if o.leaseValidLocked() {
			orders = o.scheduler.Orders(o.monotonicNow(), s.worker, sentNoted)
		}
		o.mu.Unlock()
		if orders == nil {
			continue
		}
		if o.sendOrders(s.worker.Side, orders) == nil {
			sentNoted = orders.Noted
		}
	}
}

func (o *owner) sendOrders(address string, orders *jobs.Orders) error {
	ctx, cancel := context.WithTimeout(o.ctx, orderTimeout)
	defer cancel()
	request := &api.OrdersRequest{Token: o.token, Orders: *orders}
	err := o.core.client.Call(ctx, address, api.MethodOrders, request, &api.Empty{})
	if err != nil {
		o.core.logger.V(1).Info("sending orders failed", "side", address, "error", err.Error())
	}
	return err
}
