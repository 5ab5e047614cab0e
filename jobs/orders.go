package jobs

import "time"

// startsMost is how many starts one call to a side agent carries: a few megabytes with the longest texts.
const startsMost = 1000

// DirtyWorkers returns the workers whose side agents should be told something, and forgets which they were.
func (b *Book) DirtyWorkers() []*Worker {
	var dirty []*Worker
	for _, w := range b.workers {
		if w.dirty {
			w.dirty = false
			dirty = append(dirty, w)
		}
	}
	return dirty
}

// Orders returns what a worker's side agent should be told now, or nil. What is too much for one call is due for the next.
func (b *Book) Orders(now time.Duration, w *Worker, sentNoted int64) *Orders {
	if w.State == Unheard || w.State == Lapsed {
		return nil
	}
	orders := &Orders{Instance: w.Instance, Life: w.Life, Noted: w.noted}
	if w.unknown {
		orders.Known = b.demands(w)
		w.unknown = false
	}
	for key, run := range w.Runs {
		due := run.lastSent == 0 || now-run.lastSent >= resendAfter
		switch {
		case !run.durable || !due:
		case run.stopping || !b.wants(run):
			run.lastSent = now
			orders.Stops = append(orders.Stops, key)
		case run.reported || len(orders.Starts) == startsMost:
		default:
			run.lastSent = now
			orders.Starts = append(orders.Starts, b.startOf(run))
		}
	}
	if len(orders.Starts)+len(orders.Stops)+len(orders.Known) == 0 && w.noted == sentNoted {
		return nil
	}
	return orders
}

// demands returns what each run of a worker takes, for a side agent that has just started.
func (b *Book) demands(w *Worker) []Start {
	var known []Start
	for key, run := range w.Runs {
		known = append(known, Start{Task: key.Task, Attempt: key.Attempt, Demand: run.demand})
	}
	return known
}

// wants reports whether a run's task still waits for its end.
func (b *Book) wants(run *Run) bool {
	if run.job == nil || run.job.over() {
		return false
	}
	t := run.job.time(run.at.number)
	if t == nil || t.Done {
		return false
	}
	task := &t.Stages[run.at.stage].Tasks[run.at.index]
	return task.State == Assigned && task.Attempt == run.Key.Attempt
}

func (b *Book) startOf(run *Run) Start {
	task := &run.job.time(run.at.number).Stages[run.at.stage].Tasks[run.at.index]
	return Start{
		Task: run.Key.Task, Attempt: run.Key.Attempt, Text: run.job.Spec.Text, Saved: task.Saved, Demand: run.demand,
	}
}

// Noted returns up to which number the ends that a worker told are durable.
func (b *Book) Noted(w *Worker) int64 { return w.noted }
