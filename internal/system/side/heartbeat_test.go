package side

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"sedgevale/internal/system/api"
	"sedgevale/internal/system/result"
	"sedgevale/jobs"
	"sedgevale/workeragent"
)

func newTestScheduler(t *testing.T) *Scheduler {
	t.Helper()
	return &Scheduler{
		workers: map[string]*worker{}, drops: newDropCounter(), started: time.Now(), ctx: t.Context(),
		timing: workeragent.Timing{WorkerLease: 4 * time.Second, AgentLease: 8 * time.Second},
	}
}

// sendHeartbeat lets a scheduler handle a heartbeat of an idle worker.
func sendHeartbeat(t *testing.T, s *Scheduler, instance string) *httptest.ResponseRecorder {
	t.Helper()
	request := httptest.NewRequestWithContext(t.Context(), http.MethodPut, "/sedgevale/instances/"+instance,
		strings.NewReader(`{"service":"s","state":"ready","sequence":1}`))
	request.SetPathValue("id", instance)
	recorder := httptest.NewRecorder()
	s.handleHeartbeat(recorder, request)
	return recorder
}

// TestOrdersForAForgottenRegistrationAreRejected guards against orders that were delayed until their worker was forgotten and registered
// again: its runs of before have expired, and their tasks may run elsewhere.
func TestOrdersForAForgottenRegistrationAreRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestScheduler(t)
		sendHeartbeat(t, s, "i-1")
		delayed := &api.OrdersRequest{Token: 1, Orders: jobs.Orders{
			Instance: "i-1", AgentIncarnation: s.workers["i-1"].agent.Incarnation(), Starts: []jobs.Start{{Task: "t", Attempt: 1}},
		}}
		for range 3 {
			time.Sleep(expiredRetention)
			s.expireLeases()
		}
		if s.workers["i-1"] != nil {
			t.Fatal("the worker is not forgotten")
		}
		sendHeartbeat(t, s, "i-1")
		if _, err := s.handleOrders(t.Context(), delayed); result.CodeOf(err) != result.WrongInstance {
			t.Errorf("delayed orders: error %v, want code %d", err, result.WrongInstance)
		}
	})
}

// Whoever sends heartbeats under ever new names does not fill the memory, and does not keep the worker out for good.
func TestIncarnationsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestScheduler(t)
		beat := func(instance string) *httptest.ResponseRecorder { return sendHeartbeat(t, s, instance) }
		for i := range maxIncarnations {
			if response := beat(fmt.Sprintf("i-%d", i)); response.Code != http.StatusOK {
				t.Fatalf("incarnation %d: status %d", i, response.Code)
			}
		}
		if response := beat("i-more"); response.Code != http.StatusServiceUnavailable || response.Header().Get("Retry-After") == "" {
			t.Errorf("an incarnation too many: status %d, header %v", response.Code, response.Header())
		}
		if response := beat("i-0"); response.Code == http.StatusServiceUnavailable {
			t.Error("an incarnation that is known is refused")
		}
		time.Sleep(expiredRetention + 10*time.Second)
		s.expireLeases()
		time.Sleep(expiredRetention + time.Second)
		s.expireLeases()
		if response := beat("i-more"); response.Code != http.StatusOK {
			t.Errorf("after the others have expired: status %d", response.Code)
		}
	})
}

// The heartbeats of all incarnations together are bounded; a single one of the largest size is taken.
func TestHeartbeatsOfIncarnationsAreLimited(t *testing.T) {
	s := &Scheduler{workers: map[string]*worker{}}
	first := s.workerFor("i-1")
	if !s.hasRoom(first, maxHeartbeatBytes) {
		t.Error("a single heartbeat of the largest size is refused")
	}
	first.received = maxHeartbeatBytes / 2
	second := s.workerFor("i-2")
	if !s.hasRoom(second, maxHeartbeatBytes/2) || s.hasRoom(second, maxHeartbeatBytes/2+1) {
		t.Error("the heartbeats of two incarnations are not bounded by the largest size of one")
	}
	if !s.hasRoom(first, maxHeartbeatBytes) {
		t.Error("a heartbeat counts beside the one that it replaces")
	}
}
