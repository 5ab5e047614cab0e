//go:build review

package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Limits of the pages for the case.
const (
	freezeDuration = 5 * time.Second // node_freeze, the default for_s
	frozenJobs     = 100             // jobs that are handed in at the frozen edge
	lateJobs       = 35              // of them, those whose clients leave and cancel: give_up, a share of 0.35
	leaveAfter     = 1500 * time.Millisecond
	cancelBound    = 3 * time.Second // cancel_ms
)

// lateSubmission: clients hand jobs in at an edge that is frozen, leave, and cancel at the other edge, which answers 410. When the
// edge wakes, the jobs must not start any more.
func lateSubmission(c *cluster, trouble bool) error {
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
	body := `{"spec":"lookup","stages":[{"count":1,"cpu":240,"mem_mb":64,"estimate_ms":500}]}`
	if err := c.submit("/pule252/", newJobID(), body); err != nil {
		return err
	}
	for range 4 {
		c.job(clientDeadline, http.MethodPost, c.edges[0], "/pule252/", newJobID(), body)
	}
	if trouble {
		c.signal(c.edges[0], syscall.SIGSTOP)
	}
	type cancelled struct {
		id string
		at time.Time
	}
	results := make(chan cancelled)
	begin := time.Now()
	var staying sync.WaitGroup
	for range frozenJobs - lateJobs {
		staying.Go(func() {
			id := newJobID()
			if status, _ := c.job(clientDeadline, http.MethodPost, c.edges[0], "/pule252/", id, body); status == 0 {
				c.job(clientDeadline, http.MethodPost, c.edges[1], "/pule252/", id, body) // after silence, to another edge
			}
		})
	}
	for range lateJobs {
		go func() {
			id := newJobID()
			status, _ := c.job(leaveAfter, http.MethodPost, c.edges[0], "/pule252/", id, body)
			if status != 0 {
				c.record.note("job %s: answered %d", id, status)
			}
			for {
				status, _ := c.job(clientDeadline, http.MethodDelete, c.edges[1], "/pule252/", id, "")
				if status/100 == 2 || status == http.StatusGone {
					results <- cancelled{id, time.Now()}
					return
				}
			}
		}()
	}
	var jobs []cancelled
	for range lateJobs {
		jobs = append(jobs, <-results)
	}
	staying.Wait()
	time.Sleep(time.Until(begin.Add(freezeDuration)))
	if trouble {
		c.signal(c.edges[0], syscall.SIGCONT)
	}
	time.Sleep(6 * time.Second)
	broken := 0
	for _, job := range jobs {
		for _, s := range c.startsOf(job.id) {
			if late := s.at.Sub(job.at); late > cancelBound {
				broken++
				c.record.note("job %s: started %v after its cancelling was answered", job.id, late)
			}
		}
	}
	if broken > 0 {
		return brokenf("UNASKED: %d of %d cancelled jobs were started later than cancel_ms after the answer to their cancelling", broken, lateJobs)
	}
	return nil
}

func init() { cases["late-submission"] = lateSubmission }
