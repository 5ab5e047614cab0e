//go:build review

package main

import (
	"net/http"
	"strings"
	"time"
)

// sharedID: two clients hand jobs in at two queues of one service, and both choose the same ID. The second one gets no 2xx and cancels
// its job. The job of the first client must stay as it is, and the second client must not be shown the state of the first one's job.
func sharedID(c *cluster, trouble bool) error {
	if err := c.startAll(); err != nil {
		return err
	}
	routes := []route{newRoute("r-1", "/pule252/", "towerdesk", 2), newRoute("r-2", "/lohu930/", "towerdesk", 2)}
	if err := c.putConfig(0, configuration(1, routes)); err != nil {
		return err
	}
	for _, side := range c.sides {
		c.newWorker(side, "towerdesk", 16000, func(string, int64) (time.Duration, string) { return 6 * time.Second, "done" })
	}
	time.Sleep(3 * time.Second)
	first, second := newJobID(), newJobID()
	if trouble {
		second = first
	}
	if err := c.submit("/pule252/", first, `{"spec":"statement","stages":[{"count":4,"cpu":500,"mem_mb":64,"estimate_ms":6000}]}`); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	status, _ := c.job(clientDeadline, http.MethodPost, c.edges[1], "/lohu930/", second, `{"spec":"lookup","stages":[{"count":1,"cpu":240,"mem_mb":64,"estimate_ms":500}]}`)
	accepted := status == http.StatusOK
	shown, text := c.job(clientDeadline, http.MethodGet, c.edges[1], "/lohu930/", second, "")
	if !accepted && shown == http.StatusOK {
		c.record.note("MIXED: queue /lohu930/ shows a job that nobody handed in there: %s", text)
	}
	c.job(clientDeadline, http.MethodDelete, c.edges[1], "/lohu930/", second, "")
	time.Sleep(8 * time.Second)
	_, state := c.job(clientDeadline, http.MethodGet, c.edges[0], "/pule252/", first, "")
	if strings.Contains(state, "cancelled") || strings.Contains(state, "failed") {
		return brokenf("LOST: the first client's job shows as cancelled, though nobody has cancelled it: %s", state)
	}
	return nil
}

func init() { cases["shared-id"] = sharedID }
