package side

import (
	"io"
	"net/http"
	"time"

	"sedgevale/workeragent"
)

// heartbeat takes a worker's account of itself and answers with orders. Where the worker runs nothing, so that
// no end can come, the answer waits for an order, which then starts at once.
func (s *Side) heartbeat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBeatBytes))
	if err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	beat := workeragent.Heartbeat{}
	if err := beat.UnmarshalJSON(body); err != nil {
		http.Error(w, "heartbeat: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	one := s.incarnationOf(r.PathValue("id"))
	one.service = beat.Service
	if !one.agent.OnBeat(s.now(), beat) {
		s.mu.Unlock()
		http.Error(w, "sequence: a later heartbeat came before", http.StatusConflict)
		return
	}
	if one.ended {
		s.mu.Unlock()
		w.WriteHeader(http.StatusOK) // without a hold it runs nothing
		return
	}
	s.confirm(one)
	waits := one.confirmed && one.agent.Idle() && !one.agent.Pending(s.now())
	news := one.agent.News()
	if news != one.told {
		one.told = news
		poke(one.tell)
	}
	s.mu.Unlock()
	if waits {
		select {
		case <-one.orders:
		case <-time.After(answerAfter):
		case <-r.Context().Done():
			return
		}
	}
	s.answer(w, one, beat.Sequence)
}

// answer sends what the agent says now, unless another heartbeat has come meanwhile.
func (s *Side) answer(w http.ResponseWriter, one *incarnation, sequence int64) {
	s.mu.Lock()
	if !one.agent.IsNewest(sequence) {
		s.mu.Unlock()
		http.Error(w, "sequence: a later heartbeat came meanwhile", http.StatusConflict)
		return
	}
	answer := one.agent.Answer(s.now())
	s.mu.Unlock()
	answer.RetryAfterMS = retryAfterMS
	text, err := answer.MarshalJSON()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}

// goodbye notes that a worker leaves.
func (s *Side) goodbye(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if one := s.agents[r.PathValue("id")]; one != nil {
		one.agent.OnLeave(s.now())
		poke(one.tell)
	}
	w.WriteHeader(http.StatusOK)
}
