package edge

import (
	"context"
	"net/http"
	"time"

	"sedgevale/internal/system/result"
)

const (
	attemptTimeout    = 900 * time.Millisecond
	minAttemptTime    = 200 * time.Millisecond // no attempt is retried with less time remaining
	retryBackoff      = 40 * time.Millisecond
	ownerBackoff      = retryBackoff / 4 // before the retry that follows an update of the owners
	retryAfterSeconds = "1"              // value of the Retry-After header
	maxRequestTimeout = 2600 * time.Millisecond
	minRequestTimeout = 300 * time.Millisecond
	responseReserve   = 150 * time.Millisecond // reserved for the transfer of the response to the client
)

// request is a client request that is forwarded to the owners of shards.
type request struct {
	destination

	scheduler    *Scheduler
	host, path   string
	mutatesJob   bool // the request submits or cancels a job
	maybeApplied bool // an attempt failed with an unknown outcome; the owner may have applied it
}

// forward calls the owner of a shard until the call succeeds, fails with an error that is not retryable, or less than
// minAttemptTime remains.
func (r *request) forward(ctx context.Context, shard, method string, message, response any) error {
	err := result.Errorf(result.NotReady, "no owner of %s is known", shard)
	for {
		owner, changed := r.scheduler.directory.Owner(shard)
		if owner != "" {
			err = r.attempt(ctx, owner, method, message, response)
			if !retryable(err) || remainingTime(ctx) < minAttemptTime {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return err
		case <-changed:
			select {
			case <-ctx.Done():
				return err
			case <-time.After(ownerBackoff):
			}
		case <-time.After(retryBackoff):
		}
	}
}

// remainingTime returns the time until the request's deadline. It limits the retries, since the outcome of an attempt that
// the deadline interrupts is unknown.
func remainingTime(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return maxRequestTimeout
	}
	return time.Until(deadline)
}

// attempt calls an owner once, and records whether the owner may have applied the call although it failed.
func (r *request) attempt(ctx context.Context, owner, method string, message, response any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	err := r.scheduler.client.Call(ctx, owner, method, message, response)
	if err != nil && !result.NotApplied(err) {
		r.maybeApplied = true
	}
	return err
}

// retryable reports whether another attempt, possibly to another owner, may succeed.
func retryable(err error) bool {
	switch result.CodeOf(err) {
	case result.NotOwner, result.NotReady, result.Unavailable, result.Fenced, result.OutcomeUnknown,
		result.StorageFailed, result.TransportFailed:
		return true
	}
	return false
}

// writeError writes the error response. Clients treat 429, 503 and 404 as a rejection, after which the job never runs, so
// these are returned only if no attempt can have been applied. This includes result.NoRoute: a route may be removed between
// two attempts, and its removal does not end jobs that were accepted.
func (r *request) writeError(w http.ResponseWriter, err error) {
	code := result.CodeOf(err)
	switch code {
	case result.NoJob:
		http.Error(w, "no such job", http.StatusGone)
		return
	case result.JobCancelled:
		http.Error(w, "the job was cancelled", http.StatusGone)
		return
	case result.JobOutdated:
		r.writeOutdated(w)
		return
	}
	if code == result.NoRoute && (!r.maybeApplied || !r.mutatesJob) {
		http.Error(w, "no such route", http.StatusNotFound)
		return
	}
	if r.maybeApplied {
		http.Error(w, "the outcome is unknown: "+err.Error(), http.StatusGatewayTimeout)
		return
	}
	switch code {
	case result.Overloaded:
		w.Header().Set("Retry-After", retryAfterSeconds)
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	case result.Invalid, result.BadRequest:
		http.Error(w, err.Error(), http.StatusBadRequest)
	case result.Conflict:
		http.Error(w, err.Error(), http.StatusConflict)
	default:
		writeUnavailable(w, err.Error())
	}
}

// writeOutdated writes the response to a submission that may have waited for so long that the client has got another answer about the
// job since.
func (r *request) writeOutdated(w http.ResponseWriter) {
	r.scheduler.outdated.Inc()
	http.Error(w, "read too late: the request may have been sent before this scheduler stalled; send it again", http.StatusGatewayTimeout)
}

// writeUnavailable writes a 503 response with a Retry-After header.
func writeUnavailable(w http.ResponseWriter, text string) {
	w.Header().Set("Retry-After", retryAfterSeconds)
	http.Error(w, text, http.StatusServiceUnavailable)
}
