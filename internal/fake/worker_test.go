package fake

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestAwaitIdleWhileJobsArrive checks that AwaitIdle may be called while jobs still arrive. When
// the jobs were counted by a WaitGroup, its Wait raced with the Add of the first job after a pause, and
// the race detector failed runs at random.
func TestAwaitIdleWhileJobsArrive(t *testing.T) {
	worker := NewWorker(WorkerOptions{ID: "box-1", Seed: 1})
	var clients sync.WaitGroup
	for i := range 50 {
		clients.Go(func() {
			q := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/usage-view", strings.NewReader("x"))
			q.Header.Set("Request-Id", strconv.Itoa(i))
			worker.ServeHTTP(httptest.NewRecorder(), q)
		})
		worker.AwaitIdle()
	}
	clients.Wait()
	worker.AwaitIdle()
	for _, id := range worker.RunLog().Jobs() {
		if runs := worker.RunLog().Runs(id); len(runs) != 1 || runs[0].Finished.IsZero() {
			t.Errorf("job %s: runs %+v; want one run that finished by %v", id, runs, time.Now())
		}
	}
}
