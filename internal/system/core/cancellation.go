package core

import (
	"context"

	"sedgevale/internal/system/api"
	"sedgevale/internal/system/result"
	"sedgevale/jobs"
)

// cancel cancels a job and returns once the cancellation is committed. The cancellation of a job that is not known is remembered, so
// that a submission that arrives later is refused; once that is committed, the error has the code result.NoJob.
func (c *Core) cancel(ctx context.Context, r *api.JobRequest) (*api.Empty, error) {
	o, err := c.activeOwner(r.Shard)
	if err != nil {
		return nil, err
	}
	if !o.hasJob(r.Ref()) {
		if err := c.ensureConfig(ctx, r.ConfigVersion); err != nil {
			return nil, err
		}
	}
	known, sequence, err := o.cancel(r)
	if err != nil {
		return nil, err
	}
	if err := o.waitCommitted(ctx, sequence); err != nil {
		return nil, err
	}
	if !known {
		return nil, result.Errorf(result.NoJob, "no job %s", r.ID)
	}
	return &api.Empty{}, nil
}

// cancel cancels a job that is known, or remembers the cancellation. It returns the sequence number of the change that must be
// committed before the cancellation may be acknowledged.
func (o *owner) cancel(r *api.JobRequest) (known bool, sequence int64, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.scheduler.Cancel(o.monotonicNow(), r.Ref()) {
		return true, o.flush(), nil
	}
	route, err := o.routeOf(r.Endpoint, r.Queue, caller{r.ConfigVersion, r.KnownOnly})
	if err != nil {
		return false, 0, err
	}
	o.scheduler.RememberCancellation(o.monotonicNow(), jobs.JobRef{Endpoint: route.Endpoint(), ID: r.ID})
	return false, o.flush(), nil
}
