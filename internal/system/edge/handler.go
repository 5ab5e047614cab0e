package edge

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"sedgevale/internal/resourcequota"
	"sedgevale/internal/system/api"
	"sedgevale/internal/system/clusterconfig"
	"sedgevale/jobs"
)

const (
	confirmationTTL     = 1500 * time.Millisecond // how long a confirmed configuration is considered current
	defaultMaxBodyBytes = 262144
	deadlineHeader      = "Deadline-Ms"
	bodyCopies          = 3 // a body as it was sent, parsed, and in the message to the owner
)

// ServeHTTP serves a client request: it submits, shows or cancels a job, or counts the pending jobs of a queue.
func (s *Scheduler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isDraining() {
		w.Header().Set("Connection", "close")
	}
	req := &request{destination: s.resolve(r.Host, r.URL.Path), scheduler: s, host: r.Host, path: r.URL.Path}
	if req.table == nil {
		writeUnavailable(w, "no configuration yet")
		return
	}
	if !req.isKnown() {
		if req.configAge > confirmationTTL {
			writeUnavailable(w, "the configuration is not confirmed")
			return
		}
		http.Error(w, "no such route", http.StatusNotFound)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout(r, req.route))
	defer cancel()
	switch {
	case req.jobID == "" && r.Method == http.MethodGet:
		req.handlePending(ctx, w)
	case !validJobID(req.jobID):
		http.Error(w, "path: an ID of 16 hex digits is wanted behind the prefix", http.StatusBadRequest)
	case r.Method == http.MethodPost:
		req.handleSubmit(ctx, w, r, req.table.Config.Limits.MaxBodyBytes)
	case r.Method == http.MethodGet:
		req.handleStatus(ctx, w)
	case r.Method == http.MethodDelete:
		req.handleCancel(ctx, w)
	default:
		http.Error(w, "method: POST, GET or DELETE is wanted", http.StatusMethodNotAllowed)
	}
}

// patience returns how long a client waits for the answer to its request, as far as is known.
func patience(r *http.Request, route *clusterconfig.Route) time.Duration {
	if deadline, ok := clientDeadline(r); ok {
		return deadline
	}
	if route != nil {
		return time.Duration(route.TimeoutMS) * time.Millisecond
	}
	return maxRequestTimeout + responseReserve
}

// clientDeadline returns how long the client waits for an answer, if it says so.
func clientDeadline(r *http.Request) (time.Duration, bool) {
	milliseconds, err := strconv.ParseInt(r.Header.Get(deadlineHeader), 10, 64)
	return time.Duration(milliseconds) * time.Millisecond, err == nil && milliseconds > 0
}

// requestTimeout returns the timeout of a request: the minimum of maxRequestTimeout, the timeout of the route, if there is one, and
// the client's deadline, the latter two less responseReserve. It is never less than minRequestTimeout.
func requestTimeout(r *http.Request, route *clusterconfig.Route) time.Duration {
	timeout := maxRequestTimeout
	if route != nil {
		timeout = min(timeout, time.Duration(route.TimeoutMS)*time.Millisecond-responseReserve)
	}
	if deadline, ok := clientDeadline(r); ok {
		timeout = min(timeout, deadline-responseReserve)
	}
	return max(timeout, minRequestTimeout)
}

// handleSubmit validates a job and submits it to the owner of the shard that has it, or of the route's shard.
func (r *request) handleSubmit(ctx context.Context, w http.ResponseWriter, httpRequest *http.Request, maxBytes int64) {
	maxWait := r.scheduler.stalls.stalledFor(time.Now())
	if maxWait >= patience(httpRequest, r.route) {
		r.writeOutdated(w) // the client may have got another answer since, which the submission would undo
		return
	}
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	limits := resourcequota.BodyLimits{MaxBytes: min(maxBytes, jobs.MaxBodyBytes), Copies: bodyCopies}
	body, reservation, err := resourcequota.ReadBody(httpRequest, limits)
	defer reservation.Release()
	if err != nil {
		resourcequota.WriteRefusal(w, err)
		return
	}
	if err := validateJob(body); err != nil {
		http.Error(w, "job: "+err.Error(), http.StatusBadRequest)
		return
	}
	message := func(shard string) any {
		return &api.SubmitRequest{
			Shard: shard, ConfigVersion: r.configVersion, Queue: r.queue(), ID: r.jobID, Body: body, Endpoint: r.endpoint,
			KnownOnly: r.isFormer(shard), MaxWaitMS: maxWait.Milliseconds(),
		}
	}
	r.mutatesJob = true
	if err := r.callJob(ctx, jobCall{api.MethodSubmit, message, &api.Empty{}}); err != nil {
		r.writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// validateJob validates the body of a submission. The error names the invalid field.
func validateJob(body []byte) error {
	spec := &jobs.Spec{}
	if err := spec.UnmarshalJSON(body); err != nil {
		return err
	}
	return spec.Validate()
}

func (r *request) jobMessage(shard string) any {
	return &api.JobRequest{
		Shard: shard, Queue: r.queue(), ID: r.jobID, Endpoint: r.endpoint, ConfigVersion: r.configVersion, KnownOnly: r.isFormer(shard),
	}
}

// handleStatus writes a job's state.
func (r *request) handleStatus(ctx context.Context, w http.ResponseWriter) {
	response := &api.JobResponse{}
	if err := r.callJob(ctx, jobCall{api.MethodStatus, r.jobMessage, response}); err != nil {
		r.writeError(w, err)
		return
	}
	writeJSON(w, map[string]any{"state": response.State})
}

func (r *request) handleCancel(ctx context.Context, w http.ResponseWriter) {
	r.mutatesJob = true
	if err := r.callJob(ctx, jobCall{api.MethodCancel, r.jobMessage, &api.Empty{}}); err != nil {
		r.writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// handlePending writes the number of the endpoint's jobs of which no task has started, in all shards that may have some.
func (r *request) handlePending(ctx context.Context, w http.ResponseWriter) {
	if r.configAge > confirmationTTL {
		writeUnavailable(w, "the configuration is not confirmed")
		return
	}
	pending := int64(0)
	for _, shard := range append([]string{r.route.Service}, r.formerShards...) {
		response := &api.PendingResponse{}
		message := &api.PendingRequest{Shard: shard, Queue: r.queue(), Endpoint: r.endpoint}
		if err := r.forward(ctx, shard, api.MethodPending, message, response); err != nil {
			r.writeError(w, err)
			return
		}
		pending += response.Pending
	}
	writeJSON(w, map[string]any{"pending": pending})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
