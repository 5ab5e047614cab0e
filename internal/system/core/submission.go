package core

import (
	"context"
	"errors"

	"sedgevale/internal/system/api"
	"sedgevale/internal/system/result"
	"sedgevale/jobs"
)

// submit accepts a job and returns once the job is committed. It is idempotent: a retry with the same job ID and body does not
// create another job, and it is acknowledged whatever has become of the route and of the shard's room since.
func (c *Core) submit(ctx context.Context, r *api.SubmitRequest) (*api.Empty, error) {
	o, err := c.activeOwner(r.Shard)
	if err != nil {
		return nil, err
	}
	submission := r.Submission()
	if !o.hasJob(submission.Ref()) {
		if err := c.ensureConfig(ctx, r.ConfigVersion); err != nil {
			return nil, err
		}
	}
	if ctx.Err() != nil {
		return nil, result.Errorf(result.Unavailable, "job %s: its sender has gone", r.ID) // and may have got another answer since
	}
	sequence, err := o.submit(submission, caller{r.ConfigVersion, r.KnownOnly})
	if err != nil {
		return nil, err
	}
	return &api.Empty{}, o.waitCommitted(ctx, sequence)
}

// submit adds a job to the scheduler unless it is known, and returns the sequence number of the change that must be committed
// before the job may be acknowledged.
func (o *owner) submit(submission *jobs.Submission, from caller) (sequence int64, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.scheduler.HasJob(submission.Ref()) && !o.scheduler.IsCancelled(submission.Ref()) {
		if err := o.admit(submission, from); err != nil {
			return 0, err
		}
	}
	durable, err := o.scheduler.Submit(o.monotonicNow(), wallClockMS(), submission)
	if err != nil {
		return 0, submitError(submission.ID, err)
	}
	if durable {
		return 0, nil
	}
	return o.flush(), nil
}

// admit returns nil if the shard may accept a new job, after it has set the job's queue and endpoint to those of the newest
// configuration. o.mu is held.
func (o *owner) admit(submission *jobs.Submission, from caller) error {
	route, err := o.routeOf(submission.Endpoint, submission.Queue, from)
	if err != nil {
		return err
	}
	submission.Queue = route.Name
	submission.Endpoint = route.Endpoint()
	if o.scheduler.ActiveJobs() > maxUnfinishedJobs {
		return result.Errorf(result.Overloaded, "shard %s: %d jobs have not ended", o.name, maxUnfinishedJobs)
	}
	return nil
}

// hasJob reports whether the job is known.
func (o *owner) hasJob(ref jobs.JobRef) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.scheduler.HasJob(ref)
}

// submitError returns the error for a job that the scheduler rejected. Only an invalid body, an ID that is in use and a job that was
// cancelled are client errors.
func submitError(id string, err error) error {
	var invalid *jobs.InvalidJobError
	if errors.As(err, &invalid) {
		return result.Errorf(result.Invalid, "job %s: %w", id, err)
	}
	if errors.Is(err, jobs.ErrIDInUse) {
		return result.Errorf(result.Conflict, "job %s: %w", id, err)
	}
	if errors.Is(err, jobs.ErrCancelled) {
		return result.Errorf(result.JobCancelled, "job %s: %w", id, err)
	}
	if errors.Is(err, jobs.ErrOutdated) {
		return result.Errorf(result.JobOutdated, "job %s: %w", id, err)
	}
	return result.Errorf(result.Unavailable, "job %s: %w", id, err)
}
