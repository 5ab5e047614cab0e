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

// ClassShare is a class of jobs and its weight in a traffic mix.
type ClassShare struct {
	Class string
	Share float64 // weight relative to the sum over the mix
	Keyed bool    // jobs carry an Idempotency-Key
}

// Clients is a closed-loop load generator: each client sends a job, waits for the response and
// a random think time, and sends the next job.
type Clients struct {
	Target  string // host:port of the scheduler
	Number  int    // number of concurrent clients
	Mix     []ClassShare
	Tenants []string
	Think   time.Duration // mean of the exponentially distributed think time
	Timeout time.Duration // value of the Request-Timeout header
	Prefix  string        // prefix of the job IDs
	Seed    uint64
}

// Response is a job and the response that its client received.
type Response struct {
	Job, Class         string
	SentAt, ReceivedAt time.Time
	Status             int // HTTP status; 0 without a complete response
	Body               string
}

// Run sends jobs until the context ends and returns each with its response.
func (c Clients) Run(ctx context.Context) []Response {
	var mu sync.Mutex
	var all []Response
	var wg sync.WaitGroup
	for n := range c.Number {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(c.Seed, uint64(n)))
			transport := &http.Transport{DisableCompression: true}
			defer transport.CloseIdleConnections()
			client := &http.Client{Transport: transport}
			for sequence := 0; ctx.Err() == nil; sequence++ {
				response := c.send(context.WithoutCancel(ctx), client, random, fmt.Sprintf("%s-%d-%d", c.Prefix, n, sequence))
				mu.Lock()
				all = append(all, response)
				mu.Unlock()
				select {
				case <-time.After(time.Duration(random.ExpFloat64() * float64(c.Think))):
				case <-ctx.Done():
				}
			}
		})
	}
	wg.Wait()
	return all
}

// send sends a job of a class sampled from the mix and returns the response. The caller passes a
// context that outlives the run, so that the end of the run does not cancel requests in flight.
func (c Clients) send(ctx context.Context, client *http.Client, random *rand.Rand, id string) Response {
	sum := 0.0
	for _, m := range c.Mix {
		sum += m.Share
	}
	class, at := c.Mix[0], random.Float64()*sum
	for _, m := range c.Mix {
		if class = m; at < m.Share {
			break
		}
		at -= m.Share
	}
	response := Response{Job: id, Class: class.Class, SentAt: time.Now()}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Target+"/"+class.Class, bytes.NewReader([]byte("job "+id)))
	if err != nil {
		return response
	}
	request.Header.Set("Request-Id", id)
	request.Header.Set("Request-Class", class.Class)
	request.Header.Set("Tenant", c.Tenants[random.IntN(len(c.Tenants))])
	request.Header.Set("Request-Timeout", fmt.Sprintf("%dm", c.Timeout.Milliseconds()))
	request.GetBody = nil // otherwise net/http may retry the request on its own
	if class.Keyed {
		request.Header.Set("Idempotency-Key", "key-"+id)
	}
	return response.Do(client, request)
}

// Do sends the job's request and returns the job with its response. Status and Body are set only
// if the complete response was received.
func (r Response) Do(client *http.Client, request *http.Request) Response {
	received, err := client.Do(request)
	if err != nil {
		r.ReceivedAt = time.Now()
		return r
	}
	defer func() { _ = received.Body.Close() }() // the body has been read to its end
	body, err := io.ReadAll(received.Body)
	if r.ReceivedAt = time.Now(); err == nil {
		r.Status, r.Body = received.StatusCode, string(body)
	}
	return r
}
