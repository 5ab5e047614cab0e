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
	largeJobs        = 2900
	largeRate        = 64 // jobs a second
	specLetters      = 2000
	finishWait       = 14 * time.Second // finish_s
	answerWait       = 12 * time.Second // how long a job is asked for
	askedJobs        = 40
	largePrefix      = "/pufi791/"
	submitters       = 48
	restartDelay     = time.Second
	maxServiceNumber = 10000
)

// largeShard hands in jobs whose texts have the largest allowed length, kills the owner of their shard, restarts it, and asks
// for the jobs once finish_s has passed. Without trouble nothing is killed.
func largeShard(r *rig, trouble bool) error {
	if err := r.startCluster(5, 2, 2); err != nil {
		return err
	}
	name := r.serviceOwnedBy(3, 4)
	routes := []map[string]any{route("r-hh2b9wu", largePrefix, name, 3)}
	if err := r.change("PUT", 0, configuration(3, routes, []map[string]any{service(name)})); err != nil {
		return err
	}
	for _, side := range r.sides {
		r.startWorker(name, side, 32000, &history{}, shortTask)
	}
	if err := r.waitReady(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	accepted := r.submitLarge(largeJobs, largeRate, largeJob)
	r.log.printf("%d jobs accepted of %d sent", len(accepted), largeJobs)
	if len(accepted) < largeJobs*9/10 {
		return fmt.Errorf("only %d of %d jobs were accepted", len(accepted), largeJobs)
	}
	time.Sleep(time.Second)
	r.logUse()
	owner := r.ownerOf(name)
	if owner == nil {
		return fmt.Errorf("no owner of the shard is known")
	}
	if trouble {
		r.kill(owner)
		time.Sleep(restartDelay)
		if err := r.start(owner); err != nil {
			return err
		}
	}
	time.Sleep(finishWait)
	unanswered := r.askAll(accepted)
	r.logUse()
	if len(unanswered) > 0 {
		return fmt.Errorf("%w: LOST: %d of %d accepted jobs that were asked for got no answer or 410 within %v, first asked %v after the end of the traffic",
			errBroken, len(unanswered), askedJobs, answerWait, finishWait)
	}
	return nil
}

// serviceOwnedBy returns a service name whose shard is owned by the first of the given core machines, and by the second while
// the first is down. Names are arbitrary; the choice makes the case repeat.
func (r *rig) serviceOwnedBy(first, second int) string {
	var addresses []string
	for _, core := range r.cores {
		addresses = append(addresses, fmt.Sprintf("%s:%d", core.ip, firstPort))
	}
	for n := range maxServiceNumber {
		name := fmt.Sprintf("huvo%02da", n)
		ranked := rendezvous.Rank(name, addresses)
		if ranked[0] == addresses[first] && ranked[1] == addresses[second] {
			return name
		}
	}
	return "huvo11a"
}

// largeJob returns a job whose text has 4,000 bytes of two-byte letters, as an encoder writes it that escapes all but ASCII.
func largeJob(n int) []byte {
	letters := strings.Repeat(`\u00e9`, specLetters-10) + fmt.Sprintf("%020d", n)
	return []byte(`{"spec":"` + letters + `","stages":[{"count":1,"cpu":240,"mem_mb":250,"estimate_ms":400}]}`)
}

// scheduledJob returns the same job, due in three hours.
func scheduledJob(n int) []byte {
	due := fmt.Sprintf(`,"repeat":1,"start_at_ms":%d,"interval_ms":1000}`, time.Now().Add(3*time.Hour).UnixMilli())
	return []byte(strings.TrimSuffix(string(largeJob(n)), "}") + due)
}

func largePath(n int) string { return fmt.Sprintf("%s%016x", largePrefix, 0x5c0e7a2100000000+n) }

// submitLarge hands the jobs in at a steady rate and returns the numbers of the accepted ones.
func (r *rig) submitLarge(jobs int, rate time.Duration, body func(n int) []byte) []int {
	numbers := make(chan int)
	var mu sync.Mutex
	var accepted []int
	var group sync.WaitGroup
	for range submitters {
		group.Go(func() {
			for n := range numbers {
				if r.submit(n, largePath(n), body(n)) {
					mu.Lock()
					accepted = append(accepted, n)
					mu.Unlock()
				}
			}
		})
	}
	ticker := time.NewTicker(time.Second / rate)
	for n := range jobs {
		<-ticker.C
		numbers <- n
	}
	ticker.Stop()
	close(numbers)
	group.Wait()
	return accepted
}

// askAll asks for a sample of the jobs, again and again at all edges, and returns those that got no state in time.
func (r *rig) askAll(accepted []int) []int {
	var mu sync.Mutex
	var unanswered []int
	var group sync.WaitGroup
	for i := range askedJobs {
		n := accepted[i*len(accepted)/askedJobs]
		group.Go(func() {
			for deadline := time.Now().Add(answerWait); time.Now().Before(deadline); time.Sleep(retryWait) {
				for _, edge := range r.edges {
					if status, state := r.state(edge, largePath(n)); status == http.StatusOK && state != "" {
						return
					}
				}
			}
			mu.Lock()
			unanswered = append(unanswered, n)
			mu.Unlock()
		})
	}
	group.Wait()
	return unanswered
}
