package jobs

import "time"

const (
	resendInterval     = 300 * time.Millisecond // an order that was not seen at the worker is sent again
	outcomeGain        = 0.2                    // weight of one outcome in what is known of a worker
	runTimeGain        = 0.05                   // weight of one run in a queue's usual run time
	failureRateDecay   = 0.98                   // of a worker's share of failures, a round
	minTrustedPercent  = 10                     // from which on a run's progress tells when it ends
	heartbeatTimeoutMS = 2500                   // a worker without a heartbeat for so long gets no starts
)

// Report takes what a side agent tells of its worker.
func (s *Book) Report(now time.Duration, r *Report) *Worker {
	w := s.reportingWorker(now, r)
	if now-w.lastReport >= agentTimeout {
		s.readyStale = true
	}
	w.lastReport = now
	w.leaseExpiry = now + s.options.LapseAfter
	s.supersede(now, r)
	s.updateWorker(now, w, r)
	if w.AgentIncarnation != r.Life {
		w.AgentIncarnation = r.Life
		for _, run := range w.Runs {
			run.lastSent = 0
		}
	}
	for _, run := range w.Runs {
		run.reported = false
	}
	s.applyActive(now, w, r)
	for _, held := range r.Held {
		if run := w.Runs[held]; run != nil {
			run.reported = true
		}
	}
	s.applyCompletions(now, w, r)
	for _, dropped := range r.Dropped {
		s.completeRun(now, w, dropped, "dropped", "")
	}
	if w.State == Lapsed {
		s.expireWorker(now, w)
	}
	w.demandsUnknown = r.Unknown > 0
	w.ordersDue = true
	return w
}

func (s *Book) reportingWorker(now time.Duration, r *Report) *Worker {
	ref := WorkerRef(r.Instance, r.Side)
	w := s.workers[ref]
	if w == nil {
		w = &Worker{Ref: ref, Instance: r.Instance, Side: r.Side, loadLimit: 1, slowdown: 1, Runs: map[RunRef]*Run{}, lastReport: now}
		s.addWorker(w)
	}
	return w
}

func (s *Book) addWorker(w *Worker) {
	s.workers[w.Ref] = w
	if s.workersByAgent[w.Side] == nil {
		s.workersByAgent[w.Side] = map[string]*Worker{}
	}
	s.workersByAgent[w.Side][w.Ref] = w
	s.readyStale = true
}

func (s *Book) removeWorker(w *Worker) {
	delete(s.workers, w.Ref)
	delete(s.workersByAgent[w.Side], w.Ref)
	if len(s.workersByAgent[w.Side]) == 0 {
		delete(s.workersByAgent, w.Side)
	}
	for _, q := range s.queueOrder {
		delete(q.workerShares, w.Ref)
	}
	s.readyStale = true
}

// supersede ends the other incarnations at a report's side agent. There is one worker on a machine, so one with a new
// name has replaced one that crashed; only one that is known to leave may still be at work for a while.
func (s *Book) supersede(now time.Duration, r *Report) {
	for _, old := range s.workersByAgent[r.Side] {
		if old.Instance == r.Instance || old.State == Draining || old.State == Gone {
			continue
		}
		if WorkerState(r.State) == Ready {
			s.expireWorker(now, old)
			s.removeWorker(old)
		}
	}
}

// updateWorker takes a worker's account of itself.
func (s *Book) updateWorker(now time.Duration, w *Worker, r *Report) {
	state := WorkerState(r.State)
	if state == Ready && r.SinceBeatMS > heartbeatTimeoutMS {
		state = Unresponsive
	}
	if state == Unresponsive && w.State != Unresponsive {
		w.cutLimit()
	}
	if state == Draining {
		w.DrainDeadline = now + time.Duration(r.RemainingMS)*time.Millisecond
	}
	if r.LapsesInMS > 0 {
		w.leaseExpiry = min(w.leaseExpiry, now+time.Duration(r.LapsesInMS)*time.Millisecond)
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
	if state == Draining || state == Gone {
		s.evacuate(now, w)
	}
}

func (s *Book) applyActive(now time.Duration, w *Worker, r *Report) {
	for _, active := range r.Active {
		key := RunRef{active.Task, active.Attempt}
		run := w.Runs[key]
		if run == nil {
			run = s.strayRun(key)
			w.add(run)
		}
		run.reported = true
		if run.runningSince == 0 {
			run.runningSince = now
			run.progressedAt = now
			s.markRan(run.job)
		}
		if active.Percent > run.percent {
			run.percent = active.Percent
			run.progressedAt = now
		}
		s.saveCheckpoint(run, active.Saved)
	}
}

// strayRun makes a run of one that is active although nothing wants it; it is to be stopped.
func (s *Book) strayRun(key RunRef) *Run {
	run := &Run{Key: key, durable: true, stopping: true}
	position, ok := parseTaskName(key.Task)
	if !ok {
		return run
	}
	run.position = position
	if job := s.jobs[position.id]; job != nil && position.stage < len(job.Spec.Stages) {
		run.demand = job.Spec.Stages[position.stage].demand()
	}
	return run
}

// saveCheckpoint keeps the newest checkpoint of a run. Any member's is good for its gang.
func (s *Book) saveCheckpoint(run *Run, saved string) {
	if saved == "" || run.job == nil {
		return
	}
	occurrence := run.job.occurrence(run.position.number)
	if occurrence == nil || occurrence.Done || run.position.stage >= len(occurrence.Stages) {
		return
	}
	tasks := occurrence.Stages[run.position.stage].Tasks
	task := &tasks[run.position.index]
	if task.Attempt != run.Key.Attempt {
		return
	}
	if !run.job.Spec.Stages[run.position.stage].Gang {
		task.Checkpoint = saved
		return
	}
	for i := range tasks {
		tasks[i].Checkpoint = saved
	}
}
