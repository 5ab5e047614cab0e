package fake

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// ClassShare is a class of jobs and its part of the load.
type ClassShare struct {
	Class string
	Share float64 // of the sum of all parts
	Keyed bool    // jobs carry an Idempotency-Key
}

// Clients are a closed loop of clients: each sends a job, waits for its answer, thinks,
// and sends the next.
type Clients struct {
	Target  string // address of the scheduler
	Number  int
	Mix     []ClassShare
	Tenants []string
	Think   time.Duration // on average
	Timeout time.Duration // in the request
	Prefix  string        // of the jobs' ids
	Seed    uint64
}

// Response is a job and the response that its client got.
type Response struct {
	Job, Class         string
	SentAt, ReceivedAt time.Time
	Status             int // 0: no complete response
	Body               string
}

// Run sends jobs until the context ends and returns each with its response.
func (c Clients) Run(ctx context.Context) []Response {
	var mu sync.Mutex
	var all []Response
	var wg sync.WaitGroup
	for n := range c.Number {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(c.Seed, uint64(n)))
			transport := &http.Transport{DisableCompression: true}
			defer transport.CloseIdleConnections()
			h := &http.Client{Transport: transport}
			for k := 0; ctx.Err() == nil; k++ {
				t := c.send(context.WithoutCancel(ctx), h, r, fmt.Sprintf("%s-%d-%d", c.Prefix, n, k))
				mu.Lock()
				all = append(all, t)
				mu.Unlock()
				select {
				case <-time.After(time.Duration(r.ExpFloat64() * float64(c.Think))):
				case <-ctx.Done():
				}
			}
		})
	}
	wg.Wait()
	return all
}

// send sends a job of a class that is drawn by the mix. The context is not that of the run: what
// was sent is not cancelled.
func (c Clients) send(ctx context.Context, h *http.Client, r *rand.Rand, id string) Response {
	sum := 0.0
	for _, m := range c.Mix {
		sum += m.Share
	}
	kind, at := c.Mix[0], r.Float64()*sum
	for _, m := range c.Mix {
		if kind = m; at < m.Share {
			break
		}
		at -= m.Share
	}
	t := Response{Job: id, Class: kind.Class, SentAt: time.Now()}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Target+"/"+kind.Class, bytes.NewReader([]byte("job "+id)))
	if err != nil {
		return t
	}
	q.Header.Set("Request-Id", id)
	q.Header.Set("Request-Class", kind.Class)
	q.Header.Set("Tenant", c.Tenants[r.IntN(len(c.Tenants))])
	q.Header.Set("Request-Timeout", fmt.Sprintf("%dm", c.Timeout.Milliseconds()))
	q.GetBody = nil // else the library sends it again by itself
	if kind.Keyed {
		q.Header.Set("Idempotency-Key", "key-"+id)
	}
	return t.Do(h, q)
}

// Do sends a job's request and returns the job with its response. The status is set only if the
// complete response was received.
func (t Response) Do(h *http.Client, q *http.Request) Response {
	a, err := h.Do(q)
	if err != nil {
		t.ReceivedAt = time.Now()
		return t
	}
	defer func() { _ = a.Body.Close() }() // it is read to its end
	body, err := io.ReadAll(a.Body)
	if t.ReceivedAt = time.Now(); err == nil {
		t.Status, t.Body = a.StatusCode, string(body)
	}
	return t
}
