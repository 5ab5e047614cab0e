//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	defaultStatusS   = 14  // bounds.status_s of this deployment: how long an ended job can be asked for
	keptFactor       = 1.4 // ended jobs are forgotten after 1.25 times status_s
	returnedJobs     = 4
	returnedRun      = 2 * time.Second
	ownerDownFor     = 9500 * time.Millisecond // herd_kill of the site: for_s = 9.5
	returnedObserved = 25 * time.Second
)

// returnedReplica takes one core machine down while jobs run, and brings it back, with its disk, when these jobs have long been
// completed and forgotten. At that moment the machine that owns the shard loses power for some seconds. No disk is lost.
func returnedReplica(r *rig, trouble bool) error {
	statusS := defaultStatusS
	if text := os.Getenv("STATUS_S"); text != "" { // for trials with the figure of a site
		value, err := strconv.Atoi(text)
		if err != nil {
			return err
		}
		statusS = value
	}
	bounds := map[string]any{}
	for key, value := range r.site.bounds {
		bounds[key] = value
	}
	bounds["status_s"] = statusS
	r.site.bounds = bounds
	if err := r.startCluster(3, 2, 2); err != nil {
		return err
	}
	events := &history{}
	for _, side := range r.sides {
		r.startWorker("towerdesk", side, 16000, events, func(string, int64, string) (time.Duration, string) { return returnedRun, "done" })
	}
	routes := []map[string]any{route("r-bill", "/bill/", "towerdesk", 4)}
	if err := r.change(http.MethodPut, 0, configuration(1, routes, []map[string]any{service("towerdesk")})); err != nil {
		return err
	}
	if err := r.waitReady(); err != nil {
		return err
	}
	owner, err := r.waitOwner("towerdesk")
	if err != nil {
		return err
	}
	away := r.cores[0]
	if away == owner {
		away = r.cores[1]
	}
	ids, err := r.submitReturned()
	if err != nil {
		return err
	}
	time.Sleep(returnedRun / 2) // all tasks run
	if trouble {
		r.kill(away)
	}
	for _, id := range ids {
		if !r.waitState("/bill/"+id, "completed", 20*time.Second) {
			return fmt.Errorf("job %s did not complete", id)
		}
	}
	completed := len(events.all())
	time.Sleep(time.Duration(float64(statusS) * keptFactor * float64(time.Second)))
	if trouble {
		r.kill(owner)
		if err := r.start(away); err != nil {
			return err
		}
		time.Sleep(ownerDownFor)
		if err := r.start(owner); err != nil {
			return err
		}
	}
	time.Sleep(returnedObserved)
	again := map[string]bool{}
	for _, e := range events.all()[completed:] {
		if e.what == "start" {
			again[e.task] = true
		}
	}
	for _, id := range ids {
		r.state(r.edges[0], "/bill/"+id)
	}
	done := noted(events.all()[:completed])
	for task := range again {
		if !done[task] {
			delete(again, task)
		}
	}
	if len(again) > 0 {
		return fmt.Errorf("%w: TWICE: %d tasks started again after a run had ended done and had been taken note of", errBroken, len(again))
	}
	return nil
}

// submitReturned submits the jobs and returns their IDs.
func (r *rig) submitReturned() ([]string, error) {
	var ids []string
	body := []byte(`{"spec":"statement","stages":[{"count":2,"cpu":520,"mem_mb":960,"estimate_ms":3000}]}`)
	for i := range returnedJobs {
		id := fmt.Sprintf("%016x", 0xb111000+i)
		if !r.submit(i, "/bill/"+id, body) {
			return nil, fmt.Errorf("job %s was not accepted", id)
		}
		ids = append(ids, id)
	}
	return ids, nil
}

// noted returns the tasks of which a run has ended done and been taken note of.
func noted(events []event) map[string]bool {
	tasks := map[string]bool{}
	for _, e := range events {
		if strings.HasPrefix(e.what, "noted done") {
			tasks[e.task] = true
		}
	}
	return tasks
}
