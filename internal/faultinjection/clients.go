package faultinjection

import (
	"context"
	"sync"
	"time"

	"sedgevale/internal/fake"
)

// ClientLoad describes clients of some schedulers, all of the same tenants.
type ClientLoad struct {
	Schedulers         []*Scheduler
	Tenants            []string
	IDSuffix           string        // of the prefix of job ids, behind the scheduler's name
	Clients            int           // of each scheduler
	ThinkTime, Timeout time.Duration // between two jobs of a client, and for an answer
}

// RunClients runs clients until the context ends and returns the answers to them.
func (c *Cluster) RunClients(ctx context.Context, load ClientLoad) []fake.Response {
	var mu sync.Mutex
	var answers []fake.Response
	var wg sync.WaitGroup
	for i, s := range load.Schedulers {
		wg.Go(func() {
			got := fake.Clients{Target: s.Listen, Number: load.Clients, Tenants: load.Tenants, Think: load.ThinkTime, Timeout: load.Timeout,
				Prefix: s.Name + load.IDSuffix, Seed: c.options.Seed*31 + uint64(i), Mix: Mix}.Run(ctx)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, got...)
		})
	}
	wg.Wait()
	return answers
}

// RunAllClients runs clients of each scheduler and of both initial tenants until the context ends and returns the answers to them.
func (c *Cluster) RunAllClients(ctx context.Context, clients int, think, timeout time.Duration) []fake.Response {
	return c.RunClients(ctx, ClientLoad{Schedulers: c.Schedulers, Tenants: []string{"valley", "east"}, Clients: clients, ThinkTime: think, Timeout: timeout})
}
