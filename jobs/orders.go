package jobs

import "time"

// maxStartsPerCall is how many starts one call to a side agent carries: a few megabytes with the longest texts.
const maxStartsPerCall = 1000

// DirtyWorkers returns the workers whose side agents should be told something, and forgets which they were.
func (s *Book) DirtyWorkers() []*Worker {
	var dirty []*Worker
	for _, w := range s.workers {
		if w.ordersDue {
			w.ordersDue = false
			dirty = append(dirty, w)
		}
	}
	return dirty
}

// Orders returns what a worker's side agent should be told now, or nil. What is too much for one call is due for the next.
func (s *Book) Orders(now time.Duration, w *Worker, sentNoted int64) *Orders {
	if w.State == Unconfirmed || w.State == Lapsed {
		return nil
	}
	orders := &Orders{Instance: w.Instance, Life: w.AgentIncarnation, Noted: w.durableCompletions}
	if w.demandsUnknown {
		orders.Known = s.runDemands(w)
		w.demandsUnknown = false
	}
	for key, run := range w.Runs {
		due := run.lastSent == 0 || now-run.lastSent >= resendInterval
		switch {
		case !run.durable || !due:
		case run.stopping || !s.needsRun(run):
			run.lastSent = now
			orders.Stops = append(orders.Stops, key)
		case run.reported || len(orders.Starts) == maxStartsPerCall:
		default:
			run.lastSent = now
			orders.Starts = append(orders.Starts, s.startOrder(run))
		}
	}
	if len(orders.Starts)+len(orders.Stops)+len(orders.Known) == 0 && w.durableCompletions == sentNoted {
		return nil
	}
	return orders
}

// runDemands returns what each run of a worker takes, for a side agent that has just started.
func (s *Book) runDemands(w *Worker) []Start {
	var known []Start
	for key, run := range w.Runs {
		known = append(known, Start{Task: key.Task, Attempt: key.Attempt, Demand: run.demand})
	}
	return known
}

// needsRun reports whether a run's task still waits for its end.
func (s *Book) needsRun(run *Run) bool {
	if run.job == nil || run.job.hasEnded() {
		return false
	}
	occurrence := run.job.occurrence(run.position.number)
	if occurrence == nil || occurrence.Done {
		return false
	}
	task := &occurrence.Stages[run.position.stage].Tasks[run.position.index]
	return task.State == TaskAssigned && task.Attempt == run.Key.Attempt
}

func (s *Book) startOrder(run *Run) Start {
	task := &run.job.occurrence(run.position.number).Stages[run.position.stage].Tasks[run.position.index]
	return Start{
		Task: run.Key.Task, Attempt: run.Key.Attempt, Text: run.job.Spec.Text, Saved: task.Checkpoint, Demand: run.demand,
	}
}

// Noted returns up to which number the ends that a worker told are durable.
func (s *Book) Noted(w *Worker) int64 { return w.durableCompletions }
