package workeragent

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"sedgevale/internal/system/result"
	"sedgevale/jobs"
)

// Timing says how long a worker may hold on.
type Timing struct {
	Hold  time.Duration // granted with each answer
	Lease time.Duration // how long after an owner's answer the agent goes on granting
}

const (
	// ClockDrift is how slow a worker's clock may run.
	ClockDrift = 1.0205
	// Slack covers the time between an instant and its being looked at.
	Slack = 100 * time.Millisecond

	finishedMost = 500     // ends that one heartbeat lists at most
	startBytes   = 3 << 20 // of the 4 MiB that a worker takes as an answer; the rest is for stops
	// startOverhead is more than a start takes in JSON beside its texts.
	startOverhead = 48
	// escapedByte is the length of a byte that JSON escapes.
	escapedByte = 6
	keepDropped = 5 * time.Second // a dropped order is reported for so long
	keepNever   = time.Minute     // an order for a dropped run is turned down for so long
)

// LapseAfter returns the time after its agent was last granted a lease in which all runs of a worker
// have surely lapsed.
func (t Timing) LapseAfter() time.Duration { return t.Lease + stretch(t.Hold) + 2*Slack }

func stretch(d time.Duration) time.Duration { return time.Duration(float64(d) * ClockDrift) }

// order is a start that was ordered.
type order struct {
	start  jobs.Start
	flying bool // it is in the answer to the last heartbeat
}

// Agent decides for one incarnation of a worker.
type Agent struct {
	Instance string
	timing   Timing
	life     string

	beat      Heartbeat
	beats     int64
	beatAt    time.Duration
	holdUntil time.Duration // when everything that the worker runs has surely lapsed, if it is not granted more
	lapses    int64
	lapsed    bool
	gone      bool // it has said good-bye
	missed    int64

	token      int64
	leaseUntil time.Duration
	noted      int64
	held       map[jobs.RunRef]*order
	demands    map[jobs.RunRef]jobs.Resources
	stops      map[jobs.RunRef]bool
	dropped    map[jobs.RunRef]time.Duration
	never      map[jobs.RunRef]time.Duration
	active     map[jobs.RunRef]bool
	finished   map[jobs.RunRef]bool
}

// New returns the agent of an incarnation. Life names the process; a process before it may have granted a hold.
func New(now time.Duration, instance, life string, timing Timing) *Agent {
	return &Agent{
		Instance: instance, timing: timing, life: life, beatAt: now,
		holdUntil: now + stretch(timing.Hold) + Slack,
		held:      map[jobs.RunRef]*order{}, demands: map[jobs.RunRef]jobs.Resources{}, stops: map[jobs.RunRef]bool{},
		dropped: map[jobs.RunRef]time.Duration{}, never: map[jobs.RunRef]time.Duration{},
		active: map[jobs.RunRef]bool{}, finished: map[jobs.RunRef]bool{},
	}
}

// OnBeat takes a heartbeat. It reports false for one that is older than another that came before.
func (a *Agent) OnBeat(now time.Duration, beat Heartbeat) bool {
	if a.beats > 0 && beat.Sequence <= a.beat.Sequence {
		return false
	}
	a.beat = beat
	a.beatAt = now
	a.beats++
	a.lapsed = false
	clear(a.active)
	clear(a.finished)
	for _, run := range beat.Active {
		a.active[jobs.RunRef{Task: run.Task, Attempt: run.Attempt}] = true
	}
	for _, run := range beat.Finished {
		ref := jobs.RunRef{Task: run.Task, Attempt: run.Attempt}
		a.finished[ref] = true
		delete(a.stops, ref)
	}
	a.resolve(now)
	return true
}

// resolve settles what the last answer brought about.
func (a *Agent) resolve(now time.Duration) {
	for ref, o := range a.held {
		switch {
		case a.active[ref] || a.finished[ref]:
			delete(a.held, ref)
		case o.flying:
			o.flying = false
			a.missed++
		}
	}
	for ref := range a.demands {
		if !a.active[ref] && a.held[ref] == nil {
			delete(a.demands, ref)
		}
	}
	if len(a.beat.Finished) >= finishedMost {
		return
	}
	for ref := range a.stops {
		if !a.active[ref] && !a.finished[ref] {
			a.drop(now, ref)
		}
	}
	if !a.mayStart() {
		for ref := range a.held {
			a.drop(now, ref)
		}
	}
}

// drop notes that a run never began and never will.
func (a *Agent) drop(now time.Duration, ref jobs.RunRef) {
	delete(a.held, ref)
	delete(a.stops, ref)
	a.dropped[ref] = now
	a.never[ref] = now
}

// mayStart reports whether the worker takes new runs.
func (a *Agent) mayStart() bool { return a.beat.State == string(jobs.Ready) && !a.gone }

// Answer returns the answer to the last heartbeat.
func (a *Agent) Answer(now time.Duration) Answer {
	answer := Answer{LastSeen: a.noted, FenceToken: a.token}
	for ref := range a.stops {
		answer.Stopped = append(answer.Stopped, RunRef{ref.Task, ref.Attempt})
	}
	if now >= a.leaseUntil || a.gone {
		return answer
	}
	answer.HoldMS = a.timing.Hold.Milliseconds()
	a.holdUntil = max(a.holdUntil, a.beatAt+stretch(a.timing.Hold)+Slack)
	answer.Started = a.starts()
	return answer
}

// starts returns the orders that fit beside all that runs, is being stopped or is on its way, as many as one answer may
// carry.
func (a *Agent) starts() []Start {
	if !a.mayStart() {
		return nil
	}
	free, known := a.free()
	if !known {
		return nil
	}
	var starts []Start
	left := startBytes
	for ref, o := range a.held {
		demand := o.start.Demand
		if o.flying || !free.Holds(demand) {
			continue
		}
		size := wireSize(ref.Task) + wireSize(o.start.Text) + wireSize(o.start.Saved) + startOverhead
		if size > left && len(starts) > 0 {
			continue
		}
		left -= size
		free.CPU -= demand.CPU
		free.MemMB -= demand.MemMB
		free.GPU -= demand.GPU
		o.flying = true
		starts = append(starts, Start{ref.Task, ref.Attempt, o.start.Text, o.start.Saved})
	}
	return starts
}

// free returns what is left of the worker's capacity, and whether what all active runs take is known.
func (a *Agent) free() (jobs.Resources, bool) {
	c := a.beat.Capacity
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
	for ref, o := range a.held {
		if o.flying && !a.active[ref] {
			take(o.start.Demand)
		}
	}
	return free, known
}

// Pending reports whether an answer now would carry an order.
func (a *Agent) Pending(now time.Duration) bool {
	if len(a.stops) > 0 {
		return true
	}
	if now >= a.leaseUntil || !a.mayStart() {
		return false
	}
	for _, o := range a.held {
		if !o.flying {
			return true
		}
	}
	return false
}

// OnOrders takes the orders of an owner with a fencing token.
func (a *Agent) OnOrders(now time.Duration, token int64, orders *jobs.Orders) error {
	if token < a.token {
		return result.Errorf(result.Fenced, "token %d is known, %d came", a.token, token)
	}
	a.token = token
	if orders.Instance != a.Instance || orders.Life != a.Life() {
		return result.Errorf(result.WrongInstance, "%s %s is known, orders are for %s %s", a.Instance, a.Life(),
			orders.Instance, orders.Life)
	}
	a.noted = max(a.noted, orders.Noted)
	for _, known := range orders.Known {
		a.demands[jobs.RunRef{Task: known.Task, Attempt: known.Attempt}] = known.Demand
	}
	for _, ref := range orders.Stops {
		a.stop(now, ref)
	}
	for _, start := range orders.Starts {
		a.order(now, start)
	}
	return nil
}

func (a *Agent) order(now time.Duration, start jobs.Start) {
	ref := jobs.RunRef{Task: start.Task, Attempt: start.Attempt}
	if _, dropped := a.never[ref]; dropped {
		a.dropped[ref] = now
		return
	}
	if a.finished[ref] {
		return
	}
	a.demands[ref] = start.Demand
	if a.active[ref] || a.held[ref] != nil {
		return
	}
	a.held[ref] = &order{start: start}
	if a.beats > 0 && !a.mayStart() {
		a.drop(now, ref)
	}
}

func (a *Agent) stop(now time.Duration, ref jobs.RunRef) {
	o := a.held[ref]
	if a.active[ref] || (o != nil && o.flying) || a.beats == 0 {
		a.stops[ref] = true
		return
	}
	if a.finished[ref] {
		return
	}
	a.drop(now, ref)
}

// OnLease takes an owner's answer to a report that was sent at some time: it grants another lease.
func (a *Agent) OnLease(sentAt time.Duration, token, noted int64) error {
	if token < a.token {
		return result.Errorf(result.Fenced, "token %d is known, %d came", a.token, token)
	}
	a.token = token
	a.noted = max(a.noted, noted)
	a.leaseUntil = max(a.leaseUntil, sentAt+a.timing.Lease)
	return nil
}

// OnLeave notes that the worker has said good-bye. What it runs it may still finish.
func (a *Agent) OnLeave(now time.Duration) {
	a.gone = true
	for ref, o := range a.held {
		if !o.flying {
			a.drop(now, ref)
		}
	}
}

// Life names the agent's process and how often the worker's hold has lapsed in it. Orders for an earlier
// one are void.
func (a *Agent) Life() string { return a.life + "/" + strconv.FormatInt(a.lapses, 10) }

// State returns how the worker stands.
func (a *Agent) State(now time.Duration) jobs.WorkerState {
	switch {
	case a.lapsed:
		return jobs.Lapsed
	case a.gone:
		return jobs.Gone
	case a.beat.State == string(jobs.Ready):
		return jobs.Ready
	default:
		return jobs.Draining
	}
}

// Check looks whether the worker's hold has lapsed. It reports true once for each time.
func (a *Agent) Check(now time.Duration) bool {
	for ref, at := range a.dropped {
		if now-at > keepDropped {
			delete(a.dropped, ref)
		}
	}
	for ref, at := range a.never {
		if now-at > keepNever {
			delete(a.never, ref)
		}
	}
	if a.lapsed || now < a.holdUntil {
		return false
	}
	a.lapsed = true
	a.lapses++
	a.missed++
	clear(a.held)
	clear(a.demands)
	clear(a.stops)
	clear(a.active)
	return true
}

// SafelyDead reports whether nothing of this incarnation can still run.
func (a *Agent) SafelyDead() bool { return a.lapsed }

// Idle reports whether the worker takes runs and none is there or on its way, so that nothing but an order can come.
func (a *Agent) Idle() bool {
	return a.mayStart() && len(a.active) == 0 && len(a.beat.Finished) == 0 && len(a.held) == 0
}

// Draining reports whether the worker has announced its end.
func (a *Agent) Draining() bool { return a.gone || a.beat.State != string(jobs.Ready) }

// News names what the owner should hear of soon: the state, which runs are active, which ends are not noted, and what
// became of orders. While it stays the same, progress and checkpoints can wait for the next regular report.
func (a *Agent) News(now time.Duration) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(string(a.State(now)) + a.Life())
	sum := hash.Sum64()
	add := func(kind string, ref jobs.RunRef) {
		sum ^= xxhash.Sum64String(kind + ref.Task + "/" + strconv.FormatInt(ref.Attempt, 10))
	}
	for ref := range a.active {
		add("active ", ref)
	}
	for _, run := range a.beat.Finished {
		if run.Number > a.noted {
			add("finished ", jobs.RunRef{Task: run.Task, Attempt: run.Number})
		}
	}
	for ref := range a.held {
		add("held ", ref)
	}
	for ref := range a.dropped {
		add("dropped ", ref)
	}
	return sum
}

// Report returns what the owner is told.
func (a *Agent) Report(now time.Duration) *jobs.Report {
	c := a.beat.Capacity
	r := &jobs.Report{
		Life: a.Life(), Service: a.beat.Service, Instance: a.Instance, State: string(a.State(now)),
		RemainingMS: max(0, a.beat.RemainingMS-(now-a.beatAt).Milliseconds()),
		Capacity:    jobs.Resources{CPU: c.CPU, MemMB: c.MemMB, GPU: c.GPU}, Labels: a.beat.Labels,
		Missed: a.missed, SinceBeatMS: (now - a.beatAt).Milliseconds(),
	}
	if a.lapsed {
		return r
	}
	if a.gone {
		r.LapsesInMS = max(1, (a.holdUntil - now).Milliseconds())
	}
	for _, run := range a.beat.Active {
		r.Active = append(r.Active, jobs.ActiveRun{
			Task: run.Task, Attempt: run.Attempt, Saved: run.Saved, Percent: int64(run.Percent),
		})
		if _, known := a.demands[jobs.RunRef{Task: run.Task, Attempt: run.Attempt}]; !known {
			r.Unknown++
		}
	}
	for _, run := range a.beat.Finished {
		if run.Number > a.noted {
			r.Finished = append(r.Finished, jobs.EndedRun{
				Number: run.Number, Task: run.Task, Attempt: run.Attempt, How: run.How, Saved: run.Saved,
			})
		}
	}
	for ref := range a.held {
		r.Held = append(r.Held, ref)
	}
	for ref := range a.dropped {
		r.Dropped = append(r.Dropped, ref)
	}
	return r
}

// IsNewest reports whether no heartbeat came after the one with a sequence number.
func (a *Agent) IsNewest(sequence int64) bool { return a.beat.Sequence == sequence }

// Beats returns how many heartbeats have come.
func (a *Agent) Beats() int64 { return a.beats }
