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
	tickEvery       = 100 * time.Millisecond
	summaryRounds   = 10                      // between two summaries in the log
	ownerFreshFor   = 1500 * time.Millisecond // how long an owner acts after a quorum's last word
	replicaTimeout  = 900 * time.Millisecond
	heartbeatEvery  = 250 * time.Millisecond
	repairPause     = 120 * time.Millisecond
	maxUnendedJobs  = 20000
	endedJobsKeptBy = 1.25                    // times status_s
	withheldAfter   = 2500 * time.Millisecond // a unit that waits beside room for longer is told of
	withheldLogged  = 4                       // lines about such units in a round of the log, at most
)

// owner is a shard that this scheduler owns: its jobs, and the replication of their records.
type owner struct {
	core  *Core
	name  string
	token int64
	stop  context.CancelFunc
	done  context.Context

	mu        sync.Mutex
	primary   *shard.Primary
	book      *jobs.Book
	links     []*link
	sides     map[string]*sideLink
	sessions  sessions
	committed int64
	waiters   []waiter
	deposed   bool
	began     bool
	config    *configState
	stepped   chan struct{} // closed and made anew when a replica came in step
}

// waiter waits until a change is durable.
type waiter struct {
	sequence int64
	done     chan struct{}
}

// link is the owner's connection to one replica.
type link struct {
	seat      int
	member    membership.Member
	counts    bool // it was sealed under this token
	ready     bool // it is in step, and has said so
	confirmed time.Time
	repairs   int64 // begun so far
	wake      chan struct{}
}

func newOwner(c *Core, name string, token int64, m membership.Membership, set *shard.Set) *owner {
	done, stop := context.WithCancel(context.Background())
	o := &owner{
		core: c, name: name, token: token, stop: stop, done: done,
		primary: shard.NewPrimary(token, set, len(m.Seats), m.Quorum()),
		sides:   map[string]*sideLink{}, sessions: sessions{}, stepped: make(chan struct{}),
	}
	options := jobs.Options{
		LapseAfter: ownerFreshFor + c.timing.LapseAfter(),
		KeepEnded:  time.Duration(c.settings.Bounds.StatusS * endedJobsKeptBy * float64(time.Second)),
		FarX:       c.settings.Bounds.FarX,
	}
	o.book = jobs.New(options, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	for i, member := range m.Seats {
		o.links = append(o.links, &link{seat: i, member: member, wake: make(chan struct{}, 1)})
		o.primary.SetVoter(i, member.Voter)
	}
	return o
}

func (o *owner) close() {
	o.stop()
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
	return o.began && !o.deposed
}

// fresh reports whether a quorum has confirmed the ownership a moment ago.
func (o *owner) fresh() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.freshLocked()
}

func (o *owner) freshLocked() bool {
	var times []time.Time
	for _, l := range o.links {
		if l.member.Voter && !l.confirmed.IsZero() {
			times = append(times, l.confirmed)
		}
	}
	return !o.deposed && time.Since(quorumTime(times, o.primary.Quorum())) < ownerFreshFor
}

// inStepWithout returns how many replicas hold all that was committed, without those at the addresses given.
func (o *owner) inStepWithout(leaving map[string]bool) int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := int64(0)
	for _, l := range o.links {
		if l.ready && l.member.Voter && !leaving[l.member.Address] && o.primary.Holds(l.seat, o.committed) {
			n++
		}
	}
	return n
}

// steady is the time that the book is told.
func (o *owner) steady() time.Duration { return time.Since(o.core.started) }

func wallMS() int64 { return time.Now().UnixMilli() }

// begin starts to decide over the records that were taken over.
func (o *owner) begin(state *configState) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if state != nil {
		o.configureLocked(state)
	}
	var records []jobs.Change
	for _, record := range o.primary.Set.All() {
		records = append(records, jobs.Change{Key: record.Key, Value: record.Value})
	}
	if err := o.book.Restore(o.steady(), records); err != nil {
		return err
	}
	o.began = true
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
	o.book.Configure(queues)
}

func (o *owner) tickLoop() {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-o.done.Done():
			return
		case <-ticker.C:
		}
		o.mu.Lock()
		if o.freshLocked() {
			o.book.Tick(o.steady(), wallMS())
			o.flush()
		}
		if round%summaryRounds == 0 {
			o.logWithheld()
			o.logSummary()
		}
		for _, side := range o.sides {
			side.poke()
		}
		o.mu.Unlock()
	}
}

// logWithheld logs which units wait for long beside room for them, and why. It should never have anything to say. The
// lock is held.
func (o *owner) logWithheld() {
	waiting := o.book.Withheld(o.steady(), withheldAfter)
	for _, one := range waiting[:min(len(waiting), withheldLogged)] {
		o.core.logger.Info("work waits beside free room", "shard", o.name, "queue", one.Queue, "job", one.Job, "stage", one.Stage,
			"tasks", one.Tasks, "waited_ms", one.WaitedMS, "reason", one.Reason, "worker", one.Worker, "kept_for", one.Holder)
	}
}

// logSummary logs how the shard stands, at the verbose level. The lock is held.
func (o *owner) logSummary() {
	logger := o.core.logger.V(1)
	if !logger.Enabled() {
		return
	}
	queues, workers := o.book.Summary()
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
	o.book.Schedule(o.steady())
	last, err := o.book.Flush(func(change jobs.Change) int64 {
		if change.Value == nil {
			return o.primary.Delete(change.Key)
		}
		return o.primary.Put(change.Key, change.Value)
	}, o.primary.Sequence())
	if err != nil {
		o.core.logger.Error(err, "records cannot be encoded", "shard", o.name)
	}
	for _, l := range o.links {
		if o.primary.HasPending(l.seat) {
			l.poke()
		}
	}
	o.advance()
	return last
}

// advance lets happen what has become durable. The lock is held.
func (o *owner) advance() {
	o.committed = max(o.committed, o.primary.Committed())
	o.book.Committed(o.committed)
	kept := o.waiters[:0]
	for _, w := range o.waiters {
		if w.sequence <= o.committed {
			close(w.done)
		} else {
			kept = append(kept, w)
		}
	}
	o.waiters = kept
	for _, w := range o.book.DirtyWorkers() {
		o.side(w).poke()
	}
}

// waitDurable waits until a change is durable.
func (o *owner) waitDurable(ctx context.Context, sequence int64) error {
	o.mu.Lock()
	if sequence <= o.committed {
		o.mu.Unlock()
		return nil
	}
	w := waiter{sequence, make(chan struct{})}
	o.waiters = append(o.waiters, w)
	o.mu.Unlock()
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
		return result.Errorf(result.OutcomeUnknown, "shard %s: not durable in time", o.name)
	case <-o.done.Done():
		return result.Errorf(result.OutcomeUnknown, "shard %s: deposed", o.name)
	}
}
