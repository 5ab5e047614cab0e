package jobs

import "time"

const (
	resendInterval   = 300 * time.Millisecond // interval between sends of an unconfirmed order
	maxStartsPerCall = 1000                   // limits the orders to a few megabytes even with the longest Spec.Text
)

// WorkersWithOrders returns the workers that have had orders due since the last call.
func (s *Scheduler) WorkersWithOrders() []*Worker {
	var due []*Worker
	for _, w := range s.workers {
		if w.ordersDue {
			w.ordersDue = false
			due = append(due, w)
		}
	}
	return due
}

// Orders returns the orders to send to a worker's agent now, or nil if there are none. Starts in excess of maxStartsPerCall are
// left for the next call. The argument acknowledged is the highest DurableCompletions that the agent has confirmed.
func (s *Scheduler) Orders(now time.Duration, w *Worker, acknowledged int64) *Orders {
	if w.State == Unconfirmed || w.State == LeaseExpired {
		return nil
	}
	orders := &Orders{Instance: w.Instance, AgentIncarnation: w.AgentIncarnation, DurableCompletions: w.durableCompletions}
	if w.demandsUnknown {
		orders.KnownDemands = w.runDemands()
		w.demandsUnknown = false
	}
	for key, run := range w.Runs {
		due := run.lastSent == 0 || now-run.lastSent >= resendInterval
		switch {
		case !run.durable || !due:
		case run.stopping || !run.isCurrent():
			run.lastSent = now
			orders.Stops = append(orders.Stops, key)
		case run.reported || len(orders.Starts) == maxStartsPerCall:
		default:
			run.lastSent = now
			orders.Starts = append(orders.Starts, run.startOrder())
		}
	}
	if len(orders.Starts)+len(orders.Stops)+len(orders.KnownDemands) == 0 && w.durableCompletions == acknowledged {
		return nil
	}
	return orders
}

// runDemands returns the demand of each run, for an agent that does not know all of them.
func (w *Worker) runDemands() []Start {
	var demands []Start
	for key, run := range w.Runs {
		demands = append(demands, Start{Task: key.Task, Attempt: key.Attempt, Demand: run.demand})
	}
	return demands
}

// startOrder returns the order to start the run, which must be current.
func (r *Run) startOrder() Start {
	_, _, task := r.task()
	return Start{
		Task: r.Key.Task, Attempt: r.Key.Attempt, Spec: r.job.Spec.Text, Checkpoint: task.Checkpoint, Demand: r.demand,
	}
}

// DurableCompletions returns the number up to which the worker's finished runs are committed.
func (s *Scheduler) DurableCompletions(w *Worker) int64 { return w.durableCompletions }
