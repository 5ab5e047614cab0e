package workeragent

import (
	"time"

	"sedgevale/jobs"
)

const (
	// maxStartBytes bounds the JSON size of the starts in one answer. Workers accept answers of up to 4 MiB; the rest is
	// reserved for stops.
	maxStartBytes = 3 << 20
	// startOverheadBytes is an upper bound on the JSON size of a start without its strings.
	startOverheadBytes = 48
	// escapedByteSize is the JSON size, in bytes, of a byte that must be escaped (\u00XX).
	escapedByteSize = 6
)

// Response returns the answer to the last heartbeat.
func (a *Agent) Response(now time.Duration) HeartbeatResponse {
	answer := HeartbeatResponse{LastSeen: a.acknowledged, FenceToken: a.token}
	for ref := range a.stops {
		answer.Stopped = append(answer.Stopped, RunRef{ref.Task, ref.Attempt})
	}
	if now >= a.leaseUntil || a.deregistered {
		return answer
	}
	answer.LeaseMS = a.timing.WorkerLease.Milliseconds()
	a.runsExpireAt = max(a.runsExpireAt, a.heartbeatAt+withClockDrift(a.timing.WorkerLease)+pollSlack)
	answer.Started = a.nextStarts()
	return answer
}

// nextStarts returns the pending starts that fit into the free capacity and into one answer, and marks them as in flight.
func (a *Agent) nextStarts() []Start {
	if !a.acceptsRuns() {
		return nil
	}
	free, known := a.freeCapacity()
	if !known {
		return nil
	}
	var starts []Start
	remainingBytes := maxStartBytes
	for ref, pending := range a.starts {
		demand := pending.start.Demand
		if !a.sendable(pending) || !free.Holds(demand) {
			continue
		}
		size := maxJSONSize(ref.Task) + maxJSONSize(pending.start.Spec) + maxJSONSize(pending.start.Checkpoint) + startOverheadBytes
		if size > remainingBytes && len(starts) > 0 {
			continue
		}
		remainingBytes -= size
		free = free.Minus(demand)
		pending.inFlight = true
		pending.sentAfter = a.heartbeats
		starts = append(starts, Start{ref.Task, ref.Attempt, pending.start.Spec, pending.start.Checkpoint})
	}
	return starts
}

// freeCapacity returns the worker's capacity minus the demands of its active, stopping and possibly started runs, and whether
// the demands of all active runs are known.
func (a *Agent) freeCapacity() (jobs.Resources, bool) {
	free := a.heartbeat.Capacity.resources()
	known := true
	for ref := range a.active {
		demand, ok := a.demands[ref]
		known = known && ok
		free = free.Minus(demand)
	}
	for _, pending := range a.starts {
		if pending.inFlight {
			free = free.Minus(pending.start.Demand)
		}
	}
	return free, known
}

// HasOrders reports whether there are orders to send at this time. It ignores the free capacity, so the next answer may
// contain no order even if it returns true.
func (a *Agent) HasOrders(now time.Duration) bool {
	if len(a.stops) > 0 {
		return true
	}
	if now >= a.leaseUntil || !a.acceptsRuns() {
		return false
	}
	for _, pending := range a.starts {
		if a.sendable(pending) {
			return true
		}
	}
	return false
}

// sendable reports whether an answer may contain a pending start: none that may have reached the worker does, neither of this
// process nor of an earlier one. The worker would reject the repetition of a run that has ended, and list it as another end.
func (a *Agent) sendable(pending *pendingStart) bool {
	return !pending.inFlight && a.ends.knownBefore > pending.sentAfter
}

// maxJSONSize returns an upper bound on the size in bytes of a JSON string, without its quotes.
func maxJSONSize(s string) int {
	size := len(s)
	for i := range len(s) {
		switch c := s[i]; {
		case c < ' ', c >= 0x7f, c == '"', c == '\\', c == '<', c == '>', c == '&':
			size += escapedByteSize - 1
		}
	}
	return size
}
