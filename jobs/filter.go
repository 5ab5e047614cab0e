package jobs

import "slices"

const (
	maxFullScanWorkers = 64 // number of ready workers up to which all are filtered
	maxSampledWorkers  = 16 // number of fitting workers at which the search in a larger shard ends
)

// findFitting returns workers that can take one more task of a group now, in addition to the tasks that the plan places on
// them. In a large shard it returns a sample, to bound the cost of a placement: it first searches the rack of the group's input
// data and then all workers, starting at a random one.
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

// filterWorkers returns the first workers, up to limit, that can take a task of a group now. The plan may be nil.
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
			total = total.Plus(plan.demand[w])
			planned = plan.tasks[w]
		}
		if w.fits(total) && c.reservationAllows(w, group, total) && w.isFeasible(group, planned) {
			fitting = append(fitting, w)
		}
	}
	return fitting
}

// isFeasible reports whether the worker's total capacity, its labels and the stage's anti-affinity permit a task of a group,
// regardless of the free capacity. The argument planned is the number of the group's tasks that a plan already places on it.
func (w *Worker) isFeasible(group *taskGroup, planned int) bool {
	stage := group.spec()
	if !w.Capacity.Holds(stage.demand()) || !w.hasLabels(stage.Constraints) {
		return false
	}
	return stage.AntiAffinity <= 0 || w.countRuns(group)+planned < stage.AntiAffinity
}

// feasibleAnywhere reports whether any ready worker is feasible for a group.
func (c *cycle) feasibleAnywhere(group *taskGroup) bool {
	return slices.ContainsFunc(c.ready, func(w *Worker) bool { return w.isFeasible(group, 0) })
}

// countRuns returns the number of the worker's runs of the group's stage and occurrence.
func (w *Worker) countRuns(group *taskGroup) int {
	n := 0
	for _, run := range w.Runs {
		position := run.position
		if position.jobID == group.job.ID && position.occurrence == group.occurrence.Number && position.stage == group.stage {
			n++
		}
	}
	return n
}

// prefer returns the workers that satisfy a soft constraint, or all workers if none does.
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
