package core

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"sedgevale/coord/membership"
	"sedgevale/coord/shard"
	"sedgevale/internal/taskgroup"
	"sedgevale/jobs"
)

const (
	tickInterval             = 100 * time.Millisecond
	ticksPerSummary          = 10                      // between two summaries in the log
	ownerLeaseTTL            = 1500 * time.Millisecond // how long an owner acts after a quorum's last acknowledgement
	maxUnfinishedJobs        = 20000                   // of a shard; more are rejected
	endedJobRetentionFactor  = 1.25                    // times status_s
	unschedulableReportDelay = 2500 * time.Millisecond // from which on a unit that waits despite free capacity is reported
	maxUnschedulableLogged   = 4                       // lines about such units per summary
)

// owner is a shard that this scheduler owns: its jobs, and the replication of their records.
type owner struct {
	core       *Core
	name       string // of the shard
	token      int64  // the fencing token of this ownership
	goroutines *taskgroup.Group

	// mu guards the fields below and those of each replicator. Core.mu may be held when it is taken, not the other way.
	mu            sync.Mutex
	primary       *shard.Primary
	scheduler     *jobs.Scheduler
	replicators   []*replicator           // by seat; the slice itself never changes
	orderSenders  map[string]*orderSender // by the worker's reference
	sessions      sessions
	committed     int64 // the highest change that a quorum has stored; never falls
	commitWaiters []commitWaiter
	deposed       bool // closed, or a newer fencing token was met; never reset
	started       bool // the jobs are restored, and the scheduler decides
	config        *configState
	inSyncChanged chan struct{} // closed and made anew when a replica has acknowledged something, or the owner is deposed
}

// newOwner returns the owner of a shard over the merged records of a quorum. Its goroutines are counted by c.goroutines.
func newOwner(c *Core, name string, token int64, m membership.Membership, set *shard.RecordSet) *owner {
	o := &owner{
		core: c, name: name, token: token, goroutines: c.goroutines.Derive(),
		primary:      shard.NewPrimary(token, set, len(m.Seats), m.Quorum()),
		orderSenders: map[string]*orderSender{}, sessions: sessions{}, inSyncChanged: make(chan struct{}),
	}
	options := jobs.Options{
		LeaseTimeout:   ownerLeaseTTL + c.timing.RunsExpireAfter(),
		EndedJobTTL:    time.Duration(c.settings.Bounds.EndedJobRetentionS * endedJobRetentionFactor * float64(time.Second)),
		RemoteSlowdown: c.settings.Bounds.RemoteSlowdown,
	}
	o.scheduler = jobs.New(options, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	for i, member := range m.Seats {
		o.replicators = append(o.replicators, &replicator{seat: i, member: member, wake: newSignal()})
		o.primary.SetVoter(i, member.Voter)
	}
	return o
}

// close ends the owner for good.
func (o *owner) close() {
	o.goroutines.Cancel()
	o.mu.Lock()
	o.deposed = true
	o.mu.Unlock()
}

func (o *owner) isDeposed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.deposed
}

// active reports whether the owner has taken over and not been deposed.
func (o *owner) active() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.started && !o.deposed
}

// leaseValid reports whether a quorum has acknowledged the ownership within ownerLeaseTTL.
func (o *owner) leaseValid() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.leaseValidLocked()
}

// leaseValidLocked is leaseValid while o.mu is held.
func (o *owner) leaseValidLocked() bool {
	var times []time.Time
	for _, r := range o.replicators {
		if r.member.Voter && !r.lastConfirmed.IsZero() {
			times = append(times, r.lastConfirmed)
		}
	}
	return !o.deposed && time.Since(quorumTime(times, o.primary.Quorum())) < ownerLeaseTTL
}

// inSyncWithout returns how many voters hold all that was committed, without those at the addresses given.
func (o *owner) inSyncWithout(excluded map[string]bool) int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := int64(0)
	for _, r := range o.replicators {
		if r.inSync && r.member.Voter && !excluded[r.member.Address] && o.primary.HasAcknowledged(r.seat, o.committed) {
			n++
		}
	}
	return n
}

// recordCount returns how many records the shard has.
func (o *owner) recordCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.primary.Records.Len()
}

// monotonicNow is the clock of jobs.Scheduler: the time since this process started.
func (o *owner) monotonicNow() time.Duration { return time.Since(o.core.started) }

// wallClockMS returns the time of day in milliseconds since 1970, for start times that users give.
func wallClockMS() int64 { return time.Now().UnixMilli() }

// start restores the jobs from the records that were taken over, and begins to schedule them.
func (o *owner) start(state *configState) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if state != nil {
		o.configureLocked(state)
	}
	var records []jobs.Change
	for _, record := range o.primary.Records.All() {
		records = append(records, jobs.Change{Key: record.Key, Value: record.Value})
	}
	if err := o.scheduler.Restore(o.monotonicNow(), records); err != nil {
		return err
	}
	o.started = true
	o.goroutines.Go(o.tickLoop)
	return nil
}

// configure applies a newer configuration.
func (o *owner) configure(state *configState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.configureLocked(state)
}

// configureLocked is configure while o.mu is held.
func (o *owner) configureLocked(state *configState) {
	if o.config != nil && o.config.record.Version >= state.record.Version {
		return
	}
	o.config = state
	var queues []jobs.QueueConfig
	for i := range state.config.Routes {
		route := &state.config.Routes[i]
		if route.Service != o.name {
			continue
		}
		queues = append(queues, jobs.QueueConfig{
			Name: route.Name, Priority: route.Priority, Retries: route.Retries, Extension: route.Extension,
			TargetLatencyMS: route.TargetLatencyMS,
		})
	}
	o.scheduler.Configure(queues)
}

// tickLoop runs the scheduler's timers, retries undelivered orders, and logs the state of the shard.
func (o *owner) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		o.mu.Lock()
		if o.leaseValidLocked() {
			o.scheduler.Tick(o.monotonicNow(), wallClockMS())
			o.flush()
		}
		if round%ticksPerSummary == 0 {
			o.logUnschedulable()
			o.logSummary()
		}
		for _, sender := range o.orderSenders {
			sender.wake.notify()
		}
		o.mu.Unlock()
	}
}

// logUnschedulable logs which units have waited for longer than unschedulableReportDelay though a worker has capacity for
// them, and why. On a healthy system it logs nothing. o.mu is held.
func (o *owner) logUnschedulable() {
	units := o.scheduler.UnschedulableGroups(o.monotonicNow(), unschedulableReportDelay)
	for _, unit := range units[:min(len(units), maxUnschedulableLogged)] {
		o.core.logger.Info("task unschedulable despite free capacity", "shard", o.name, "queue", unit.Queue, "job", unit.Job,
			"stage", unit.Stage, "tasks", unit.Tasks, "waited_ms", unit.WaitedMS, "reason", unit.Reason, "worker", unit.Worker,
			"kept_for", unit.ReservedFor)
	}
}

// logSummary logs the state of queues and workers, at the verbose level. o.mu is held.
func (o *owner) logSummary() {
	logger := o.core.logger.V(1)
	if !logger.Enabled() {
		return
	}
	queues, workers := o.scheduler.Summary()
	for _, q := range queues {
		logger.Info("queue", "shard", o.name, "name", q.Name, "priority", q.Priority, "unended", q.Active, "pending", q.Pending,
			"held", q.Allocated, "wanted", q.PendingDemand, "sigma", q.Limit, "usual_ms", q.MeanRunMS)
	}
	for _, w := range workers {
		logger.Info("worker", "shard", o.name, "ref", w.Ref, "state", w.State, "runs", w.Runs, "held", w.Allocated,
			"sigma", w.LoadLimit, "failing", w.FailureRate, "pace", w.Slowdown, "free", w.Free)
	}
}
