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
// end meanwhile, the answer waits for orders, so that they start at once.
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
	from, outcome := s.applyHeartbeat(r.PathValue("id"), heartbeat)
	switch outcome {
	case heartbeatOutdated:
		http.Error(w, "sequence: a later heartbeat came before", http.StatusConflict)
		return
	case heartbeatReplaced:
		w.WriteHeader(http.StatusOK) // without a lease it runs nothing
		return
	case heartbeatIdle:
		select {
		case <-from.ordersReady:
		case <-time.After(orderWaitTimeout):
		case <-r.Context().Done():
			return
		}
	case heartbeatApplied:
	}
	s.answer(w, from, heartbeat.Sequence)
}

// heartbeatOutcome is what a heartbeat came to.
type heartbeatOutcome int

const (
	heartbeatApplied  heartbeatOutcome = iota
	heartbeatIdle                      // applied; the worker runs nothing and there are no orders for it
	heartbeatOutdated                  // a later heartbeat came before
	heartbeatReplaced                  // another incarnation has taken the worker's place
)

// applyHeartbeat updates the state of an incarnation and has a report sent if it has changed.
func (s *Scheduler) applyHeartbeat(instance string, heartbeat workeragent.Heartbeat) (*worker, heartbeatOutcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := s.workerOf(instance)
	from.service = heartbeat.Service
	if !from.agent.OnHeartbeat(s.now(), heartbeat) {
		return from, heartbeatOutdated
	}
	if from.replaced {
		return from, heartbeatReplaced
	}
	s.confirm(from)
	idle := from.confirmed && from.agent.Idle() && !from.agent.HasOrders(s.now())
	if state := from.agent.StateDigest(); state != from.reported {
		from.reported = state
		signal(from.reportDue)
	}
	if idle {
		return from, heartbeatIdle
	}
	return from, heartbeatApplied
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

// handleLeave notes that a worker drains and will end.
func (s *Scheduler) handleLeave(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if leaving := s.workers[r.PathValue("id")]; leaving != nil {
		leaving.agent.OnDeregister(s.now())
		signal(leaving.reportDue)
	}
	w.WriteHeader(http.StatusOK)
}
