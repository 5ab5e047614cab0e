//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["moved-queue"] = movedQueue }

const applyBound = 2 * time.Second // config_apply_ms

// movedQueue: one change of the configuration removes a route and adds another one with the same host and prefix, for another service.
// A job that has ended must not run again when its submission is repeated, and a job that is running must not be answered with 410.
// Without the disruption the added route is for the same service.
func movedQueue(c *cluster, trouble bool) error {
	if err := c.startAll(); err != nil {
		return err
	}
	routes := []route{newRoute("r-1", "/pule252/", "towerdesk", 2), newRoute("r-2", "/pufi791/", "linkcast", 2)}
	if err := c.putConfig(0, configuration(1, routes)); err != nil {
		return err
	}
	for i, side := range c.sides {
		service := "towerdesk"
		if i >= 4 {
			service = "linkcast"
		}
		c.newWorker(side, service, 16000, func(_ string, _ int64) (time.Duration, string) { return time.Second, "done" })
	}
	time.Sleep(3 * time.Second)
	body := `{"spec":"statement","stages":[{"count":3,"cpu":500,"mem_mb":64,"estimate_ms":1000}]}`
	lasting := `{"spec":"watch","stages":[{"count":2,"cpu":500,"mem_mb":64,"estimate_ms":1000,"long_running":true}]}`
	ended, running := newJobID(), newJobID()
	if err := c.submit("/pule252/", ended, body); err != nil {
		return err
	}
	if err := c.submit("/pule252/", running, lasting); err != nil {
		return err
	}
	completed := waitUntil(4*time.Second, func() bool {
		_, text := c.job(clientDeadline, http.MethodGet, c.edges[0], "/pule252/", ended, "")
		time.Sleep(300 * time.Millisecond)
		return strings.Contains(text, "completed")
	})
	if !completed {
		return fmt.Errorf("the job did not complete in calm")
	}
	before := len(c.startsOf(ended))
	service := "towerdesk"
	if trouble {
		service = "linkcast"
	}
	if err := c.patchConfig(1, 3, []route{newRoute("r-3", "/pule252/", service, 2)}, []string{"r-1"}); err != nil {
		return err
	}
	time.Sleep(applyBound + 500*time.Millisecond)
	c.job(clientDeadline, http.MethodPost, c.edges[1], "/pule252/", ended, body)
	time.Sleep(3 * time.Second)
	again := len(c.startsOf(ended)) - before
	gone := 0
	for _, edge := range c.edges {
		if status, _ := c.job(clientDeadline, http.MethodGet, edge, "/pule252/", running, ""); status == http.StatusGone {
			gone++
		}
	}
	switch {
	case again > 0:
		return brokenf("TWICE: %d tasks of a completed job were started again; LOST: %d of 2 edges answer 410 for a job that runs", again, gone)
	case gone > 0:
		return brokenf("LOST: %d of 2 edges answer 410 for an accepted job that nobody has cancelled", gone)
	}
	return nil
}

// patchConfig changes named routes of the configuration until it gets a clear answer.
func (c *cluster) patchConfig(base, version int, upsert []route, remove []string) error {
	text, err := json.Marshal(map[string]any{
		"version": version, "upsert": map[string]any{"routes": upsert}, "remove": map[string]any{"routes": remove},
	})
	if err != nil {
		return err
	}
	for attempt := range 20 {
		core := c.cores[attempt%coreCount]
		status, answer := call(2*time.Second, http.MethodPatch, address(core.ip, c.ports.control), "", "/sedgevale/config", string(text), "If-Match", fmt.Sprint(base))
		c.record.note("operator: PATCH %s on %d at %s -> %d %s", text, base, core.name, status, answer)
		if status == http.StatusOK {
			return nil
		}
		if status >= 400 && status < 500 {
			return fmt.Errorf("configuration: %d %s", status, answer)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("configuration: no acknowledgement")
}
