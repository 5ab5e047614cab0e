package jobs

import "slices"

// findFitting returns workers that may take a task of the unit now: all of them in a small shard, in a large one a few
// from a random place on, so that a placement costs the same there. Those in the rack of the data come first.
func (s *Book) findFitting(c *cycle, group *taskGroup, plan *gangPlan) []*Worker {
	if len(c.ready) <= maxFullScanWorkers {
		return s.filterWorkers(c, group, plan, c.ready, len(c.ready))
	}
	if rack := group.job.Spec.Stages[group.stage].AffinityTo; rack != "" {
		if fits := s.filterWorkers(c, group, plan, c.readyInRack(rack), maxSampledWorkers); len(fits) > 0 {
			return fits
		}
	}
	from := s.random.IntN(len(c.ready))
	fits := s.filterWorkers(c, group, plan, c.ready[from:], maxSampledWorkers)
	if len(fits) >= maxSampledWorkers {
		return fits
	}
	return append(fits, s.filterWorkers(c, group, plan, c.ready[:from], maxSampledWorkers-len(fits))...)
}

// readyInRack returns the workers of a rack that take starts.
func (c *cycle) readyInRack(rack string) []*Worker {
	if c.workersByRack == nil {
		c.workersByRack = map[string][]*Worker{}
		for _, w := range c.ready {
			c.workersByRack[w.rack()] = append(c.workersByRack[w.rack()], w)
		}
	}
	return c.workersByRack[rack]
}

// filterWorkers returns at most so many of some workers that may take a task of the unit now.
func (s *Book) filterWorkers(c *cycle, group *taskGroup, plan *gangPlan, workers []*Worker, most int) []*Worker {
	demand := group.job.Spec.Stages[group.stage].demand()
	var fits []*Worker
	for _, w := range workers {
		if len(fits) >= most {
			break
		}
		wanted := demand
		count := 0
		if plan != nil {
			if plan.rack != "" && w.rack() != plan.rack {
				continue
			}
			wanted = wanted.plus(plan.demand[w])
			count = plan.tasks[w]
		}
		if !w.fits(wanted) || !c.reservationAllows(w, group, wanted) || !s.feasible(w, group, count) {
			continue
		}
		fits = append(fits, w)
	}
	return fits
}

// feasible reports whether a worker, if it were empty, could take a task of a unit beside so many that are meant for it: by its
// capacity, its labels and the unit's anti-affinity.
func (s *Book) feasible(w *Worker, group *taskGroup, meant int) bool {
	stage := &group.job.Spec.Stages[group.stage]
	if !w.Capacity.Holds(stage.demand()) || !w.hasLabels(stage.Constraints) {
		return false
	}
	return stage.AntiAffinity <= 0 || s.colocated(w, group)+meant < stage.AntiAffinity
}

// feasibleAnywhere reports whether a worker that takes tasks could take one of a unit's if it were empty.
func (s *Book) feasibleAnywhere(c *cycle, group *taskGroup) bool {
	return slices.ContainsFunc(c.ready, func(w *Worker) bool { return s.feasible(w, group, 0) })
}

// colocated counts the tasks of a unit's step and time that a worker holds.
func (s *Book) colocated(w *Worker, group *taskGroup) int {
	n := 0
	for _, run := range w.Runs {
		if run.position.id == group.job.ID && run.position.number == group.occurrence.Number && run.position.stage == group.stage {
			n++
		}
	}
	return n
}

// prefer returns those for which good holds, or all where it holds for none.
func prefer(workers []*Worker, good func(*Worker) bool) []*Worker {
	var kept []*Worker
	for _, w := range workers {
		if good(w) {
			kept = append(kept, w)
		}
	}
	if len(kept) == 0 {
		return workers
	}
	return kept
}
