//go:build review

package main

import (
	"fmt"
	"strings"
	"time"
)

// movedRoute moves a route to another service by a configuration and then asks for the jobs that were accepted before, and
// hands one of them in again. Without trouble the configuration changes only the route's time-out.
func movedRoute(r *rig, trouble bool) error {
	const (
		billing, modelling = "dele69a", "xano55b"
		first, second      = "/lohu930/5c0e7a21d94b36f8", "/lohu930/90ab34c1e7d25f06"
	)
	if err := r.startCluster(5, 2, 4); err != nil {
		return err
	}
	routes := []map[string]any{route("r-zji9n73", "/lohu930/", billing, 3), route("r-3fexd9d", "/pule252/", modelling, 3)}
	if err := r.change("PUT", 0, configuration(3, routes, []map[string]any{service(billing), service(modelling)})); err != nil {
		return err
	}
	events := &history{}
	work := func(_ string, _ int64, spec string) (time.Duration, string) {
		if strings.Contains(spec, "long") {
			return 25 * time.Second, "done"
		}
		return 800 * time.Millisecond, "done"
	}
	for i, side := range r.sides {
		r.startWorker([]string{billing, modelling}[i%2], side, 16000, events, work)
	}
	if err := r.waitReady(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	short := []byte(`{"spec":"bill of 2026-11","stages":[{"count":3,"cpu":500,"mem_mb":256,"estimate_ms":800}]}`)
	long := []byte(`{"spec":"long report","stages":[{"count":2,"cpu":500,"mem_mb":256,"estimate_ms":25000}]}`)
	if !r.submit(0, first, short) || !r.submit(1, second, long) {
		return fmt.Errorf("the jobs were not accepted")
	}
	if !r.waitState(first, "completed", 10*time.Second) || !r.waitState(second, "running", 10*time.Second) {
		return fmt.Errorf("the jobs did not run before the change")
	}
	time.Sleep(3 * time.Second)
	changed := route("r-zji9n73", "/lohu930/", billing, 3)
	changed["timeout_ms"] = 3500
	if trouble {
		changed["service"] = modelling
	}
	patch := map[string]any{"version": 7, "upsert": map[string]any{"routes": []map[string]any{changed}}}
	if err := r.change("PATCH", 3, patch); err != nil {
		return err
	}
	time.Sleep(5 * time.Second) // config_apply_ms is 2,000, visible_ms 3,000
	var broken []string
	for _, edge := range r.edges {
		for _, path := range []string{first, second} {
			if status, _ := r.state(edge, path); status == 410 {
				broken = append(broken, fmt.Sprintf("LOST: 410 for the accepted job %s at %s", path, edge.name))
			}
		}
	}
	r.submit(1, first, short) // the same ID, seconds after its 2xx
	time.Sleep(8 * time.Second)
	broken = append(broken, startsAfterDone(events.all())...)
	if len(broken) > 0 {
		return fmt.Errorf("%w: %s", errBroken, strings.Join(broken, "; "))
	}
	return nil
}

// startsAfterDone returns the starts of tasks after a run of theirs that ended done and was taken note of.
func startsAfterDone(events []event) []string {
	var broken []string
	done := map[string]bool{}
	noted := map[string]bool{}
	for _, e := range events {
		if e.what == "noted done" {
			noted[e.task] = true
		}
	}
	for _, e := range events {
		switch {
		case e.what == "end done":
			done[e.task] = true
		case e.what == "start" && done[e.task] && noted[e.task]:
			broken = append(broken, fmt.Sprintf("TWICE: %s started on %s after it had ended done", e.task, e.worker))
		}
	}
	return broken
}
