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
	ticksPerSummary          = 10                      // ticks from one summary in the log to the next
	ownerLeaseTTL            = 1500 * time.Millisecond // validity of the ownership after a quorum's last acknowledgement
	maxUnfinishedJobs        = 20000                   // limit per shard; further jobs are rejected
	endedJobRetentionFactor  = 1.25                    // multiple of the setting status_s for which ended jobs are kept
	unschedulableReportDelay = 2500 * time.Millisecond // waiting time from which an unschedulable task group is reported
	maxUnschedulableLogged   = 4                       // limit on the unschedulable task groups logged per summary
)

// owner is a shard that this scheduler owns. It schedules the shard's jobs and replicates their records.
type owner struct {
	core       *Core
	name       string // name of the shard
	token      int64  // fencing token of this ownership
	goroutines *taskgroup.Group

	// mu guards the fields below and those of each replicator. It may be acquired while Core.mu is held; Core.mu must not
	// be acquired while it is held.
	mu                sync.Mutex
	primary           *shard.Primary
	scheduler         *jobs.Scheduler
	replicators       []*replicator           // indexed by seat; the slice itself never changes
	orderSenders      map[string]*orderSender // keyed by worker reference
	sessions          sessions
	committed         int64 // sequence number of the last committed change; never decreases
	commitWaiters     []commitWaiter
	deposed           bool // set when the owner is closed or a newer fencing token is seen; never reset
	started           bool // set once the jobs are restored and scheduling has begun
	config            *configState
	loggedCheckpoints int           // value of RejectedCheckpoints at the last log line
	inSyncChanged     chan struct{} // closed and replaced when a replica acknowledges a call or the owner is deposed
}

// newOwner returns the owner of a shard with the merged records of a quorum. Its goroutines belong to a group derived from
// c.goroutines.
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

// close permanently ends the ownership and cancels the owner's goroutines.
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

// active reports whether the owner has completed the takeover and has not been deposed.
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

// leaseValidLocked is like leaseValid. o.mu is held.
func (o *owner) leaseValidLocked() bool {
	var times []time.Time
	for _, r := range o.replicators {
		if r.member.Voter && !r.lastConfirmed.IsZero() {
			times = append(times, r.lastConfirmed)
		}
	}
	return !o.deposed && time.Since(quorumTime(times, o.primary.Quorum())) < ownerLeaseTTL
}

// inSyncWithout returns the number of voters that hold all committed changes, not counting those at excluded addresses.
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

func (o *owner) recordCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.primary.Records.Len()
}

// monotonicNow is the clock of jobs.Scheduler. It returns the time since this process started.
func (o *owner) monotonicNow() time.Duration { return time.Since(o.core.started) }

// wallClockMS returns the Unix time, in milliseconds since 1970, with which start times given by users are compared.
func wallClockMS() int64 { return time.Now().UnixMilli() }

// start restores the jobs from the merged records and starts scheduling them.
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

// configure applies a configuration if it is newer than the current one.
func (o *owner) configure(state *configState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.configureLocked(state)
}

// configureLocked is like configure. o.mu is held.
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

// tickLoop periodically runs the scheduler's timers, retries undelivered orders and logs the state of the shard.
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
			o.logRejectedCheckpoints()
		}
		for _, sender := range o.orderSenders {
			sender.wake.notify()
		}
		o.mu.Unlock()
	}
}

// logUnschedulable logs the task groups that have been pending for longer than unschedulableReportDelay although a worker
// has capacity for them, with the reason. A healthy system logs none. o.mu is held.
func (o *owner) logUnschedulable() {
	groups := o.scheduler.UnschedulableGroups(o.monotonicNow(), unschedulableReportDelay)
	for _, group := range groups[:min(len(groups), maxUnschedulableLogged)] {
		o.core.logger.Info("task group pending despite free capacity", "shard", o.name, "queue", group.Queue, "job", group.Job,
			"stage", group.Stage, "tasks", group.Tasks, "waited_ms", group.WaitedMS, "reason", group.Reason, "worker", group.Worker,
			"reserved_for", group.ReservedFor)
	}
}

// logRejectedCheckpoints logs how many reported checkpoints exceeded a limit since the last call. o.mu is held.
func (o *owner) logRejectedCheckpoints() {
	rejected := o.scheduler.RejectedCheckpoints()
	if rejected > o.loggedCheckpoints {
		o.core.logger.Info("checkpoints exceed a limit; keeping the previous ones", "shard", o.name, "checkpoints", rejected-o.loggedCheckpoints)
	}
	o.loggedCheckpoints = rejected
}

// logSummary logs the state of the queues and workers at verbosity 1. o.mu is held.
func (o *owner) logSummary() {
	logger := o.core.logger.V(1)
	if !logger.Enabled() {
		return
	}
	queues, workers := o.scheduler.Summary()
	for _, q := range queues {
		logger.Info("queue", "shard", o.name, "name", q.Name, "priority", q.Priority, "active", q.Active, "pending", q.Pending,
			"allocated", q.Allocated, "pending_demand", q.PendingDemand, "limit", q.Limit, "mean_run_ms", q.MeanRunMS)
	}
	for _, w := range workers {
		logger.Info("worker", "shard", o.name, "ref", w.Ref, "state", w.State, "runs", w.Runs, "allocated", w.Allocated,
			"load_limit", w.LoadLimit, "failure_rate", w.FailureRate, "slowdown", w.Slowdown, "free", w.Free)
	}
}
