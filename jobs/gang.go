package jobs

// gangPlan is what members of a gang would take, before all have a worker.
type gangPlan struct {
	rack   string
	demand map[*Worker]Resources
	tasks  map[*Worker]int
}

// placeGang places all members of a gang or none.
func (s *Book) placeGang(c *cycle, group *taskGroup) bool {
	stage := &group.job.Spec.Stages[group.stage]
	if len(group.tasks) < stage.Count {
		c.unschedulable[group] = true
		return true
	}
	chosen := s.planGang(c, group)
	if chosen == nil {
		s.markUnschedulable(c, group, stage.Count)
		return true
	}
	indexes := append([]int(nil), group.tasks...)
	s.dequeue(group, len(group.tasks))
	for i, index := range indexes {
		s.assign(c, group, chosen[i], index)
	}
	return group.queue.deficit.Pay(s.estimatedWork(group) * float64(len(indexes)))
}

// planGang returns a worker for each member, in one rack if the gang wants that and one has room.
func (s *Book) planGang(c *cycle, group *taskGroup) []*Worker {
	stage := &group.job.Spec.Stages[group.stage]
	if stage.RackLocal {
		racks := map[string]bool{}
		for _, w := range c.ready {
			racks[w.rack()] = true
		}
		for rack := range racks {
			if chosen := s.planGangIn(c, group, rack); chosen != nil {
				return chosen
			}
		}
		if len(group.tasks) > 1 && s.shouldWaitForRack(c, group) {
			return nil
		}
	}
	return s.planGangIn(c, group, "")
}

// planGangIn looks for workers for all members, in one rack where it is given.
func (s *Book) planGangIn(c *cycle, group *taskGroup, rack string) []*Worker {
	plan := &gangPlan{rack: rack, demand: map[*Worker]Resources{}, tasks: map[*Worker]int{}}
	var chosen []*Worker
	demand := group.job.Spec.Stages[group.stage].demand()
	for range group.tasks {
		w := s.pickWorker(c, group, plan)
		if w == nil {
			return nil
		}
		plan.demand[w] = plan.demand[w].plus(demand)
		plan.tasks[w]++
		chosen = append(chosen, w)
	}
	return chosen
}
