//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	floodJobs   = 24                     // jobs that the client hands in
	floodGap    = 500 * time.Millisecond // from one job to the next
	floodTasks  = 2400                   // tasks of a job
	floodTaskMS = 1000                   // run time of a task
	floodCPU    = 5                      // thousandths of a core of a task

	finishTime = 14 * time.Second // finish_s
	idleTime   = 3 * time.Second  // LOST: "for 3 s, a job has nothing running"
	watchTime  = 30 * time.Second // after the end of the traffic
)

// refusedFlood restarts the core once while many short tasks run, and looks whether the jobs still go on afterwards.
func refusedFlood(log *record, trouble bool) int {
	c, err := newCluster(log, 3, 1, 3)
	if err != nil {
		log.say("can't run: %v", err)
		return invalid
	}
	defer c.close()
	if err := c.startAll(); err != nil {
		log.say("can't run: %v", err)
		return invalid
	}
	calls := &caller{log}
	if !calls.configure(c.cores, configuration(1, route(queue, prefix, 4)), 15*time.Second) || !calls.ready(c.edges[0], 10*time.Second) {
		log.say("can't run: the system doesn't start")
		return invalid
	}
	j := newJudge(log)
	var workers []*worker
	for i, side := range c.sides {
		w := newWorker(fmt.Sprintf("i-7f3a91c%d", i+1), side, log, j)
		w.brief = true
		workers = append(workers, w)
		go w.loop()
		defer w.close()
	}
	time.Sleep(1500 * time.Millisecond)
	began := time.Now()
	if trouble {
		restart := time.AfterFunc(3*time.Second, func() {
			for _, m := range c.cores {
				c.kill(m)
			}
			time.Sleep(800 * time.Millisecond)
			for _, m := range c.cores {
				if err := c.start(m); err != nil {
					log.say("a core process doesn't start: %v", err)
				}
			}
		})
		defer restart.Stop()
	}
	accepted := submitFlood(calls, c.edges)
	traffic := time.Now()
	log.say("%d of %d jobs accepted, the last after %.1f s", len(accepted), floodJobs, time.Since(began).Seconds())
	if len(accepted) < floodJobs {
		return invalid
	}
	stuck := watchFlood(log, calls, c, j, workers, accepted, traffic)
	tasks, starts := j.totals()
	log.say("%d of %d tasks have started, %d starts; %d tasks ran twice", tasks, floodJobs*floodTasks, starts, len(j.twice()))
	if len(stuck) > 0 {
		log.say("%d jobs have nothing running for 3 s, with all the room free, over %v after the traffic: %v", len(stuck), finishTime, stuck)
		return broken
	}
	return held
}

// submitFlood hands the jobs in at their times and returns the IDs of those that were accepted.
func submitFlood(calls *caller, edges []*machine) []string {
	var mu sync.Mutex
	var accepted []string
	var clients sync.WaitGroup
	body := fmt.Sprintf(`{"spec":"ms=%d cpu=%d","stages":[{"count":%d,"cpu":%d,"mem_mb":10,"estimate_ms":%d}]}`,
		floodTaskMS, floodCPU, floodTasks, floodCPU, floodTaskMS)
	for n := range floodJobs {
		clients.Go(func() {
			time.Sleep(time.Duration(n) * floodGap)
			id := fmt.Sprintf("5c0e7a21d94b36%02x", n)
			if calls.submit(edges, id, body, 30*time.Second) {
				mu.Lock()
				defer mu.Unlock()
				accepted = append(accepted, id)
			}
		})
	}
	clients.Wait()
	return accepted
}

// watchFlood asks for the jobs until all are completed, or watchTime has passed. It returns the jobs that break LOST then: later than
// finishTime after the traffic they have had nothing running for idleTime, while under half of the room was in use.
func watchFlood(log *record, calls *caller, c *cluster, j *judge, workers []*worker, accepted []string, traffic time.Time) (stuck []string) {
	completed := map[string]bool{}
	busyAt := time.Now() // when half of the room or more was in use last
	for time.Since(traffic) < watchTime && len(completed) < len(accepted) {
		text, used := "", 0
		for _, w := range workers {
			active, unnoted := w.count()
			used += active * floodCPU
			text += fmt.Sprintf(" %d/%d", active, unnoted)
		}
		if used >= 3*16000/2 {
			busyAt = time.Now()
		}
		stuck = nil
		for _, id := range accepted {
			if state, _ := calls.state(c.edges[0], id); state == "completed" {
				completed[id] = true
			}
			since, idle := j.idleSince(id)
			if !completed[id] && idle && time.Since(since) > idleTime && time.Since(busyAt) > idleTime && time.Since(traffic) > finishTime+idleTime {
				stuck = append(stuck, id)
			}
		}
		log.say("%4.1f s after the traffic: %d of %d jobs completed; active/ends not noted at the workers:%s", time.Since(traffic).Seconds(),
			len(completed), len(accepted), text)
		time.Sleep(time.Second)
	}
	return stuck
}
