package jobs

import "time"

// heartbeatTimeoutMS is the heartbeat age above which a ready worker counts as unresponsive and receives no starts.
const heartbeatTimeoutMS = 2500

// HandleReport applies an agent's report and returns the worker that it describes.
func (s *Scheduler) HandleReport(now time.Duration, r *Report) *Worker {
	w := s.reportingWorker(now, r)
	if now-w.lastReport >= agentTimeout {
		s.readyStale = true
	}
	w.lastReport = now
	w.leaseExpiry = now + s.options.LeaseTimeout
	s.supersede(now, r)
	s.updateWorker(now, w, r)
	if w.AgentIncarnation != r.AgentIncarnation {
		w.AgentIncarnation = r.AgentIncarnation
		for _, run := range w.Runs {
			run.lastSent = 0
		}
	}
	for _, run := range w.Runs {
		run.reported = false
	}
	s.applyActive(now, w, r)
	for _, key := range r.InFlight {
		if run := w.Runs[key]; run != nil {
			run.reported = true
		}
	}
	s.applyFinished(now, w, r)
	for _, key := range r.Dropped {
		s.finishRun(now, w, key, outcomeDropped, "")
	}
	if w.State == LeaseExpired {
		s.expireWorker(now, w)
	}
	w.demandsUnknown = r.UnknownDemands > 0
	w.ordersDue = true
	return w
}

// reportingWorker returns the worker that the report describes and adds it if it is new.
func (s *Scheduler) reportingWorker(now time.Duration, r *Report) *Worker {
	ref := WorkerRef(r.Instance, r.AgentAddress)
	w := s.workers[ref]
	if w == nil {
		w = newWorker(now, ref, r.Instance, r.AgentAddress)
		s.addWorker(w)
	}
	return w
}

// addWorker adds a worker to the scheduler's indexes.
func (s *Scheduler) addWorker(w *Worker) {
	s.workers[w.Ref] = w
	if s.workersByAgent[w.AgentAddress] == nil {
		s.workersByAgent[w.AgentAddress] = map[string]*Worker{}
	}
	s.workersByAgent[w.AgentAddress][w.Ref] = w
	s.readyStale = true
}

// removeWorker removes a worker without runs from the scheduler's indexes.
func (s *Scheduler) removeWorker(w *Worker) {
	delete(s.workers, w.Ref)
	delete(s.workersByAgent[w.AgentAddress], w.Ref)
	if len(s.workersByAgent[w.AgentAddress]) == 0 {
		delete(s.workersByAgent, w.AgentAddress)
	}
	for _, q := range s.queueOrder {
		delete(q.workerShares, w.Ref)
	}
	s.readyStale = true
}

// supersede expires and removes the earlier incarnations of the worker at the reporting agent once the new one is ready. An
// agent serves a single worker, so a new incarnation means that the earlier one crashed. Only a draining or departed
// incarnation may still have active runs next to its successor.
func (s *Scheduler) supersede(now time.Duration, r *Report) {
	for _, old := range s.workersByAgent[r.AgentAddress] {
		if old.Instance == r.Instance || old.State == Draining || old.State == Departed {
			continue
		}
		if WorkerState(r.State) == Ready {
			s.expireWorker(now, old)
			s.removeWorker(old)
		}
	}
}

// updateWorker applies the reported state, capacity and labels of the worker.
func (s *Scheduler) updateWorker(now time.Duration, w *Worker, r *Report) {
	state := WorkerState(r.State)
	if state == Ready && r.HeartbeatAgeMS > heartbeatTimeoutMS {
		state = Unresponsive
	}
	if state == Unresponsive && w.State != Unresponsive {
		w.decreaseLimit()
	}
	if state == Draining {
		w.DrainDeadline = now + time.Duration(r.DrainRemainingMS)*time.Millisecond
	}
	if r.LeaseRemainingMS > 0 {
		w.leaseExpiry = min(w.leaseExpiry, now+time.Duration(r.LeaseRemainingMS)*time.Millisecond)
	}
	if w.State != state || w.Capacity != r.Capacity {
		w.setState(state)
		w.Capacity = r.Capacity
		for _, run := range w.Runs {
			w.updateShare(run)
		}
		s.updateMeanCapacity()
		s.needsCycle = true
		s.readyStale = true
	}
	w.Labels = r.Labels
	if state == Draining || state == Departed {
		s.stopRunsBeforeDrain(now, w)
	}
}

// applyActive applies the active runs of a report. Runs without an assignment are added so that they are stopped.
func (s *Scheduler) applyActive(now time.Duration, w *Worker, r *Report) {
	for _, active := range r.Active {
		key := active.Ref()
		run := w.Runs[key]
		if run == nil {
			run = s.newOrphanedRun(key)
			w.add(run)
		}
		run.reported = true
		if run.runningSince == 0 {
			run.runningSince = now
			s.markRan(run.job)
		}
		run.percent = max(run.percent, active.Percent)
		s.saveCheckpoint(run, active.Checkpoint)
	}
}

// newOrphanedRun returns a run in the stopping state for an active run that has no assignment.
func (s *Scheduler) newOrphanedRun(key RunRef) *Run {
	run := &Run{Key: key, durable: true, stopping: true}
	position, ok := parseTaskName(key.Task)
	if !ok {
		return run
	}
	run.position = position
	if job := s.jobs[position.jobID]; job != nil && position.stage < len(job.Spec.Stages) {
		run.demand = job.Spec.Stages[position.stage].demand()
	}
	return run
}
