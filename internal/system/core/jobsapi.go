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

// owned returns the owner of a shard on this scheduler, if a quorum has confirmed it a moment ago.
func (c *Core) owned(name string) (*owner, error) {
	c.mu.Lock()
	o := c.owners[name]
	c.mu.Unlock()
	if o == nil || !o.active() {
		return nil, result.Errorf(result.NotOwner, "%s does not own %s", c.address, name)
	}
	if !o.fresh() {
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
	if err := c.read(ctx, registerName); err != nil {
		return result.Errorf(result.NotReady, "configuration %d is not known here: %w", version, err)
	}
	return nil
}

func (c *Core) submit(ctx context.Context, r *api.SubmitRequest) (*api.Empty, error) {
	o, err := c.owned(r.Shard)
	if err != nil {
		return nil, err
	}
	if err := c.catchUp(ctx, r.ConfigVersion); err != nil {
		return nil, err
	}
	o.mu.Lock()
	if !o.book.Knows(r.Queue) {
		o.mu.Unlock()
		return nil, result.Errorf(result.NoRoute, "queue %s is not in the newest configuration", r.Queue)
	}
	if o.book.Unended() > maxUnendedJobs {
		o.mu.Unlock()
		return nil, result.Errorf(result.Overloaded, "shard %s: %d jobs have not ended", r.Shard, maxUnendedJobs)
	}
	durable, err := o.book.Submit(o.steady(), wallMS(), r.ID, r.Queue, r.Body)
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
	return &api.Empty{}, o.waitIn(ctx, sequence)
}

// waitIn waits for a change to be durable, with a bound of its own.
func (o *owner) waitIn(ctx context.Context, sequence int64) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return o.waitDurable(ctx, sequence)
}

func (c *Core) status(ctx context.Context, r *api.JobRequest) (*api.JobResponse, error) {
	o, err := c.owned(r.Shard)
	if err != nil {
		return nil, err
	}
	o.mu.Lock()
	uncertain := o.book.Uncertain(r.ID)
	sequence := o.primary.Sequence()
	o.mu.Unlock()
	if uncertain {
		if err := o.waitIn(ctx, sequence); err != nil {
			return nil, err
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	state, known := o.book.Status(r.ID)
	if !known {
		return nil, result.Errorf(result.NoJob, "no job %s", r.ID)
	}
	return &api.JobResponse{State: string(state)}, nil
}

func (c *Core) cancel(ctx context.Context, r *api.JobRequest) (*api.Empty, error) {
	o, err := c.owned(r.Shard)
	if err != nil {
		return nil, err
	}
	o.mu.Lock()
	known := o.book.Cancel(o.steady(), r.ID)
	sequence := o.flush()
	o.mu.Unlock()
	if !known {
		return nil, result.Errorf(result.NoJob, "no job %s", r.ID)
	}
	return &api.Empty{}, o.waitIn(ctx, sequence)
}

func (c *Core) pending(_ context.Context, r *api.PendingRequest) (*api.PendingResponse, error) {
	o, err := c.owned(r.Shard)
	if err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return &api.PendingResponse{Pending: int64(o.book.Pending(r.Queue))}, nil
}

// report takes what a side agent tells and grants it a lease.
func (c *Core) report(_ context.Context, r *api.ReportRequest) (*api.ReportResponse, error) {
	o, err := c.owned(r.Shard)
	if err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	name, admitted := o.sessions.admit(r.Report.Side, r.Session, r.Sequence)
	if !admitted {
		return &api.ReportResponse{Token: o.token, Session: name}, nil
	}
	w := o.book.Report(o.steady(), &r.Report)
	o.flush()
	return &api.ReportResponse{Token: o.token, Noted: o.book.Noted(w), Session: name, Accepted: true}, nil
}

// sideLink tells one side agent what to start and stop.
type sideLink struct {
	worker *jobs.Worker
	wake   chan struct{}
}

func (s *sideLink) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// side returns the link to a worker's side agent. The lock is held.
func (o *owner) side(w *jobs.Worker) *sideLink {
	s := o.sides[w.Ref]
	if s == nil || s.worker != w {
		s = &sideLink{worker: w, wake: make(chan struct{}, 1)}
		o.sides[w.Ref] = s
		go o.sideLoop(s)
	}
	return s
}

// sideLoop sends orders to a side agent, one call at a time, for as long as its worker is known.
func (o *owner) sideLoop(s *sideLink) {
	sentNoted := int64(0)
	for {
		select {
		case <-s.wake:
		case <-o.done.Done():
			return
		}
		o.mu.Lock()
		if o.book.Worker(s.worker.Ref) != s.worker {
			delete(o.sides, s.worker.Ref)
			o.mu.Unlock()
			return
		}
		var orders *jobs.Orders
		if o.freshLocked() {
			orders = o.book.Orders(o.steady(), s.worker, sentNoted)
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
	ctx, cancel := context.WithTimeout(o.done, orderTimeout)
	defer cancel()
	request := &api.OrdersRequest{Token: o.token, Orders: *orders}
	err := o.core.client.Call(ctx, address, api.MethodOrders, request, &api.Empty{})
	if err != nil {
		o.core.logger.V(1).Info("orders not delivered", "side", address, "error", err.Error())
	}
	return err
}
