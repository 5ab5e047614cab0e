package side

import (
	"net/http"
	"time"

	"sedgevale/internal/resourcequota"
	"sedgevale/workeragent"
)

const (
	maxHeartbeatBytes = 8 << 20
	orderWaitTimeout  = 700 * time.Millisecond // maximum delay of the response to an idle worker
	heartbeatDelayMS  = 25                     // milliseconds between a response and the worker's next heartbeat
)

// heartbeatLimits bound the body of a heartbeat. It is held as it is sent, parsed, and in the agent's state.
var heartbeatLimits = resourcequota.BodyLimits{MaxBytes: maxHeartbeatBytes, Copies: 3}

// handleHeartbeat applies a worker's heartbeat and responds with the orders for the worker. The heartbeat of an idle
// worker is a long poll: no task can end in the meantime, and the response is delayed until there are orders, for at most
// orderWaitTimeout, so that tasks start without waiting for the next heartbeat.
func (s *Scheduler) handleHeartbeat(w http.ResponseWriter, r *http.Request) {
	body, reservation, err := resourcequota.ReadBody(r, heartbeatLimits)
	defer reservation.Release()
	if err != nil {
		resourcequota.WriteRefusal(w, err)
		return
	}
	heartbeat := workeragent.Heartbeat{}
	if err := heartbeat.UnmarshalJSON(body); err != nil {
		http.Error(w, "heartbeat: "+err.Error(), http.StatusBadRequest)
		return
	}
	sender, outcome := s.applyHeartbeat(r.PathValue("id"), heartbeat, len(body))
	switch outcome {
	case heartbeatOutdated:
		http.Error(w, "sequence: a later heartbeat came before", http.StatusConflict)
		return
	case heartbeatRefused:
		w.Header().Set("Retry-After", resourcequota.RetryAfterSeconds)
		http.Error(w, "too many or too large incarnations of the worker", http.StatusServiceUnavailable)
		return
	case heartbeatReplaced:
		w.WriteHeader(http.StatusOK) // a response without a lease, so that the worker runs no tasks
		return
	case heartbeatIdle:
		select {
		case <-sender.ordersReady:
		case <-time.After(orderWaitTimeout):
		case <-r.Context().Done():
			return
		}
	case heartbeatApplied:
	}
	s.respond(w, sender, heartbeat.Sequence)
}

// heartbeatOutcome is the result of applying a heartbeat.
type heartbeatOutcome int

const (
	heartbeatApplied  heartbeatOutcome = iota
	heartbeatIdle                      // applied; the worker runs no tasks and there are no orders for it
	heartbeatOutdated                  // a later heartbeat was received before this one
	heartbeatReplaced                  // a newer incarnation has replaced this one
	heartbeatRefused                   // the state of too many or too large incarnations is kept
)

// applyHeartbeat updates the state of an incarnation, which it returns unless the heartbeat, of the given number of bytes, was
// refused. If the state has changed, it triggers a report to the owner.
func (s *Scheduler) applyHeartbeat(instance string, heartbeat workeragent.Heartbeat, bytes int) (*worker, heartbeatOutcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.workerFor(instance)
	if w == nil || !s.hasRoom(w, bytes) {
		return nil, heartbeatRefused
	}
	w.received = bytes
	w.service = heartbeat.Service
	if !w.agent.HandleHeartbeat(s.now(), heartbeat) {
		return w, heartbeatOutdated
	}
	s.recordDrops(w)
	if w.replaced {
		return w, heartbeatReplaced
	}
	s.confirm(w)
	idle := w.confirmed && w.agent.Idle() && !w.agent.HasOrders(s.now())
	if state := w.agent.StateDigest(); state != w.reported {
		w.reported = state
		signal(w.reportDue)
	}
	if idle {
		return w, heartbeatIdle
	}
	return w, heartbeatApplied
}

// respond writes the agent's response to the heartbeat with the given sequence number, unless a later heartbeat has been
// received in the meantime.
func (s *Scheduler) respond(w http.ResponseWriter, target *worker, sequence int64) {
	s.mu.Lock()
	if !target.agent.IsNewest(sequence) {
		s.mu.Unlock()
		http.Error(w, "sequence: a later heartbeat came meanwhile", http.StatusConflict)
		return
	}
	answer := target.agent.Response(s.now())
	s.mu.Unlock()
	answer.RetryAfterMS = heartbeatDelayMS
	encoded, err := answer.MarshalJSON()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(encoded)
}

// handleDeregister handles the deregistration of a worker, which accepts no more runs and is about to exit.
func (s *Scheduler) handleDeregister(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if leaving := s.workers[r.PathValue("id")]; leaving != nil {
		leaving.agent.HandleDeregister(s.now())
		s.recordDrops(leaving)
		signal(leaving.reportDue)
	}
	w.WriteHeader(http.StatusOK)
}
