package side

import (
	"io"
	"net/http"
	"time"

	"sedgevale/workeragent"
)

const (
	maxHeartbeatBytes = 8 << 20
	orderWaitTimeout  = 700 * time.Millisecond // for the answer to the heartbeat of an idle worker
	heartbeatDelayMS  = 25                     // between an answer and the next heartbeat
)

// handleHeartbeat takes a worker's heartbeat and answers with orders. If the worker runs nothing, so that no task can
// end meanwhile, the answer is delayed until there are orders (long poll), so that they start at once.
func (s *Scheduler) handleHeartbeat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxHeartbeatBytes))
	if err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	heartbeat := workeragent.Heartbeat{}
	if err := heartbeat.UnmarshalJSON(body); err != nil {
		http.Error(w, "heartbeat: "+err.Error(), http.StatusBadRequest)
		return
	}
	reporting, outcome := s.applyHeartbeat(r.PathValue("id"), heartbeat)
	switch outcome {
	case heartbeatOutdated:
		http.Error(w, "sequence: a later heartbeat came before", http.StatusConflict)
		return
	case heartbeatReplaced:
		w.WriteHeader(http.StatusOK) // without a lease it runs nothing
		return
	case heartbeatIdle:
		select {
		case <-reporting.ordersReady:
		case <-time.After(orderWaitTimeout):
		case <-r.Context().Done():
			return
		}
	case heartbeatApplied:
	}
	s.answer(w, reporting, heartbeat.Sequence)
}

// heartbeatOutcome is what a heartbeat came to.
type heartbeatOutcome int

const (
	heartbeatApplied  heartbeatOutcome = iota
	heartbeatIdle                      // applied; the worker runs nothing and there are no orders for it
	heartbeatOutdated                  // a later heartbeat came before
	heartbeatReplaced                  // a newer incarnation has replaced this one
)

// applyHeartbeat updates the state of an incarnation and has a report to the owner sent if that has changed it.
func (s *Scheduler) applyHeartbeat(instance string, heartbeat workeragent.Heartbeat) (*worker, heartbeatOutcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := s.workerOf(instance)
	present.service = heartbeat.Service
	if !present.agent.OnHeartbeat(s.now(), heartbeat) {
		return present, heartbeatOutdated
	}
	if present.replaced {
		return present, heartbeatReplaced
	}
	s.confirm(present)
	idle := present.confirmed && present.agent.Idle() && !present.agent.HasOrders(s.now())
	if state := present.agent.StateDigest(); state != present.reported {
		present.reported = state
		signal(present.reportDue)
	}
	if idle {
		return present, heartbeatIdle
	}
	return present, heartbeatApplied
}

// answer sends the agent's answer to the heartbeat of a sequence number, unless a later one has come meanwhile.
func (s *Scheduler) answer(w http.ResponseWriter, to *worker, sequence int64) {
	s.mu.Lock()
	if !to.agent.IsNewest(sequence) {
		s.mu.Unlock()
		http.Error(w, "sequence: a later heartbeat came meanwhile", http.StatusConflict)
		return
	}
	answer := to.agent.Answer(s.now())
	s.mu.Unlock()
	answer.RetryAfterMS = heartbeatDelayMS
	text, err := answer.MarshalJSON()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}

// handleDeregister handles a worker's deregistration: it takes no more runs and will end.
func (s *Scheduler) handleDeregister(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if leaving := s.workers[r.PathValue("id")]; leaving != nil {
		leaving.agent.OnDeregister(s.now())
		signal(leaving.reportDue)
	}
	w.WriteHeader(http.StatusOK)
}
