//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

// removedRoute removes two routes while jobs of theirs run, and restarts the core. The tasks fail, and the routes have other retries
// than the program's default.
func removedRoute(log *record, trouble bool) int {
	c, err := newCluster(log, 3, 1, 1)
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
	few, many := route("r-hh2b9wu", "/pufi791/", 2), route("r-nn2ctnf", "/puxa403/", 5)
	if !calls.configure(c.cores, configuration(5, route(queue, prefix, 4), few, many), 15*time.Second) || !calls.ready(c.edges[0], 10*time.Second) {
		log.say("can't run: the system doesn't start")
		return invalid
	}
	j := newJudge(log)
	w := newWorker("i-7f3a91c1", c.sides[0], log, j)
	go w.loop()
	defer w.close()
	time.Sleep(1500 * time.Millisecond)
	const fewID, manyID = "5c0e7a21d94b36f8", "90ab34c1e7d25f06"
	j.retries[fewID], j.retries[manyID] = 2, 5
	body := `{"spec":"ms=2500 fail=%d","stages":[{"count":1,"cpu":500,"mem_mb":256,"estimate_ms":2500}]}`
	first, _ := calls.client(c.edges[0], http.MethodPost, "/pufi791/"+fewID, fmt.Sprintf(body, 9)) // fails in each run
	second, _ := calls.client(c.edges[0], http.MethodPost, "/puxa403/"+manyID, fmt.Sprintf(body, 4))
	if first != http.StatusOK || second != http.StatusOK {
		log.say("can't run: the jobs are not accepted")
		return invalid
	}
	waitFor(5*time.Second, func() bool { active, _ := w.count(); return active == 2 })
	if status, _ := calls.operator(c.cores[0], http.MethodPatch, "5", `{"version":7,"remove":{"routes":["r-hh2b9wu","r-nn2ctnf"]}}`); status != http.StatusOK {
		log.say("can't run: version 7 is not taken: %d", status)
		return invalid
	}
	if trouble {
		for _, m := range c.cores {
			c.kill(m)
		}
		time.Sleep(800 * time.Millisecond)
		for _, m := range c.cores {
			if err := c.start(m); err != nil {
				return invalid
			}
		}
	}
	time.Sleep(25 * time.Second) // five runs of 2.5 s, and the takeover
	if !addAgain(calls, c, many) {
		log.say("can't run: version 9 is not taken")
		return invalid
	}
	time.Sleep(3 * time.Second) // config_apply_ms, visible_ms
	status, text := calls.client(c.edges[0], http.MethodGet, "/puxa403/"+manyID, "")
	fewFailed, beyond := j.failures(fewID + ".0.0.0")
	manyFailed, _ := j.failures(manyID + ".0.0.0")
	log.say("retries 2: %d runs ended failed, %d starts after the second; retries 5: %d runs ended failed, then the job is %d %s", fewFailed, beyond,
		manyFailed, status, text)
	switch {
	case beyond > 0:
		return broken // BUDGET
	case status == http.StatusOK && manyFailed < 5 && text == "{\"state\":\"failed\"}\n":
		return broken // LOST
	case fewFailed < 2 || manyFailed < 4:
		log.say("can't judge: the tasks have not run as often as they should")
		return invalid
	}
	return held
}

// addAgain adds a route again, so that its client can ask for the job.
func addAgain(calls *caller, c *cluster, added string) bool {
	for n := range 10 {
		status, _ := calls.operator(c.cores[n%3], http.MethodPatch, "7", fmt.Sprintf(`{"version":9,"upsert":{"routes":[%s]}}`, added))
		if status == http.StatusOK {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}
