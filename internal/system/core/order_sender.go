package core

import (
	"context"
	"time"

	"sedgevale/internal/system/api"
	"sedgevale/jobs"
)

const orderTimeout = 700 * time.Millisecond

// orderSender sends the agent of one worker the orders to start and stop runs.
type orderSender struct {
	worker *jobs.Worker
	wake   signal // wakes sendOrdersLoop to check for orders
}

// orderSenderFor returns the sender of a worker and starts one if there is none. o.mu is held.
func (o *owner) orderSenderFor(w *jobs.Worker) *orderSender {
	s := o.orderSenders[w.Ref]
	if s == nil || s.worker != w {
		s = &orderSender{worker: w, wake: newSignal()}
		o.orderSenders[w.Ref] = s
		o.goroutines.Go(func(ctx context.Context) { o.sendOrdersLoop(ctx, s) })
	}
	return s
}

// sendOrdersLoop sends orders to a worker's agent, one call at a time, until the scheduler removes the worker.
func (o *owner) sendOrdersLoop(ctx context.Context, s *orderSender) {
	acknowledged := int64(0) // highest Orders.DurableCompletions that the agent has acknowledged
	for {
		select {
		case <-s.wake:
		case <-ctx.Done():
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
			orders = o.scheduler.Orders(o.monotonicNow(), s.worker, acknowledged)
		}
		o.mu.Unlock()
		if orders == nil {
			continue
		}
		if o.sendOrders(ctx, s.worker.AgentAddress, orders) == nil {
			acknowledged = orders.DurableCompletions
		}
	}
}

func (o *owner) sendOrders(ctx context.Context, address string, orders *jobs.Orders) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	request := &api.OrdersRequest{Token: o.token, Orders: *orders}
	err := o.core.client.Call(ctx, address, api.MethodOrders, request, &api.Empty{})
	if err != nil {
		o.core.logger.V(1).Info("sending orders to a worker agent failed; retrying", "agent", address, "error", err.Error())
	}
	return err
}
