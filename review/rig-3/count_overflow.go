//go:build review

package main

import (
	"net/http"
	"time"
)

const (
	observeTime = 24 * time.Second // twice recover_s, from the kill on
	soundJobs   = 20               // with one hopeless job: less than a share of 0.05
	fewestEnds  = 3                // "processes end by themselves three times in the day"
	fewestNodes = 2                // "on a tenth of the machines in use (two at least)"; 14 are in use
)

// countOverflow: a client hands in a job that can never be done: the number of its tasks exceeds what an int64 holds. It is accepted. Then
// the process that owns the shard is killed once, and the platform starts every process that has ended again. The processes must
// not end by themselves, and a job that was accepted before must get its answers.
func countOverflow(c *cluster, trouble bool) error {
	if err := c.startAll(); err != nil {
		return err
	}
	if err := c.putConfig(0, configuration(1, []route{newRoute("r-1", "/pule252/", "towerdesk", 2)})); err != nil {
		return err
	}
	for _, side := range c.sides {
		c.newWorker(side, "towerdesk", 16000, func(string, int64) (time.Duration, string) { return 500 * time.Millisecond, "done" })
	}
	time.Sleep(3 * time.Second)
	sound := `{"spec":"lookup","stages":[{"count":1,"cpu":240,"mem_mb":64,"estimate_ms":500}]}`
	hopeless := `{"spec":"lookup","stages":[{"count":4611686018427387904,"cpu":240},{"count":4611686018427387904,"cpu":240}]}`
	first, second := newJobID(), newJobID()
	if err := c.submit("/pule252/", first, sound); err != nil {
		return err
	}
	for range soundJobs - 1 {
		if err := c.submit("/pule252/", newJobID(), sound); err != nil {
			return err
		}
	}
	body := sound
	if trouble {
		body = hopeless
	}
	for range 3 {
		if status, _ := c.job(clientDeadline, http.MethodPost, c.edges[0], "/pule252/", second, body); status != 0 {
			break
		}
	}
	time.Sleep(time.Second)
	owner := c.owner("towerdesk")
	if owner == nil {
		return errNoOwner
	}
	c.kill(owner)
	ends, answered := c.supervise(owner, first)
	total := 0
	for _, n := range ends {
		total += n
	}
	c.record.note("ends by themselves, by process: %v", ends)
	switch {
	case total >= fewestEnds && len(ends) >= fewestNodes:
		return brokenf("Fault: processes have ended by themselves %d times, on %d machines of 14", total, len(ends))
	case !answered:
		return brokenf("LOST: a job that was accepted gets no answer")
	}
	return nil
}

// supervise starts processes that have ended again, as the platform does, for observeTime. It returns how often each process has ended by
// itself, besides the end of the killed one, and whether the last request for the state of a job was answered.
func (c *cluster) supervise(killed *process, id string) (ends map[string]int, answered bool) {
	ends = c.keepRunning(observeTime, map[*process]time.Time{killed: time.Now().Add(restartDelay)})
	for attempt := range 4 {
		if status, _ := c.job(clientDeadline, http.MethodGet, c.edges[attempt%edgeCount], "/pule252/", id, ""); status == http.StatusOK {
			return ends, true
		}
	}
	return ends, false
}

func init() { cases["count-overflow"] = countOverflow }
