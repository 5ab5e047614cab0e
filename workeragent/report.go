package workeragent

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"sedgevale/jobs"
)

// State returns the worker's state that Report sends to the owner.
func (a *Agent) State() jobs.WorkerState {
	switch {
	case a.expired:
		return jobs.LeaseExpired
	case a.deregistered:
		return jobs.Departed
	case a.heartbeat.State == string(jobs.Ready):
		return jobs.Ready
	default:
		return jobs.Draining
	}
}

// StateDigest returns a digest of the state that must be reported without delay: the worker's state, its active runs, the
// finished runs that are not acknowledged, and the pending and dropped orders. Changes of progress and checkpoints do not
// change the digest and can wait for the next periodic report.
func (a *Agent) StateDigest() uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(string(a.State()) + a.Incarnation())
	digest := hash.Sum64()
	add := func(kind string, ref jobs.RunRef) {
		digest ^= xxhash.Sum64String(kind + ref.Task + "/" + strconv.FormatInt(ref.Attempt, 10))
	}
	for ref := range a.active {
		add("active ", ref)
	}
	for _, run := range a.heartbeat.Finished {
		if run.Number > a.acknowledged {
			add("finished ", jobs.RunRef{Task: run.Task, Attempt: run.Number})
		}
	}
	for ref := range a.starts {
		add("pending ", ref)
	}
	for ref := range a.ends.unlisted {
		add("pending ", ref)
	}
	for ref := range a.dropped {
		add("dropped ", ref)
	}
	return digest
}

// Report returns the worker's state, runs and orders for the owner.
func (a *Agent) Report(now time.Duration) *jobs.Report {
	r := &jobs.Report{
		AgentIncarnation: a.Incarnation(), Service: a.heartbeat.Service, Instance: a.Instance, State: string(a.State()),
		DrainRemainingMS: max(0, a.heartbeat.RemainingMS-(now-a.heartbeatAt).Milliseconds()),
		Capacity:         a.heartbeat.Capacity.resources(), Labels: a.heartbeat.Labels,
		MissedMessages: a.missedAnswers, HeartbeatAgeMS: (now - a.heartbeatAt).Milliseconds(),
	}
	if a.expired {
		return r
	}
	if a.deregistered {
		r.LeaseRemainingMS = max(1, (a.runsExpireAt - now).Milliseconds())
	}
	for _, run := range a.heartbeat.Active {
		r.Active = append(r.Active, jobs.ActiveRun{
			Task: run.Task, Attempt: run.Attempt, Checkpoint: run.Checkpoint, Percent: int64(run.Percent),
		})
		if _, known := a.demands[run.ref()]; !known {
			r.UnknownDemands++
		}
	}
	for _, run := range a.heartbeat.Finished {
		if run.Number > a.acknowledged {
			r.Finished = append(r.Finished, jobs.FinishedRun{
				Number: run.Number, Task: run.Task, Attempt: run.Attempt, Outcome: run.Outcome, Checkpoint: run.Checkpoint,
			})
		}
	}
	for ref := range a.starts {
		r.InFlight = append(r.InFlight, ref)
	}
	for ref := range a.ends.unlisted {
		r.InFlight = append(r.InFlight, ref)
	}
	for ref := range a.dropped {
		r.Dropped = append(r.Dropped, ref)
	}
	return r
}
