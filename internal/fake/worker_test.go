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

// Guards a call of AwaitIdle while jobs still arrive: with a WaitGroup the first job
// after a pause raced with it, and the race detector ended runs at random.
func TestAwaitIdleWhileJobsArrive(t *testing.T) {
	b := NewWorker(WorkerOptions{ID: "box-1", Seed: 1})
	var clients sync.WaitGroup
	for i := range 50 {
		clients.Go(func() {
			q := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/usage-view", strings.NewReader("x"))
			q.Header.Set("Request-Id", strconv.Itoa(i))
			b.ServeHTTP(httptest.NewRecorder(), q)
		})
		b.AwaitIdle()
	}
	clients.Wait()
	b.AwaitIdle()
	for _, id := range b.RunLog().Jobs() {
		if runs := b.RunLog().Runs(id); len(runs) != 1 || runs[0].Finished.IsZero() {
			t.Errorf("job %s: %+v, want one run that has ended by %v", id, runs, time.Now())
		}
	}
}
