//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"sedgevale/coord/rendezvous"
)

const (
	shardJobs   = 2900
	shardGap    = 12 * time.Millisecond // from one job to the next
	shardAsked  = 40                    // jobs that are asked for at the end
	shardAnswer = 12 * time.Second      // how long they are asked for
)

// largeShard hands in jobs with texts of 4,000 bytes, and kills the owner of their shard once.
func largeShard(log *record, trouble bool) int {
	c, err := newCluster(log, 5, 1, 2)
	if err != nil {
		log.say("can't run: %v", err)
		return invalid
	}
	defer c.close()
	service = serviceOwnedBy(c, 3, 4)
	if err := c.startAll(); err != nil {
		log.say("can't run: %v", err)
		return invalid
	}
	calls := &caller{log}
	if !calls.configure(c.cores[:3], configuration(1, route(queue, prefix, 4)), 15*time.Second) || !calls.ready(c.edges[0], 10*time.Second) {
		log.say("can't run: the system doesn't start")
		return invalid
	}
	j := newJudge(log)
	for i, side := range c.sides {
		w := newWorker(fmt.Sprintf("i-7f3a91c%d", i+1), side, log, j)
		w.brief = true
		go w.loop()
		defer w.close()
	}
	time.Sleep(1500 * time.Millisecond)
	accepted := submitShard(calls, c.edges)
	log.say("%d of %d jobs accepted", len(accepted), shardJobs)
	if len(accepted) < shardJobs*9/10 {
		return invalid
	}
	time.Sleep(time.Second)
	if trouble {
		c.kill(c.cores[3])
		time.Sleep(time.Second)
		if err := c.start(c.cores[3]); err != nil {
			return invalid
		}
	}
	time.Sleep(finishTime)
	unanswered := askShard(calls, c.edges, accepted)
	log.say("%d of %d accepted jobs got no state within %v, asked %v after the end of the traffic", unanswered, shardAsked, shardAnswer, finishTime)
	if unanswered > 0 {
		return broken
	}
	return held
}

// serviceOwnedBy returns a name whose shard is owned by one core machine and, while that is down, by another.
func serviceOwnedBy(c *cluster, first, second int) string {
	var addresses []string
	for _, core := range c.cores {
		addresses = append(addresses, fmt.Sprintf("%s:%d", core.ip, firstPort))
	}
	for n := range 10000 {
		name := fmt.Sprintf("huvo%da", n)
		if ranked := rendezvous.Rank(name, addresses); ranked[0] == addresses[first] && ranked[1] == addresses[second] {
			return name
		}
	}
	return service
}

// submitShard hands the jobs in at a steady rate and returns the IDs of those that were accepted.
func submitShard(calls *caller, edges []*machine) []string {
	var mu sync.Mutex
	var accepted []string
	var clients sync.WaitGroup
	letters := strings.Repeat(`\u00e9`, 2000) // 4,000 bytes of two-byte letters, as an encoder writes them that escapes all but ASCII
	body := `{"spec":"` + letters + `","stages":[{"count":1,"cpu":240,"mem_mb":250,"estimate_ms":400}]}`
	for n := range shardJobs {
		time.Sleep(shardGap)
		clients.Go(func() {
			id := fmt.Sprintf("5c0e7a2100%06x", n)
			if calls.submit(edges, id, body, 20*time.Second) {
				mu.Lock()
				defer mu.Unlock()
				accepted = append(accepted, id)
			}
		})
	}
	clients.Wait()
	return accepted
}

// askShard asks for some of the jobs, again and again, and returns how many got no state.
func askShard(calls *caller, edges []*machine, accepted []string) int {
	results := make(chan bool, shardAsked)
	for i := range shardAsked {
		id := accepted[i*len(accepted)/shardAsked]
		go func() {
			for end := time.Now().Add(shardAnswer); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
				if state, status := calls.state(edges[0], id); status == http.StatusOK && state != "" {
					results <- true
					return
				}
			}
			results <- false
		}()
	}
	unanswered := 0
	for range shardAsked {
		if !<-results {
			unanswered++
		}
	}
	return unanswered
}
