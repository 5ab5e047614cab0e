package jobs

import "time"

const (
	resendInterval   = 300 * time.Millisecond // between two sends of an order that is not confirmed
	maxStartsPerCall = 1000                   // a few megabytes with the longest texts
)

// WorkersWithOrders returns the workers whose agents have orders due, and resets which these are.
func (s *Scheduler) WorkersWithOrders() []*Worker {
	var dirty []*Worker
	for _, w := range s.workers {
		if w.ordersDue {
			w.ordersDue = false
			dirty = append(dirty, w)
		}
	}
	return dirty
}

// Orders returns what is to be sent to a worker's agent now, or nil for nothing; starts above maxStartsPerCall are left for
// the next call. Acknowledged is the number of committed finished runs that the agent knows of.
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
		case run.stopping || !run.isWanted():
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

// runDemands returns the demand of each run, for an agent that has just started.
func (w *Worker) runDemands() []Start {
	var demands []Start
	for key, run := range w.Runs {
		demands = append(demands, Start{Task: key.Task, Attempt: key.Attempt, Demand: run.demand})
	}
	return demands
}

// startOrder returns the order to start a wanted run.
func (r *Run) startOrder() Start {
	_, _, task := r.task()
	return Start{
		Task: r.Key.Task, Attempt: r.Key.Attempt, Text: r.job.Spec.Text, Checkpoint: task.Checkpoint, Demand: r.demand,
	}
}

// DurableCompletions returns the number up to which a worker's finished runs are committed.
func (s *Scheduler) DurableCompletions(w *Worker) int64 { return w.durableCompletions }
