package edge

import (
	"context"
	"time"

	"sedgevale/internal/system/result"
)

const newerConfigTimeout = 500 * time.Millisecond // longest wait for the configuration of an owner that has a newer one

// jobCall is a call about one job.
type jobCall struct {
	method   string
	message  func(shard string) any // message to the owner of a shard, for the request's current destination
	response any
}

// callJob calls the owner of the shard that has the job. If that shard is not found since the configuration of this scheduler is
// older than an owner's, it waits for the newer one and tries again.
func (r *request) callJob(ctx context.Context, call jobCall) error {
	for {
		err := r.callShards(ctx, call)
		outdated := result.CodeOf(err) == result.ConfigOutdated || isElsewhere(err) && r.route != nil
		if !outdated || !r.awaitNewerConfig(ctx) {
			return err
		}
	}
}

// callShards calls the owners of the former shards, in which only jobs that are already known are found, until one of them has the
// job. Otherwise it calls the owner of the route's shard. A former shard that denies a job accepts it only if a newer configuration
// sends the endpoint there again, which the route's shard then knows.
func (r *request) callShards(ctx context.Context, call jobCall) error {
	for _, shard := range r.formerShards {
		maybeApplied := r.maybeApplied
		err := r.forward(ctx, shard, call.method, call.message(shard), call.response)
		if result.CodeOf(err) != result.NoJob && !isElsewhere(err) {
			return err
		}
		r.maybeApplied = maybeApplied
	}
	if r.route == nil || !validJobID(r.jobID) {
		return result.Errorf(result.NoRoute, "no route of %s", r.endpoint)
	}
	return r.forward(ctx, r.route.Service, call.method, call.message(r.route.Service), call.response)
}

// isFormer reports whether a shard is that of a former route.
func (r *request) isFormer(shard string) bool { return r.route == nil || shard != r.route.Service }

// isElsewhere reports whether an error says that the newest configuration sends the endpoint to another shard or to none.
func isElsewhere(err error) bool {
	code := result.CodeOf(err)
	return code == result.NoRoute || code == result.QueueMoved
}

// awaitNewerConfig waits for a newer configuration than that of the request's destination, and resolves the destination anew. It
// reports false if none comes in time.
func (r *request) awaitNewerConfig(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, min(newerConfigTimeout, remainingTime(ctx)-minAttemptTime))
	defer cancel()
	for {
		updated := r.scheduler.directory.Updated()
		if newer := r.scheduler.resolve(r.host, r.path); newer.configVersion > r.configVersion {
			r.destination = newer
			return true
		}
		select {
		case <-updated:
		case <-ctx.Done():
			return false
		}
	}
}
