package local

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	submitEvery = 300 * time.Millisecond
	tellEvery   = 10 // jobs between two lines
	askAfter    = 3 * time.Second
)

// client hands in a job now and then, and tells what became of those some time ago.
func (s *System) client(ctx context.Context) {
	type handedIn struct {
		id string
		at time.Time
	}
	var open []handedIn
	accepted, refused, completed, other := 0, 0, 0, 0
	for n := 1; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%016x", rand.Uint64())
		if s.submit(ctx, id) {
			accepted++
			open = append(open, handedIn{id, time.Now()})
		} else {
			refused++
		}
		for len(open) > 0 && time.Since(open[0].at) > askAfter {
			if s.state(ctx, open[0].id) == "completed" {
				completed++
			} else {
				other++
			}
			open = open[1:]
		}
		if n%tellEvery == 0 {
			fmt.Fprintf(s.out, "jobs: %d accepted, %d not taken, %d completed within 3 s, %d not yet or failed\n",
				accepted, refused, completed, other)
		}
		select {
		case <-ctx.Done():
		case <-time.After(submitEvery):
		}
	}
}

func (s *System) submit(ctx context.Context, id string) bool {
	body := fmt.Sprintf(`{"spec":"demo","stages":[{"count":%d,"cpu":%d,"mem_mb":64,"estimate_ms":500},`+
		`{"count":1,"cpu":%d,"mem_mb":64,"estimate_ms":500,"depends_on":[0]}]}`, 1+rand.IntN(4), taskCPU, taskCPU)
	status, _ := s.call(ctx, http.MethodPost, id, body)
	return status == http.StatusOK
}

func (s *System) state(ctx context.Context, id string) string {
	_, text := s.call(ctx, http.MethodGet, id, "")
	for _, state := range []string{"completed", "running", "queued", "failed", "cancelled"} {
		if strings.Contains(text, state) {
			return state
		}
	}
	return "unknown"
}

func (s *System) call(ctx context.Context, method, id, body string) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+EdgeAddress()+prefix+id, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Host = host
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(text)
}
