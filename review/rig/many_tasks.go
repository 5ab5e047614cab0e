//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	ordinaryJobs  = 10
	mapTasks      = 4900                   // tasks of the first step of the large job, each time
	mapTimes      = 8                      // its times; the sites' jobs have up to 8
	mapTime       = 500 * time.Millisecond // of each of these tasks
	mapCPU        = 95                     // thousandths of a core; four workers of 16 cores start at most 1,350 a second
	reduceTime    = 2 * time.Minute        // of the only task of the second step
	mapLimit      = 50 * time.Second       // the large job has this time
	finishS       = 14 * time.Second       // bounds.finish_s
	finalPatience = 12 * time.Second       // recover_s
)

// manyTasks has ordinary jobs accepted and completed, hands in one job of many tasks, and asks for the ordinary jobs finish_s after
// the end of the traffic.
func manyTasks(r *rig, trouble bool) error {
	if err := r.startCluster(5, 2, 4); err != nil {
		return err
	}
	events := &history{}
	for _, side := range r.sides {
		r.startWorker("towerdesk", side, 16000, events, func(task string, _ int64, _ string) (time.Duration, string) {
			if strings.HasSuffix(task, ".1.0") {
				return reduceTime, "done"
			}
			return mapTime, "done"
		})
	}
	routes := []map[string]any{route("r-bill", "/bill/", "towerdesk", 4)}
	if err := r.change(http.MethodPut, 0, configuration(1, routes, []map[string]any{service("towerdesk")})); err != nil {
		return err
	}
	if err := r.waitReady(); err != nil {
		return err
	}
	ids, err := r.submitOrdinary()
	if err != nil {
		return err
	}
	if trouble {
		if err := r.submitMapReduce(); err != nil {
			return err
		}
		r.awaitMapTasks(events)
	}
	r.log.printf("the traffic has ended; %d starts so far", countStarts(events))
	time.Sleep(finishS)
	unanswered := r.unanswered(ids)
	if len(unanswered) > 0 {
		return fmt.Errorf("%w: LOST: %d of %d accepted and completed jobs got no state within %v, first asked %v after the end of the traffic",
			errBroken, len(unanswered), len(ids), finalPatience, finishS)
	}
	return nil
}

// submitOrdinary submits the ordinary jobs and waits until they are completed.
func (r *rig) submitOrdinary() ([]string, error) {
	body := []byte(`{"spec":"statement","stages":[{"count":1,"cpu":520,"mem_mb":960,"estimate_ms":500}]}`)
	var ids []string
	for i := range ordinaryJobs {
		id := fmt.Sprintf("%016x", 0xd111000+i)
		if !r.submit(i, "/bill/"+id, body) {
			return nil, fmt.Errorf("job %s was not accepted", id)
		}
		ids = append(ids, id)
	}
	for _, id := range ids {
		if !r.waitState("/bill/"+id, "completed", 10*time.Second) {
			return nil, fmt.Errorf("job %s did not complete", id)
		}
	}
	return ids, nil
}

// submitMapReduce submits the large job.
func (r *rig) submitMapReduce() error {
	body, err := json.Marshal(map[string]any{
		"spec": "statements of a month", "repeat": mapTimes, "start_at_ms": time.Now().UnixMilli(), "interval_ms": 2000,
		"stages": []map[string]any{
			{"count": mapTasks, "cpu": mapCPU, "mem_mb": 20, "estimate_ms": mapTime.Milliseconds()},
			{"count": 1, "cpu": 520, "mem_mb": 960, "estimate_ms": reduceTime.Milliseconds(), "depends_on": []int{0}},
		},
	})
	if err != nil {
		return err
	}
	if !r.submit(0, "/bill/00000000abcdef05", body) {
		return fmt.Errorf("the large job was not accepted")
	}
	return nil
}

// awaitMapTasks waits until all tasks of the first step have started, no more start, or mapLimit has passed.
func (r *rig) awaitMapTasks(events *history) {
	before, idle := 0, 0
	for deadline := time.Now().Add(mapLimit); time.Now().Before(deadline) && idle < 5; time.Sleep(time.Second) {
		starts := countStarts(events)
		r.log.printf("%d starts, %d in the last second", starts, starts-before)
		if starts >= mapTasks*mapTimes {
			return
		}
		if idle++; starts > before {
			idle = 0
		}
		before = starts
	}
}

func countStarts(events *history) int {
	starts := 0
	for _, e := range events.all() {
		if e.what == "start" {
			starts++
		}
	}
	return starts
}

// unanswered asks for the jobs until each has shown its state, or finalPatience has passed, and returns those that have not.
func (r *rig) unanswered(ids []string) []string {
	missing := ids
	for deadline := time.Now().Add(finalPatience); len(missing) > 0 && time.Now().Before(deadline); time.Sleep(300 * time.Millisecond) {
		var still []string
		for i, id := range missing {
			if !time.Now().Before(deadline) {
				still = append(still, id)
			} else if _, state := r.state(r.edges[i%len(r.edges)], "/bill/"+id); state != "completed" {
				still = append(still, id)
			}
		}
		missing = still
	}
	return missing
}
