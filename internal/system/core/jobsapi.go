package core

import (
	"context"

	"sedgevale/internal/system/api"
	"sedgevale/internal/system/result"
	"sedgevale/internal/system/rpc"
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
