package edge

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"sedgevale/internal/system/api"
	"sedgevale/internal/system/clusterconfig"
	"sedgevale/internal/system/result"
	"sedgevale/jobs"
)

const (
	confirmedFor   = 1500 * time.Millisecond // how long a configuration counts without another word of it
	callTimeout    = 900 * time.Millisecond
	answerSlack    = 150 * time.Millisecond // an answer needs so long to reach the client
	leastWait      = 300 * time.Millisecond
	mostWait       = 2600 * time.Millisecond
	leastCall      = 200 * time.Millisecond // the time that another call wants
	retryPause     = 40 * time.Millisecond
	retryAfter     = "1" // seconds
	idLength       = 16
	defaultBody    = 262144
	deadlineHeader = "Deadline-Ms"
)

// ServeHTTP takes a client's request.
func (e *Edge) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.isLeaving() {
		w.Header().Set("Connection", "close")
	}
	table, version, age := e.directory.Table()
	if table == nil {
		unavailable(w, "no configuration yet")
		return
	}
	route, id := table.Match(r.Host, r.URL.Path)
	if route == nil {
		if age > confirmedFor {
			unavailable(w, "the configuration is not confirmed")
			return
		}
		http.Error(w, "no such route", http.StatusNotFound)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), waitFor(r, route))
	defer cancel()
	call := &call{edge: e, ctx: ctx, route: route, version: version, id: id, age: age}
	switch {
	case id == "" && r.Method == http.MethodGet:
		call.pending(w)
	case !validID(id):
		http.Error(w, "path: an ID of 16 hex digits is wanted behind the prefix", http.StatusBadRequest)
	case r.Method == http.MethodPost:
		call.submit(w, r, table.Config.Limits.MaxBodyBytes)
	case r.Method == http.MethodGet:
		call.status(w)
	case r.Method == http.MethodDelete:
		call.cancel(w)
	default:
		http.Error(w, "method: POST, GET or DELETE is wanted", http.StatusMethodNotAllowed)
	}
}

// waitFor returns how long a request may take here.
func waitFor(r *http.Request, route *clusterconfig.Route) time.Duration {
	wait := min(mostWait, time.Duration(route.TimeoutMS)*time.Millisecond-answerSlack)
	if deadline, err := strconv.ParseInt(r.Header.Get(deadlineHeader), 10, 64); err == nil && deadline > 0 {
		wait = min(wait, time.Duration(deadline)*time.Millisecond-answerSlack)
	}
	return max(wait, leastWait)
}

func validID(id string) bool {
	if len(id) != idLength {
		return false
	}
	for _, c := range id {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

func unavailable(w http.ResponseWriter, text string) {
	w.Header().Set("Retry-After", retryAfter)
	http.Error(w, text, http.StatusServiceUnavailable)
}

// call is a client's request on its way.
type call struct {
	edge    *Edge
	ctx     context.Context
	route   *clusterconfig.Route
	version int64
	id      string
	age     time.Duration
	begun   bool // the owner may have acted on it
}

// ask calls the owner of the route's shard until it answers for good or time is up. A failure after which the
// owner may have acted is remembered.
func (c *call) ask(method string, request, response any) error {
	err := result.Errorf(result.NotReady, "no owner of %s is known", c.route.Service)
	for {
		owner, changed := c.edge.directory.Owner(c.route.Service)
		if owner != "" {
			err = c.once(owner, method, request, response)
			if !transient(err) || c.timeLeft() < leastCall {
				return err
			}
		}
		select {
		case <-c.ctx.Done():
			return err
		case <-changed:
			select {
			case <-c.ctx.Done():
				return err
			case <-time.After(retryPause / 4):
			}
		case <-time.After(retryPause):
		}
	}
}

// timeLeft returns how long the request may still take. A call that would be cut off at its end leaves open what
// came of it, so none is begun then.
func (c *call) timeLeft() time.Duration {
	deadline, ok := c.ctx.Deadline()
	if !ok {
		return mostWait
	}
	return time.Until(deadline)
}

func (c *call) once(owner, method string, request, response any) error {
	ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
	defer cancel()
	err := c.edge.client.Call(ctx, owner, method, request, response)
	if err != nil && !result.Unchanged(err) {
		c.begun = true
	}
	return err
}

// transient reports whether another try, perhaps at another owner, may do better.
func transient(err error) bool {
	switch result.CodeOf(err) {
	case result.NotOwner, result.NotReady, result.Unavailable, result.Fenced, result.OutcomeUnknown,
		result.StorageFailed, result.TransportFailed:
		return true
	}
	return false
}

// fail answers a request that the owner did not serve. Only what has surely changed nothing is refused.
func (c *call) fail(w http.ResponseWriter, err error) {
	switch result.CodeOf(err) {
	case result.NoJob:
		http.Error(w, "no such job", http.StatusGone)
		return
	case result.NoRoute:
		http.Error(w, "no such route", http.StatusNotFound)
		return
	}
	if c.begun {
		http.Error(w, "the outcome is unknown: "+err.Error(), http.StatusGatewayTimeout)
		return
	}
	switch result.CodeOf(err) {
	case result.Overloaded:
		w.Header().Set("Retry-After", retryAfter)
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	case result.Invalid, result.BadRequest:
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		unavailable(w, err.Error())
	}
}

// submit hands a job in.
func (c *call) submit(w http.ResponseWriter, r *http.Request, maxBody int64) {
	if maxBody <= 0 {
		maxBody = defaultBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		http.Error(w, "body: more than "+strconv.FormatInt(maxBody, 10)+" bytes", http.StatusRequestEntityTooLarge)
		return
	}
	if err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := checkJob(body); err != nil {
		http.Error(w, "job: "+err.Error(), http.StatusBadRequest)
		return
	}
	request := &api.SubmitRequest{
		Shard: c.route.Service, ConfigVersion: c.version, Queue: c.route.Name, ID: c.id, Body: body,
	}
	if err := c.ask(api.MethodSubmit, request, &api.Empty{}); err != nil {
		c.fail(w, err)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// checkJob returns what makes a job invalid, or nil.
func checkJob(body []byte) error {
	spec := &jobs.Spec{}
	if err := spec.UnmarshalJSON(body); err != nil {
		return err
	}
	return spec.Check()
}

func (c *call) jobRequest() *api.JobRequest {
	return &api.JobRequest{Shard: c.route.Service, Queue: c.route.Name, ID: c.id}
}

// status tells a job's state.
func (c *call) status(w http.ResponseWriter) {
	response := &api.JobResponse{}
	if err := c.ask(api.MethodStatus, c.jobRequest(), response); err != nil {
		c.fail(w, err)
		return
	}
	writeJSON(w, map[string]any{"state": response.State})
}

// cancel ends a job.
func (c *call) cancel(w http.ResponseWriter) {
	if err := c.ask(api.MethodCancel, c.jobRequest(), &api.Empty{}); err != nil {
		c.fail(w, err)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// pending tells how many jobs of the queue have no task that has begun.
func (c *call) pending(w http.ResponseWriter) {
	if c.age > confirmedFor {
		unavailable(w, "the configuration is not confirmed")
		return
	}
	response := &api.PendingResponse{}
	request := &api.PendingRequest{Shard: c.route.Service, Queue: c.route.Name}
	if err := c.ask(api.MethodPending, request, response); err != nil {
		c.fail(w, err)
		return
	}
	writeJSON(w, map[string]any{"pending": response.Pending})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
