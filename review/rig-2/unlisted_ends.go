//go:build review

package main

import (
	"fmt"
	"time"
)

// unlistedEnds has a worker with more ends than one heartbeat lists (500) drain while the owner of its shard restarts.
func unlistedEnds(log *record, trouble bool) int {
	c, err := newCluster(log, 3, 1, 12)
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
		w := newWorker(fmt.Sprintf("i-7f3a91%02x", i+1), side, log, j)
		w.brief = true
		workers = append(workers, w)
		go w.loop()
		defer w.close()
	}
	time.Sleep(1500 * time.Millisecond)
	const jobs, count, taskMS = 5, 4000, 4000 // 1,667 tasks at each of twelve workers
	body := fmt.Sprintf(`{"spec":"ms=%d","stages":[{"count":%d,"cpu":5,"mem_mb":10,"estimate_ms":%d}]}`, taskMS, count, taskMS)
	var ids []string
	for n := range jobs {
		id := fmt.Sprintf("5c0e7a21d94b36f%d", n)
		if !calls.submit(c.edges, id, body, 10*time.Second) {
			log.say("can't run: a job is not accepted")
			return invalid
		}
		ids = append(ids, id)
	}
	total := func() int {
		_, n := j.totals()
		return n
	}
	waitFor(10*time.Second, func() bool { active, _ := workers[0].count(); return active > 0 })
	began := time.Now()
	if !waitFor(20*time.Second, func() bool { return total() >= jobs*count }) {
		log.say("can't run: %d of %d tasks have started", total(), jobs*count)
		return invalid
	}
	for _, w := range workers {
		active, unnoted := w.count()
		log.say("worker %s: %d active, %d ends not noted", w.id, active, unnoted)
	}
	if trouble {
		time.Sleep(time.Until(began.Add((taskMS - 300) * time.Millisecond)))
		for _, m := range c.cores {
			c.kill(m)
		}
		time.Sleep(800 * time.Millisecond)
		for _, m := range c.cores {
			if err := c.start(m); err != nil {
				return invalid
			}
		}
		waitFor(5*time.Second, func() bool {
			active, unnoted := workers[0].count()
			return active == 0 && unnoted > maxListedEnds
		})
		workers[0].drain(2 * time.Second)
		leaves := time.AfterFunc(4*time.Second, func() { // drain_ms after the acknowledgement and a little longer
			workers[0].deregister()
			time.Sleep(500 * time.Millisecond)
			workers[0].close()
		})
		defer leaves.Stop()
	}
	completed := 0
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end) && completed < jobs; time.Sleep(300 * time.Millisecond) {
		completed = 0
		for _, id := range ids {
			if state, _ := calls.state(c.edges[0], id); state == "completed" {
				completed++
			}
		}
	}
	time.Sleep(time.Second)
	tasks, starts := j.totals()
	twice := j.twice()
	log.say("%d of %d jobs are completed; %d tasks, %d starts; %d tasks ran twice", completed, jobs, tasks, starts, len(twice))
	if len(twice) > 0 {
		log.say("the first of them: %v", twice[:min(3, len(twice))])
		return broken
	}
	if completed < jobs {
		log.say("can't judge: a job did not complete")
		return invalid
	}
	return held
}
