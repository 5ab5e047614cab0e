//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	scheduledJobs  = 6000                  // jobs that wait for their time of day
	lastRoundAt    = 98 * time.Second      // the last round begins before
	firstOffset    = 60 * time.Millisecond // from the first SIGTERM to the change of the configuration
	beforeTheEnd   = 20 * time.Millisecond // the change is aimed at this time before the end of a takeover
	contact        = 3 * time.Second       // bounds.contact_ms
	calmMargin     = 800 * time.Millisecond
	rollDelay      = 300 * time.Millisecond
	probesPerRoute = 3
)

// configAtTakeover stops the core schedulers one after the other with SIGTERM, as in a rolling restart, and adds a route to the
// configuration while another core scheduler takes over the shards of the stopped one. Long after the acknowledgement a job
// is submitted to each new route.
func configAtTakeover(r *rig, trouble bool) error {
	services := []string{"towerdesk", "linkcast"}
	if err := r.startCluster(5, 2, 2); err != nil {
		return err
	}
	events := &history{}
	for i, name := range services {
		r.startWorker(name, r.sides[i], 16000, events, func(string, int64, string) (time.Duration, string) {
			return 50 * time.Millisecond, "done"
		})
	}
	routes := []map[string]any{}
	for i, name := range services {
		routes = append(routes, route(fmt.Sprintf("r-base%d", i), fmt.Sprintf("/base%d/", i), name, 4))
	}
	version := 1
	if err := r.change(http.MethodPut, 0, configuration(version, routes, []map[string]any{service(services[0]), service(services[1])})); err != nil {
		return err
	}
	if err := r.waitReady(); err != nil {
		return err
	}
	if err := r.submitScheduled(scheduledJobs); err != nil {
		return err
	}
	offset := firstOffset
	var ends []time.Duration
	for round := 0; time.Since(r.started) < lastRoundAt; round++ {
		stopped, err := r.waitOwner(services[round%2])
		if err != nil {
			return err
		}
		terminated := time.Now()
		if trouble {
			r.terminate(stopped)
			time.Sleep(offset)
		}
		names := []string{}
		added := []map[string]any{}
		for i, name := range services {
			names = append(names, fmt.Sprintf("/new%d-%d/", round, i))
			added = append(added, route(fmt.Sprintf("r-new%d-%d", round, i), names[i], name, 4))
		}
		r.log.printf("round %d: change %v after SIGTERM", round, offset)
		if err := r.change(http.MethodPatch, version, map[string]any{"version": version + 1, "upsert": map[string]any{"routes": added}}); err != nil {
			return err
		}
		version++
		if trouble {
			<-stopped.exited
			if ends = append(ends, r.takeoverEnds(terminated)...); len(ends) > 0 {
				offset = nextOffset(ends)
			}
			time.Sleep(rollDelay)
			if err := r.start(stopped); err != nil {
				return err
			}
		}
		time.Sleep(contact + calmMargin)
		if err := r.probe(round, names); err != nil {
			return err
		}
	}
	return nil
}

// submitScheduled submits jobs that are due in an hour.
func (r *rig) submitScheduled(count int) error {
	start := time.Now().Add(time.Hour).UnixMilli()
	body, err := json.Marshal(map[string]any{
		"spec": strings.Repeat("statement ", 25), "repeat": 4, "start_at_ms": start, "interval_ms": 2000,
		"stages": []map[string]any{
			{"count": 13, "cpu": 520, "mem_mb": 960, "estimate_ms": 3600, "checkpoints": true},
			{"count": 13, "cpu": 520, "mem_mb": 960, "estimate_ms": 3600, "checkpoints": true, "depends_on": []int{0}},
		},
	})
	if err != nil {
		return err
	}
	var group sync.WaitGroup
	failed := make(chan string, count)
	const clients = 16
	for client := range clients {
		group.Go(func() {
			for i := client; i < count; i += clients {
				path := fmt.Sprintf("/base%d/%016x", i%2, 0xabc000000+i)
				ok := false
				for try := 0; try < 6 && !ok; try++ {
					status, _ := send(http.MethodPost, r.edges[(i+try)%2].frontend(), path, host, map[string]string{"Deadline-Ms": "3000"}, body, callTimeout)
					ok = status == http.StatusOK
				}
				if !ok {
					failed <- path
				}
			}
		})
	}
	group.Wait()
	if len(failed) > 0 {
		return fmt.Errorf("%d scheduled jobs were not accepted", len(failed))
	}
	r.log.printf("%d scheduled jobs accepted", count)
	return nil
}

// terminate sends SIGTERM.
func (r *rig) terminate(m *machine) {
	_ = m.process.Process.Signal(syscall.SIGTERM)
	r.log.printf("stopped %s (SIGTERM)", m.name)
}

// takeoverEnds returns the times from a SIGTERM to the ends of the takeovers after it, from the logs. They serve to choose when the
// operator sends the next change, not to judge.
func (r *rig) takeoverEnds(terminated time.Time) []time.Duration {
	var ends []time.Duration
	for _, m := range r.cores {
		text, _ := os.ReadFile(m.logPath)
		for _, line := range strings.Split(string(text), "\n") {
			stamp, isTime := strings.CutPrefix(strings.SplitN(line, " ", 2)[0], "time=")
			at, err := time.Parse(time.RFC3339Nano, stamp)
			if isTime && err == nil && at.After(terminated) && strings.Contains(line, "shard taken over") {
				ends = append(ends, at.Sub(terminated))
			}
		}
	}
	return ends
}

// nextOffset returns the time from the next SIGTERM to the change: shortly before the median end of the takeovers so far.
func nextOffset(ends []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(ends))
	return max(0, sorted[len(sorted)/2]-beforeTheEnd)
}

// probe submits jobs to the routes that were added more than bounds.config_apply_ms ago, while all machines are in touch. If
// they are refused with 404, it submits them again some seconds later.
func (r *rig) probe(round int, prefixes []string) error {
	body := []byte(`{"spec":"probe","stages":[{"count":1,"cpu":240,"mem_mb":250,"estimate_ms":50}]}`)
	for _, prefix := range prefixes {
		refused := 0
		for try := range probesPerRoute {
			status, _ := r.clientCall(r.edges[try%2], http.MethodPost, fmt.Sprintf("%s%016x", prefix, 0xdef000000+round*16+try), body)
			if status == http.StatusNotFound {
				refused++
			}
		}
		if refused > 0 {
			time.Sleep(contact)
			status, _ := r.clientCall(r.edges[0], http.MethodPost, fmt.Sprintf("%s%016x", prefix, 0xdef000000+round*16+probesPerRoute), body)
			if status != http.StatusNotFound {
				continue
			}
			return fmt.Errorf("%w: CONFIG: %d of %d jobs to %s got 404 though the acknowledged configuration has the route", errBroken, refused, probesPerRoute, prefix)
		}
	}
	return nil
}
