package jobs

import "slices"

const (
	maxFullScanWorkers = 64 // ready workers of a shard up to which all are filtered
	maxSampledWorkers  = 16 // workers that pass the filter and are enough in a larger shard
)

// findFitting returns workers that can take a task of a group now, in addition to what a plan has assigned to them already. In a large
// shard it looks for a sample, from a random worker on, so that the cost of a placement is bounded; workers in the rack of
// the data come first there.
func (s *Scheduler) findFitting(c *cycle, group *taskGroup, plan *gangPlan) []*Worker {
	if len(c.ready) <= maxFullScanWorkers {
		return c.filterWorkers(group, plan, c.ready, len(c.ready))
	}
	if rack := group.spec().AffinityTo; rack != "" {
		if fitting := c.filterWorkers(group, plan, c.readyInRack(rack), maxSampledWorkers); len(fitting) > 0 {
			return fitting
		}
	}
	from := s.random.IntN(len(c.ready))
	fitting := c.filterWorkers(group, plan, c.ready[from:], maxSampledWorkers)
	if len(fitting) >= maxSampledWorkers {
		return fitting
	}
	return append(fitting, c.filterWorkers(group, plan, c.ready[:from], maxSampledWorkers-len(fitting))...)
}

// readyInRack returns the ready workers of a rack.
func (c *cycle) readyInRack(rack string) []*Worker {
	if c.workersByRack == nil {
		c.workersByRack = map[string][]*Worker{}
		for _, w := range c.ready {
			c.workersByRack[w.rack()] = append(c.workersByRack[w.rack()], w)
		}
	}
	return c.workersByRack[rack]
}

// filterWorkers returns the first workers, limit at most, that can take a task of a group now. The plan may be nil.
func (c *cycle) filterWorkers(group *taskGroup, plan *gangPlan, workers []*Worker, limit int) []*Worker {
	demand := group.spec().demand()
	var fitting []*Worker
	for _, w := range workers {
		if len(fitting) >= limit {
			break
		}
		total := demand
		planned := 0
		if plan != nil {
			if plan.rack != "" && w.rack() != plan.rack {
				continue
			}
			total = total.plus(plan.demand[w])
			planned = plan.tasks[w]
		}
		if w.fits(total) && c.reservationAllows(w, group, total) && w.isFeasible(group, planned) {
			fitting = append(fitting, w)
		}
	}
	return fitting
}

// isFeasible reports whether the worker could take a task of a group if it were idle, apart from some tasks of the group that
// are planned for it: by its capacity, its labels and the stage's anti-affinity.
func (w *Worker) isFeasible(group *taskGroup, planned int) bool {
	stage := group.spec()
	if !w.Capacity.Holds(stage.demand()) || !w.hasLabels(stage.Constraints) {
		return false
	}
	return stage.AntiAffinity <= 0 || w.countRuns(group)+planned < stage.AntiAffinity
}

// feasibleAnywhere reports whether a ready worker is feasible for a group.
func (c *cycle) feasibleAnywhere(group *taskGroup) bool {
	return slices.ContainsFunc(c.ready, func(w *Worker) bool { return w.isFeasible(group, 0) })
}

// countRuns counts the worker's runs of a group's stage and occurrence.
func (w *Worker) countRuns(group *taskGroup) int {
	n := 0
	for _, run := range w.Runs {
		at := run.position
		if at.id == group.job.ID && at.number == group.occurrence.Number && at.stage == group.stage {
			n++
		}
	}
	return n
}

// prefer returns the workers that satisfy a soft constraint, or all if none does.
func prefer(workers []*Worker, satisfies func(*Worker) bool) []*Worker {
	var preferred []*Worker
	for _, w := range workers {
		if satisfies(w) {
			preferred = append(preferred, w)
		}
	}
	if len(preferred) == 0 {
		return workers
	}
	return preferred
}
