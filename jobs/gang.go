package jobs

import "slices"

// gangPlan is a tentative placement of a gang. It is executed only if there is a worker for every member.
type gangPlan struct {
	rack   string                // rack to which the placement is restricted; "" for no restriction
	demand map[*Worker]Resources // planned demand per worker
	tasks  map[*Worker]int       // number of planned tasks per worker
}

// placeGang places either all members of a gang or none. It reports whether the queue still has credit.
func (s *Scheduler) placeGang(c *cycle, group *taskGroup) bool {
	members := group.spec().Count
	if len(group.tasks) < members {
		c.unschedulable[group] = true
		return true
	}
	workers := s.planGang(c, group)
	if workers == nil {
		s.markUnschedulable(c, group, members)
		return true
	}
	indexes := slices.Clone(group.tasks)
	s.dequeue(group, len(indexes))
	for i, index := range indexes {
		s.assign(c, group, workers[i], index)
	}
	return group.queue.deficit.Charge(group.estimatedWork() * float64(len(indexes)))
}

// planGang returns a worker for each member, or nil if there is no placement. A rack-local gang waits for a bounded time for a
// placement within one rack before it uses several.
func (s *Scheduler) planGang(c *cycle, group *taskGroup) []*Worker {
	if group.spec().RackLocal {
		racks := map[string]bool{}
		for _, w := range c.ready {
			racks[w.rack()] = true
		}
		for rack := range racks {
			if workers := s.planGangIn(c, group, rack); workers != nil {
				return workers
			}
		}
		if len(group.tasks) > 1 && s.shouldWaitForRack(c, group) {
			return nil
		}
	}
	return s.planGangIn(c, group, "")
}

// planGangIn returns a worker for each member, or nil if there is no placement. It uses only the given rack unless that is "".
func (s *Scheduler) planGangIn(c *cycle, group *taskGroup, rack string) []*Worker {
	plan := &gangPlan{rack: rack, demand: map[*Worker]Resources{}, tasks: map[*Worker]int{}}
	demand := group.spec().demand()
	var workers []*Worker
	for range group.tasks {
		w := s.pickWorker(c, group, plan)
		if w == nil {
			return nil
		}
		plan.demand[w] = plan.demand[w].Plus(demand)
		plan.tasks[w]++
		workers = append(workers, w)
	}
	return workers
}
