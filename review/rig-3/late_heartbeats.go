//go:build review

package main

import (
	"fmt"
	"time"
)

const (
	lateness    = 4 * time.Second         // "A heartbeat may come seconds late"
	firstLife   = 1600 * time.Millisecond // time to the crash; two heartbeats are sent
	downTime    = time.Second             // from the crash to the next incarnation
	longRunTime = 10 * time.Second
	longJobs    = 10
)

// lateHeartbeats: a worker crashes 1.6 s after its start. Its two heartbeats arrive late, when its next incarnation is at work. No task
// may run twice at the same time on workers that are up.
func lateHeartbeats(c *cluster, trouble bool) error {
	if err := c.startAll(); err != nil {
		return err
	}
	if err := c.putConfig(0, configuration(1, []route{newRoute("r-1", "/pule252/", "towerdesk", 2)})); err != nil {
		return err
	}
	long := func(string, int64) (time.Duration, string) { return longRunTime, "done" }
	for _, side := range c.sides[1:] {
		c.newWorker(side, "towerdesk", 16000, long)
	}
	time.Sleep(3 * time.Second)
	late := time.Duration(0)
	if trouble {
		late = lateness
	}
	first := c.newLateWorker(c.sides[0], "towerdesk", 16000, late, long)
	time.Sleep(firstLife)
	first.crash()
	c.record.note("worker %s has crashed", first.id)
	time.Sleep(downTime)
	second := c.newWorker(c.sides[0], "towerdesk", 16000, long)
	c.record.note("worker %s is the next incarnation on the same machine", second.id)
	time.Sleep(500 * time.Millisecond)
	var ids []string
	for range longJobs {
		id := newJobID()
		if err := c.submit("/pule252/", id, `{"spec":"statement","stages":[{"count":6,"cpu":240,"mem_mb":64,"estimate_ms":10000}]}`); err != nil {
			return err
		}
		ids = append(ids, id)
	}
	time.Sleep(8 * time.Second)
	first.onTheWay.Wait()
	if twice := c.overlaps(ids); len(twice) > 0 {
		for _, text := range twice {
			c.record.note("%s", text)
		}
		return brokenf("TWICE: %d tasks ran twice at the same time on workers that are up", len(twice))
	}
	return nil
}

// overlaps describes the tasks of jobs of which two runs were active at the same time, on workers that are up.
func (c *cluster) overlaps(ids []string) []string {
	var found []string
	for _, id := range ids {
		intervals := map[string][]interval{}
		for _, w := range c.workers {
			for _, i := range w.intervalsOf(id) {
				for _, other := range intervals[i.task] {
					if i.begin.Before(other.end) && other.begin.Before(i.end) {
						both := min(i.end.Sub(other.begin), other.end.Sub(i.begin), i.end.Sub(i.begin), other.end.Sub(other.begin))
						found = append(found, fmt.Sprintf("task %s: run %d on %s and run %d on %s at the same time, for %v", i.task, other.attempt, other.worker,
							i.attempt, i.worker, both))
					}
				}
				intervals[i.task] = append(intervals[i.task], i)
			}
		}
	}
	return found
}

func init() { cases["late-heartbeats"] = lateHeartbeats }
