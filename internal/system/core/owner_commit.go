package core

import (
	"context"
	"time"

	"sedgevale/internal/system/result"
	"sedgevale/jobs"
)

const commitTimeout = 2500 * time.Millisecond // limit on the wait for a quorum to store a change

// commitWaiter represents a call that waits until a change is committed.
type commitWaiter struct {
	sequence int64         // sequence number of the change
	done     chan struct{} // closed once the change is committed
}

// flush runs a scheduling cycle, queues the changed records for replication and triggers the orders whose records are
// committed. It returns the sequence number of the last change. o.mu is held.
func (o *owner) flush() int64 {
	o.scheduler.Schedule(o.monotonicNow())
	last, err := o.scheduler.Flush(func(change jobs.Change) int64 {
		if change.Value == nil {
			return o.primary.Delete(change.Key)
		}
		return o.primary.Put(change.Key, change.Value)
	}, o.primary.Sequence())
	if err != nil {
		o.core.logger.Error(err, "encoding a changed record failed; retrying at the next flush", "shard", o.name)
	}
	for _, r := range o.replicators {
		if o.primary.HasPending(r.seat) {
			r.wake.notify()
		}
	}
	o.onCommitAdvanced()
	return last
}

// onCommitAdvanced makes newly committed changes take effect: it informs the scheduler, completes the waiting calls and
// triggers the orders to workers. o.mu is held.
func (o *owner) onCommitAdvanced() {
	o.committed = max(o.committed, o.primary.Committed())
	o.scheduler.OnCommitted(o.committed)
	waiting := o.commitWaiters[:0]
	for _, w := range o.commitWaiters {
		if w.sequence <= o.committed {
			close(w.done)
		} else {
			waiting = append(waiting, w)
		}
	}
	o.commitWaiters = waiting
	for _, w := range o.scheduler.WorkersWithOrders() {
		o.orderSenderFor(w).wake.notify()
	}
}

// waitCommitted waits for at most commitTimeout until a change is committed. Its error has the code result.OutcomeUnknown,
// since the change may still be committed by this owner or the next one.
func (o *owner) waitCommitted(ctx context.Context, sequence int64) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
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
	case <-o.goroutines.Done():
		return result.Errorf(result.OutcomeUnknown, "shard %s: deposed", o.name)
	}
}
