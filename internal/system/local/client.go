package local

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	submitInterval = 300 * time.Millisecond
	statusDelay    = 3 * time.Second // between the submission of a job and the query of its state
	callTimeout    = 3 * time.Second
	jobsPerLine    = 10 // number of submissions per line of output
)

// submission is an accepted job.
type submission struct {
	id string
	at time.Time
}

// clientStats counts jobs by outcome.
type clientStats struct {
	accepted, rejected, completed, other int
}

// runClient submits a job every submitInterval, queries the state of each after statusDelay, and prints the counts, until
// ctx is cancelled.
func (s *system) runClient(ctx context.Context) {
	var pending []submission // oldest first
	stats := clientStats{}
	for n := 1; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%016x", rand.Uint64())
		if submit(ctx, id) {
			stats.accepted++
			pending = append(pending, submission{id, time.Now()})
		} else {
			stats.rejected++
		}
		for len(pending) > 0 && time.Since(pending[0].at) > statusDelay {
			if jobState(ctx, pending[0].id) == "completed" {
				stats.completed++
			} else {
				stats.other++
			}
			pending = pending[1:]
		}
		if n%jobsPerLine == 0 {
			_, _ = fmt.Fprintf(s.out, "jobs: %d accepted, %d not accepted, %d completed within 3 s, %d unfinished or failed\n",
				stats.accepted, stats.rejected, stats.completed, stats.other)
		}
		select {
		case <-ctx.Done():
		case <-time.After(submitInterval):
		}
	}
}

// submit submits a job with two stages and reports whether it was accepted.
func submit(ctx context.Context, id string) bool {
	body := fmt.Sprintf(`{"spec":"demo","stages":[{"count":%d,"cpu":%d,"mem_mb":64,"estimate_ms":500},`+
		`{"count":1,"cpu":%d,"mem_mb":64,"estimate_ms":500,"depends_on":[0]}]}`, 1+rand.IntN(4), taskCPU, taskCPU)
	status, _, err := call(ctx, http.MethodPost, id, body)
	return err == nil && status == http.StatusOK
}

// jobState returns a job's state, or "unknown" if it cannot be determined.
func jobState(ctx context.Context, id string) string {
	_, text, err := call(ctx, http.MethodGet, id, "")
	if err != nil {
		return "unknown"
	}
	for _, state := range []string{"completed", "running", "queued", "failed", "cancelled"} {
		if strings.Contains(text, state) {
			return state
		}
	}
	return "unknown"
}

// call sends a client request for a job to the edge scheduler.
func call(ctx context.Context, method, id, body string) (status int, text string, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+edgeAddress()+pathPrefix+id, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	request.Host = host
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, string(content), errors.Join(err, response.Body.Close())
}
