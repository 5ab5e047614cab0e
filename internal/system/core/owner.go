package core

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"sedgevale/coord/membership"
	"sedgevale/coord/shard"
	"sedgevale/internal/system/result"
	"sedgevale/jobs"
)

const (
	tickInterval             = 100 * time.Millisecond
	ticksPerSummary          = 10                      // between two summaries in the log
	ownerLeaseTTL            = 1500 * time.Millisecond // how long an owner acts after a quorum's last word
	replicaTimeout           = 900 * time.Millisecond
	heartbeatInterval        = 250 * time.Millisecond
	repairBackoff            = 120 * time.Millisecond
	maxUnfinishedJobs        = 20000
	endedJobRetentionFactor  = 1.25                    // times status_s
	unschedulableReportDelay = 2500 * time.Millisecond // a unit that waits beside room for longer is told of
	maxUnschedulableLogged   = 4                       // lines about such units in a round of the log, at most
)

// owner is a shard that this scheduler owns: its jobs, and the replication of their records.
type owner struct {
	core   *Core
	name   string
	token  int64
	cancel context.CancelFunc
	ctx    context.Context

	mu            sync.Mutex
	primary       *shard.Primary
	scheduler     *jobs.Book
	replicators   []*replicator
	orderSenders  map[string]*orderSender
	sessions      sessions
	committed     int64
	commitWaiters []commitWaiter
	deposed       bool
	started       bool
	config        *configState
	inSyncChanged chan struct{} // closed and made anew when a replica came in step
}

// commitWaiter waits until a change is durable.
type commitWaiter struct {
	sequence int64
	done     chan struct{}
}

// replicator is the owner's connection to one replica.
type replicator struct {
	seat          int
	member        membership.Member
	sealed        bool // it was sealed under this token
	inSync        bool // it is in step, and has said so
	lastConfirmed time.Time
	repairCount   int64 // begun so far
	wake          chan struct{}
}

func newOwner(c *Core, name string, token int64, m membership.Membership, set *shard.Set) *owner {
	done, stop := context.WithCancel(context.Background())
	o := &owner{
		core: c, name: name, token: token, cancel: stop, ctx: done,
		primary:      shard.NewPrimary(token, set, len(m.Seats), m.Quorum()),
		orderSenders: map[string]*orderSender{}, sessions: sessions{}, inSyncChanged: make(chan struct{}),
	}
	options := jobs.Options{
		LapseAfter: ownerLeaseTTL + c.timing.LapseAfter(),
		KeepEnded:  time.Duration(c.settings.Bounds.StatusS * endedJobRetentionFactor * float64(time.Second)),
		FarX:       c.settings.Bounds.FarX,
	}
	o.scheduler = jobs.New(options, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	for i, member := range m.Seats {
		o.replicators = append(o.replicators, &replicator{seat: i, member: member, wake: make(chan struct{}, 1)})
		o.primary.SetVoter(i, member.Voter)
	}
	return o
}

func (o *owner) close() {
	o.cancel()
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

// leaseValid reports whether a quorum has confirmed the ownership a moment ago.
func (o *owner) leaseValid() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.leaseValidLocked()
}

func (o *owner) leaseValidLocked() bool {
	var times []time.Time
	for _, l := range o.replicators {
		if l.member.Voter && !l.lastConfirmed.IsZero() {
			times = append(times, l.lastConfirmed)
		}
	}
	return !o.deposed && time.Since(quorumTime(times, o.primary.Quorum())) < ownerLeaseTTL
}

// inSyncWithout returns how many replicas hold all that was committed, without those at the addresses given.
func (o *owner) inSyncWithout(leaving map[string]bool) int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := int64(0)
	for _, l := range o.replicators {
		if l.inSync && l.member.Voter && !leaving[l.member.Address] && o.primary.Holds(l.seat, o.committed) {
			n++
		}
	}
	return n
}

// monotonicNow is the time that the book is told.
func (o *owner) monotonicNow() time.Duration { return time.Since(o.core.started) }

func wallClockMS() int64 { return time.Now().UnixMilli() }

// start starts to decide over the records that were taken over.
func (o *owner) start(state *configState) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if state != nil {
		o.configureLocked(state)
	}
	var records []jobs.Change
	for _, record := range o.primary.Set.All() {
		records = append(records, jobs.Change{Key: record.Key, Value: record.Value})
	}
	if err := o.scheduler.Restore(o.monotonicNow(), records, o.name); err != nil {
		return err
	}
	o.started = true
	go o.tickLoop()
	return nil
}

// configure takes a newer configuration.
func (o *owner) configure(state *configState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.configureLocked(state)
}

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

func (o *owner) tickLoop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-o.ctx.Done():
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
		for _, side := range o.orderSenders {
			side.wakeUp()
		}
		o.mu.Unlock()
	}
}

// logUnschedulable logs which units wait for long beside room for them, and why. It should never have anything to say. The
// lock is held.
func (o *owner) logUnschedulable() {
	waiting := o.scheduler.Withheld(o.monotonicNow(), unschedulableReportDelay)
	for _, one := range waiting[:min(len(waiting), maxUnschedulableLogged)] {
		o.core.logger.Info("task unschedulable despite free capacity", "shard", o.name, "queue", one.Queue, "job", one.Job, "stage", one.Stage,
			"tasks", one.Tasks, "waited_ms", one.WaitedMS, "reason", one.Reason, "worker", one.Worker, "kept_for", one.Holder)
	}
}

// logSummary logs how the shard stands, at the verbose level. The lock is held.
func (o *owner) logSummary() {
	logger := o.core.logger.V(1)
	if !logger.Enabled() {
		return
	}
	queues, workers := o.scheduler.Summary()
	for _, q := range queues {
		logger.Info("queue", "shard", o.name, "name", q.Name, "priority", q.Priority, "unended", q.Unended, "pending", q.Pending,
			"held", q.Held,
			"wanted", q.Wanted, "sigma", q.Sigma, "usual_ms", q.UsualMS)
	}
	for _, w := range workers {
		logger.Info("worker", "shard", o.name, "ref", w.Ref, "state", w.State, "runs", w.Runs, "held", w.Held,
			"sigma", w.Sigma, "failing", w.Failing, "pace", w.Pace, "free", w.Free)
	}
}

// flush releases what may start, hands all changes to the replication and tells side agents what is
// durable. It returns the number of the last change. The lock is held.
func (o *owner) flush() int64 {
	o.scheduler.Schedule(o.monotonicNow())
	last, err := o.scheduler.Flush(func(change jobs.Change) int64 {
		if change.Value == nil {
			return o.primary.Delete(change.Key)
		}
		return o.primary.Put(change.Key, change.Value)
	}, o.primary.Sequence())
	if err != nil {
		o.core.logger.Error(err, "records cannot be encoded", "shard", o.name)
	}
	for _, l := range o.replicators {
		if o.primary.HasPending(l.seat) {
			l.wakeUp()
		}
	}
	o.onCommitAdvanced()
	return last
}

// onCommitAdvanced lets happen what has become durable. The lock is held.
func (o *owner) onCommitAdvanced() {
	o.committed = max(o.committed, o.primary.Committed())
	o.scheduler.Committed(o.committed)
	kept := o.commitWaiters[:0]
	for _, w := range o.commitWaiters {
		if w.sequence <= o.committed {
			close(w.done)
		} else {
			kept = append(kept, w)
		}
	}
	o.commitWaiters = kept
	for _, w := range o.scheduler.DirtyWorkers() {
		o.orderSenderFor(w).wakeUp()
	}
}

// waitCommitted waits until a change is durable.
func (o *owner) waitCommitted(ctx context.Context, sequence int64) error {
	o.mu.Lock()
	if sequence <= o.committed {
		o.mu.Unlock()
		return nil
	}
	w := commitWaiter{sequence, make(chan struct{})}
	o.commitWaiters = append(o.commitWaiters, w)
	o.mu.Unlock()
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
		return result.Errorf(result.OutcomeUnknown, "shard %s: not durable in time", o.name)
	case <-o.ctx.Done():
		return result.Errorf(result.OutcomeUnknown, "shard %s: deposed", o.name)
	}
}
