//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// removedRoute is beyond the three cases. It removes two routes while jobs of theirs are at work on a worker that fails its tasks, and kills the owner of
// their shard, which is started again. Without trouble the routes stay, and nothing is killed. Then it counts the failed runs
// of each task against the retries of its route.
func removedRoute(r *rig, trouble bool) error {
	const (
		billing     = "huvo11a"
		few, many   = "/lohu930/5c0e7a21d94b36f8", "/pufi791/90ab34c1e7d25f06"
		fewRetries  = 2
		manyRetries = 5
	)
	if err := r.startCluster(5, 2, 2); err != nil {
		return err
	}
	fewRoute, manyRoute := route("r-zji9n73", "/lohu930/", billing, fewRetries), route("r-hh2b9wu", "/pufi791/", billing, manyRetries)
	routes := []map[string]any{fewRoute, manyRoute, route("r-3fexd9d", "/pule252/", billing, 3)}
	if err := r.change("PUT", 0, configuration(3, routes, []map[string]any{service(billing)})); err != nil {
		return err
	}
	events := &history{}
	fail := func(_ string, run int64, _ string) (time.Duration, string) {
		if run == 1 {
			return 2 * time.Second, "failed"
		}
		if run < manyRetries {
			return 9 * time.Second, "failed"
		}
		return time.Second, "done"
	}
	for _, side := range r.sides {
		r.startWorker(billing, side, 16000, events, fail)
	}
	if err := r.waitReady(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	body := []byte(`{"spec":"statement","stages":[{"count":1,"cpu":500,"mem_mb":256,"estimate_ms":4000}]}`)
	if !r.submit(0, few, body) || !r.submit(1, many, body) {
		return fmt.Errorf("the jobs were not accepted")
	}
	time.Sleep(3500 * time.Millisecond) // the first runs have failed, the second ones are at work
	if trouble {
		patch := map[string]any{"version": 7, "remove": map[string]any{"routes": []string{"r-zji9n73", "r-hh2b9wu"}}}
		if err := r.change("PATCH", 3, patch); err != nil {
			return err
		}
		owner := r.ownerOf(billing)
		if owner == nil {
			return fmt.Errorf("no owner of the shard is known")
		}
		r.kill(owner)
		time.Sleep(time.Second)
		if err := r.start(owner); err != nil {
			return err
		}
	}
	time.Sleep(48 * time.Second)
	if trouble {
		patch := map[string]any{"version": 9, "upsert": map[string]any{"routes": []map[string]any{fewRoute, manyRoute}}}
		if err := r.change("PATCH", 7, patch); err != nil {
			return err
		}
		time.Sleep(5 * time.Second)
	}
	var broken []string
	for path, retries := range map[string]int{few: fewRetries, many: manyRetries} {
		task := path[strings.LastIndex(path, "/")+1:] + ".0.0.0"
		failures, startsAfter := countFailures(events.all(), task, retries)
		status, state := r.state(r.edges[0], path)
		r.log.printf("job %s: %d runs ended failed and were taken note of, retries %d, state %d %q", path, failures, retries, status, state)
		if startsAfter > 0 {
			broken = append(broken, fmt.Sprintf("BUDGET: %d starts of %s after %d runs had ended failed", startsAfter, task, retries))
		}
		if status == http.StatusOK && state == "failed" && failures < retries {
			broken = append(broken, fmt.Sprintf("LOST: job %s shows as failed after %d failed runs, its route has retries %d", path, failures, retries))
		}
	}
	if len(broken) > 0 {
		return fmt.Errorf("%w: %s", errBroken, strings.Join(broken, "; "))
	}
	return nil
}

// countFailures returns the number of runs of a task that ended failed and were taken note of, and the number of starts after
// the given number of such runs had ended.
func countFailures(events []event, task string, retries int) (failures, startsAfter int) {
	noted := map[int64]bool{}
	for _, e := range events {
		if e.task == task && e.what == "noted failed" {
			noted[e.run] = true
		}
	}
	for _, e := range events {
		switch {
		case e.task != task:
		case e.what == "end failed" && noted[e.run]:
			failures++
		case e.what == "start" && failures >= retries:
			startsAfter++
		}
	}
	return failures, startsAfter
}
