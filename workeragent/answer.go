package workeragent

import (
	"time"

	"sedgevale/jobs"
)

const (
	// maxStartBytes bounds the starts of one answer. A worker takes 4 MiB; the rest is for stops.
	maxStartBytes = 3 << 20
	// startOverhead is an upper bound of the JSON of a start without its texts, in bytes.
	startOverhead = 48
	// escapedByteSize is the length of a byte that JSON escapes.
	escapedByteSize = 6
)

// Answer returns the answer to the last heartbeat.
func (a *Agent) Answer(now time.Duration) Answer {
	answer := Answer{LastSeen: a.acknowledged, FenceToken: a.token}
	for ref := range a.stops {
		answer.Stopped = append(answer.Stopped, RunRef{ref.Task, ref.Attempt})
	}
	if now >= a.leaseUntil || a.deregistered {
		return answer
	}
	answer.LeaseMS = a.timing.WorkerLease.Milliseconds()
	a.runsExpireAt = max(a.runsExpireAt, a.heartbeatAt+stretch(a.timing.WorkerLease)+pollSlack)
	answer.Started = a.nextStarts()
	return answer
}

// nextStarts returns the orders that fit into the free capacity, as many as one answer may carry.
func (a *Agent) nextStarts() []Start {
	if !a.acceptsRuns() {
		return nil
	}
	free, known := a.freeCapacity()
	if !known {
		return nil
	}
	var starts []Start
	bytesLeft := maxStartBytes
	for ref, o := range a.starts {
		demand := o.start.Demand
		if o.inFlight || !free.Holds(demand) {
			continue
		}
		size := maxJSONSize(ref.Task) + maxJSONSize(o.start.Text) + maxJSONSize(o.start.Checkpoint) + startOverhead
		if size > bytesLeft && len(starts) > 0 {
			continue
		}
		bytesLeft -= size
		free.CPU -= demand.CPU
		free.MemMB -= demand.MemMB
		free.GPU -= demand.GPU
		o.inFlight = true
		starts = append(starts, Start{ref.Task, ref.Attempt, o.start.Text, o.start.Checkpoint})
	}
	return starts
}

// freeCapacity returns the worker's capacity without what active, stopping and possibly started runs take, and whether
// the demand of all of them is known.
func (a *Agent) freeCapacity() (jobs.Resources, bool) {
	c := a.heartbeat.Capacity
	free := jobs.Resources{CPU: c.CPU, MemMB: c.MemMB, GPU: c.GPU}
	known := true
	take := func(demand jobs.Resources) {
		free.CPU -= demand.CPU
		free.MemMB -= demand.MemMB
		free.GPU -= demand.GPU
	}
	for ref := range a.active {
		demand, ok := a.demands[ref]
		known = known && ok
		take(demand)
	}
	for ref, o := range a.starts {
		if o.inFlight && !a.active[ref] {
			take(o.start.Demand)
		}
	}
	return free, known
}

// HasOrders reports whether an answer at this time would carry an order. It doesn't consider the free capacity.
func (a *Agent) HasOrders(now time.Duration) bool {
	if len(a.stops) > 0 {
		return true
	}
	if now >= a.leaseUntil || !a.acceptsRuns() {
		return false
	}
	for _, o := range a.starts {
		if !o.inFlight {
			return true
		}
	}
	return false
}

// maxJSONSize returns an upper bound of a text's length in JSON, in bytes, without its quotes.
func maxJSONSize(text string) int {
	size := len(text)
	for i := range len(text) {
		switch c := text[i]; {
		case c < ' ', c >= 0x7f, c == '"', c == '\\', c == '<', c == '>', c == '&':
			size += escapedByteSize - 1
		}
	}
	return size
}
