package fleetsim

import (
	"time"

	"sedgevale/dispatcher"
	"sedgevale/internal/dispatchconfig"
)

// The methods in this file implement dispatcher.Host.

// Send sends an attempt to a worker over an idle connection, or over a new one if there is none.
func (s *scheduler) Send(id, worker string, _ time.Duration) {
	sim, j, index := s.sim, s.jobs[id], s.sim.workerIndex[worker]
	w, number := sim.workers[index], len(j.attempts)
	a := &attempt{worker: index, task: &task{slots: j.slots, work: j.work}}
	j.attempts = append(j.attempts, a)
	sim.result.Attempts++
	latency := millis(sim.experiment.Network.OneWayMillis)
	idle := s.idleConns[index]
	for len(idle) > 0 && sim.now-idle[0] >= dispatchconfig.Seconds(sim.experiment.Worker.IdleSeconds) {
		idle = idle[1:]
	}
	if len(idle) > 0 {
		s.idleConns[index] = idle[:len(idle)-1]
	} else {
		s.idleConns[index] = nil
		a.task.handshake = millis(sim.experiment.Worker.HandshakeMillis)
		latency *= 3
		sim.result.Connections++
	}
	end := func(o dispatcher.Outcome, report *dispatcher.LoadReport) {
		s.handleAfter(millis(sim.experiment.Network.OneWayMillis), func() { s.attemptEnded(j, number, o, report) })
	}
	a.task.started = func() {
		s.handleAfter(millis(sim.experiment.Network.OneWayMillis), func() {
			if !a.ended {
				_ = s.dispatcher.AttemptStarted(sim.now, j.id, number)
			}
		})
	}
	a.task.ended = func(ok bool, free float64) {
		report := &dispatcher.LoadReport{HasFreeSlots: true, FreeSlots: free}
		if a.task.cancelled || j.answered {
			sim.result.wastedWork += j.work.Seconds() * float64(j.slots)
		}
		if ok {
			end(dispatcher.Served, report)
		} else {
			end(dispatcher.Errored, report)
		}
	}
	sim.after(latency, func() {
		switch {
		case a.task.cancelled:
		case w.removed:
			end(dispatcher.ConnectFailed, nil)
		case !w.enqueue(a.task):
			end(dispatcher.Rejected, &dispatcher.LoadReport{HasFreeSlots: true, FreeSlots: w.reportedFree})
		}
	})
}

// attemptEnded reports to the Dispatcher how an attempt ended, and answers the client if
// it was served.
func (s *scheduler) attemptEnded(j *job, number int, o dispatcher.Outcome, report *dispatcher.LoadReport) {
	a := j.attempts[number]
	if a.ended {
		return
	}
	a.ended = true
	if o == dispatcher.Served || o == dispatcher.Errored || o == dispatcher.Rejected {
		s.idleConns[a.worker] = append(s.idleConns[a.worker], s.sim.now)
	}
	if o == dispatcher.Served && !j.answered {
		s.sim.clientServed(j, s)
		j.answered = true
	}
	_ = s.dispatcher.AttemptEnded(s.sim.now, dispatcher.AttemptResult{ID: j.id, Attempt: number, Outcome: o, ClientAnswered: j.answered, Report: report})
}

// Cancel cancels an attempt and closes its connection.
func (s *scheduler) Cancel(id string, number int) {
	sim, j := s.sim, s.jobs[id]
	a := j.attempts[number]
	sim.result.Cancelled++
	a.task.cancelled = true
	sim.after(millis(sim.experiment.Network.OneWayMillis), func() { sim.workers[a.worker].cancel(a.task) })
	s.handleAfter(0, func() { s.attemptEnded(j, number, dispatcher.Cancelled, nil) })
}

// Reject rejects a job. The client may retry it.
func (s *scheduler) Reject(id string, after time.Duration) {
	sim, j := s.sim, s.jobs[id]
	j.answered = true
	sim.result.Rejections++
	if j.clientRetries < sim.experiment.Retries && after > 0 && sim.now+after < j.deadline {
		retry := *j
		retry.answered, retry.clientRetries = false, retry.clientRetries+1
		sim.after(after, func() { sim.submit(&retry, sim.netRand.IntN(len(sim.schedulers))) })
		return
	}
	sim.result.Rejected++
}

// Fail answers the client with an error.
func (s *scheduler) Fail(id string) {
	s.jobs[id].answered = true
	s.sim.result.Failed++
}

// SetTimer schedules a timer of the Dispatcher.
func (s *scheduler) SetTimer(after time.Duration, token uint64) {
	s.handleAfter(after, func() { s.dispatcher.TimerFired(s.sim.now, token) })
}

// Probe requests a load report from a worker.
func (s *scheduler) Probe(worker string) {
	s.handleAfter(2*millis(s.sim.experiment.Network.OneWayMillis), func() {
		s.dispatcher.ProbeResult(s.sim.now, worker, &dispatcher.LoadReport{HasFreeSlots: true, FreeSlots: s.sim.workers[s.sim.workerIndex[worker]].reportedFree})
	})
}

// CloseIdleConnections closes the idle connections to a worker.
func (s *scheduler) CloseIdleConnections(worker string) {
	delete(s.idleConns, s.sim.workerIndex[worker])
}

// WatchWorkers does nothing, because the simulation sends all updates of the worker list unprompted.
func (s *scheduler) WatchWorkers() {}

// Log discards the line.
func (s *scheduler) Log(string) {}
