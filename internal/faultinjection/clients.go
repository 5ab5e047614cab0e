package faultinjection

import (
	"context"
	"sync"
	"time"

	"sedgevale/internal/fake"
)

// ClientLoad describes a group of clients that submit jobs of the same tenants to some schedulers.
type ClientLoad struct {
	Schedulers         []*Scheduler
	Tenants            []string
	IDSuffix           string        // follows the scheduler's name in the prefix of job IDs
	Clients            int           // number of clients per scheduler
	ThinkTime, Timeout time.Duration // mean time between two jobs of a client, and request timeout
}

// RunClients runs clients until the context ends and returns the responses they received.
func (c *Cluster) RunClients(ctx context.Context, load ClientLoad) []fake.Response {
	var mu sync.Mutex
	var responses []fake.Response
	var wg sync.WaitGroup
	for i, s := range load.Schedulers {
		wg.Go(func() {
			got := fake.Clients{Target: s.Listen, Number: load.Clients, Tenants: load.Tenants, Think: load.ThinkTime, Timeout: load.Timeout,
				Prefix: s.Name + load.IDSuffix, Seed: c.options.Seed*31 + uint64(i), Mix: Mix}.Run(ctx)
			mu.Lock()
			defer mu.Unlock()
			responses = append(responses, got...)
		})
	}
	wg.Wait()
	return responses
}

// RunAllClients runs clients of both initial tenants at each scheduler until the context ends and returns the responses they received.
func (c *Cluster) RunAllClients(ctx context.Context, clients int, think, timeout time.Duration) []fake.Response {
	return c.RunClients(ctx, ClientLoad{Schedulers: c.Schedulers, Tenants: []string{"valley", "east"}, Clients: clients, ThinkTime: think, Timeout: timeout})
}
