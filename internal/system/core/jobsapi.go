package core

import (
	"context"
	"errors"

	"sedgevale/internal/system/api"
	"sedgevale/internal/system/result"
	"sedgevale/internal/system/rpc"
	"sedgevale/jobs"
)

func (c *Core) handleJobs(server *rpc.Server) {
	rpc.Handle(server, api.MethodSubmit, c.submit)
	rpc.Handle(server, api.MethodStatus, c.status)
	rpc.Handle(server, api.MethodCancel, c.cancel)
	rpc.Handle(server, api.MethodPending, c.pending)
	rpc.Handle(server, api.MethodReport, c.report)
}

// activeOwner returns the owner of a shard on this scheduler. Its error has the code result.NotOwner if there is none, or
// result.NotReady if the owner's lease is not valid.
func (c *Core) activeOwner(name string) (*owner, error) {
	c.mu.Lock()
	o := c.owners[name]
	c.mu.Unlock()
	if o == nil || !o.active() {
		return nil, result.Errorf(result.NotOwner, "%s does not own %s", c.address, name)
	}
	if !o.leaseValid() {
		return nil, result.Errorf(result.NotReady, "%s has no quorum for %s", c.address, name)
	}
	return o, nil
}

// ensureConfig reads the configuration register unless the configuration in force has at least the given version.
func (c *Core) ensureConfig(ctx context.Context, version int64) error {
	state := c.currentConfig()
	if state != nil && state.record.Version >= version {
		return nil
	}
	if err := c.read(ctx, configRegister); err != nil {
		return result.Errorf(result.NotReady, "configuration %d is not known here: %w", version, err)
	}
	return nil
}

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

// status returns a job's state. If that state is not yet committed, it waits for the commit first.
func (c *Core) status(ctx context.Context, r *api.JobRequest) (*api.JobResponse, error) {
	o, err := c.activeOwner(r.Shard)
	if err != nil {
		return nil, err
	}
	o.mu.Lock()
	uncertain := o.scheduler.CommitPending(r.Ref())
	sequence := o.primary.Sequence()
	o.mu.Unlock()
	if uncertain {
		if err := o.waitCommitted(ctx, sequence); err != nil {
			return nil, err
		}
	}
	o.mu.Lock()
	state, known := o.scheduler.Status(r.Ref())
	o.mu.Unlock()
	if !known {
		return nil, c.unknownJobError(ctx, o, r)
	}
	return &api.JobResponse{State: string(state)}, nil
}

// unknownJobError returns the error for a job that the owner does not know. It has the code result.NoJob only if the newest
// configuration sends the job's queue to this shard and the owner's lease is valid: otherwise another shard or a later owner may
// have the job.
func (c *Core) unknownJobError(ctx context.Context, o *owner, r *api.JobRequest) error {
	if err := c.ensureConfig(ctx, r.ConfigVersion); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if r.Endpoint != "" {
		if _, err := o.routeOf(r.Endpoint, r.Queue, caller{r.ConfigVersion, r.KnownOnly}); err != nil {
			return err
		}
	}
	if !o.leaseValidLocked() {
		return result.Errorf(result.NotReady, "%s has no quorum for %s", c.address, o.name)
	}
	return result.Errorf(result.NoJob, "no job %s", r.ID)
}

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

// pending returns the number of unfinished jobs of a queue of which no worker has started a task.
func (c *Core) pending(_ context.Context, r *api.PendingRequest) (*api.PendingResponse, error) {
	o, err := c.activeOwner(r.Shard)
	if err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return &api.PendingResponse{Pending: int64(o.scheduler.PendingJobs(r.Queue, r.Endpoint))}, nil
}

// report applies a worker agent's report and renews the agent's lease. A report outside the current session is ignored; the
// response names the session to use for the next one.
func (c *Core) report(_ context.Context, r *api.ReportRequest) (*api.ReportResponse, error) {
	o, err := c.activeOwner(r.Shard)
	if err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	name, admitted := o.sessions.admit(r.Report.AgentAddress, r.Session, r.Sequence)
	if !admitted {
		return &api.ReportResponse{Token: o.token, Session: name}, nil
	}
	w := o.scheduler.HandleReport(o.monotonicNow(), &r.Report)
	o.flush()
	return &api.ReportResponse{Token: o.token, Acknowledged: o.scheduler.DurableCompletions(w), Session: name, Accepted: true}, nil
}
