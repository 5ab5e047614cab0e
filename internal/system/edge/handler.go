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
	jobIDLength         = 16                      // hexadecimal digits
	defaultMaxBodyBytes = 262144
	deadlineHeader      = "Deadline-Ms"
	bodyCopies          = 3 // a body as it was sent, parsed, and in the message to the owner
)

// ServeHTTP serves a client request: it submits, shows or cancels a job, or counts the pending jobs of a queue.
func (s *Scheduler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isDraining() {
		w.Header().Set("Connection", "close")
	}
	table, version, age := s.directory.Table()
	if table == nil {
		writeUnavailable(w, "no configuration yet")
		return
	}
	route, id := table.Match(r.Host, r.URL.Path)
	if route == nil {
		if age > confirmationTTL {
			writeUnavailable(w, "the configuration is not confirmed")
			return
		}
		http.Error(w, "no such route", http.StatusNotFound)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout(r, route))
	defer cancel()
	req := &request{scheduler: s, route: route, configVersion: version, configAge: age, jobID: id}
	switch {
	case id == "" && r.Method == http.MethodGet:
		req.handlePending(ctx, w)
	case !validJobID(id):
		http.Error(w, "path: an ID of 16 hex digits is wanted behind the prefix", http.StatusBadRequest)
	case r.Method == http.MethodPost:
		req.handleSubmit(ctx, w, r, table.Config.Limits.MaxBodyBytes)
	case r.Method == http.MethodGet:
		req.handleStatus(ctx, w)
	case r.Method == http.MethodDelete:
		req.handleCancel(ctx, w)
	default:
		http.Error(w, "method: POST, GET or DELETE is wanted", http.StatusMethodNotAllowed)
	}
}

// requestTimeout returns the timeout of a request: the minimum of maxRequestTimeout, the route's timeout and the client's
// deadline, the latter two less responseReserve. It is never less than minRequestTimeout.
func requestTimeout(r *http.Request, route *clusterconfig.Route) time.Duration {
	timeout := min(maxRequestTimeout, time.Duration(route.TimeoutMS)*time.Millisecond-responseReserve)
	if deadline, err := strconv.ParseInt(r.Header.Get(deadlineHeader), 10, 64); err == nil && deadline > 0 {
		timeout = min(timeout, time.Duration(deadline)*time.Millisecond-responseReserve)
	}
	return max(timeout, minRequestTimeout)
}

func validJobID(id string) bool {
	if len(id) != jobIDLength {
		return false
	}
	for _, c := range id {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// handleSubmit validates a job and submits it to the owner of the route's shard.
func (r *request) handleSubmit(ctx context.Context, w http.ResponseWriter, httpRequest *http.Request, maxBytes int64) {
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
	message := &api.SubmitRequest{
		Shard: r.route.Service, ConfigVersion: r.configVersion, Queue: r.route.Name, ID: r.jobID, Body: body,
	}
	r.mutatesJob = true
	if err := r.forward(ctx, api.MethodSubmit, message, &api.Empty{}); err != nil {
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

func (r *request) jobMessage() *api.JobRequest {
	return &api.JobRequest{Shard: r.route.Service, Queue: r.route.Name, ID: r.jobID}
}

// handleStatus writes a job's state.
func (r *request) handleStatus(ctx context.Context, w http.ResponseWriter) {
	response := &api.JobResponse{}
	if err := r.forward(ctx, api.MethodStatus, r.jobMessage(), response); err != nil {
		r.writeError(w, err)
		return
	}
	writeJSON(w, map[string]any{"state": response.State})
}

func (r *request) handleCancel(ctx context.Context, w http.ResponseWriter) {
	r.mutatesJob = true
	if err := r.forward(ctx, api.MethodCancel, r.jobMessage(), &api.Empty{}); err != nil {
		r.writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// handlePending writes the number of the queue's jobs of which no task has started.
func (r *request) handlePending(ctx context.Context, w http.ResponseWriter) {
	if r.configAge > confirmationTTL {
		writeUnavailable(w, "the configuration is not confirmed")
		return
	}
	response := &api.PendingResponse{}
	message := &api.PendingRequest{Shard: r.route.Service, Queue: r.route.Name}
	if err := r.forward(ctx, api.MethodPending, message, response); err != nil {
		r.writeError(w, err)
		return
	}
	writeJSON(w, map[string]any{"pending": response.Pending})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
