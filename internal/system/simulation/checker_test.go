package simulation

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// checker checks invariants of the events that fake workers report: no task runs on two workers at a time, no task starts
// after its completion was acknowledged, no task starts whose job was not submitted, and no worker exceeds its capacity.
type checker struct {
	mu           sync.Mutex
	running      map[string]string        // worker by task
	acknowledged map[string]time.Duration // time of the acknowledgement by task
	starts       map[string]int           // number of starts by task
	submitted    map[string]bool          // by job ID
	violations   []string
	started      time.Time
}

func newChecker(started time.Time) *checker {
	return &checker{started: started, running: map[string]string{}, acknowledged: map[string]time.Duration{}, starts: map[string]int{}, submitted: map[string]bool{}}
}

// violation records a violation of an invariant. The caller holds c.mu.
func (c *checker) violation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%.2f s: ", time.Since(c.started).Seconds())+fmt.Sprintf(format, args...))
}

// TaskStarted implements fakeworker.Observer.
func (c *checker) TaskStarted(task, worker string, cpu, capacity int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.running[task]; other != "" {
		c.violation("TWICE: task %s started on %s while it was running on %s", task, worker, other)
	}
	if at, acknowledged := c.acknowledged[task]; acknowledged {
		c.violation("TWICE: task %s started on %s after its completion was acknowledged at %.2f s", task, worker, at.Seconds())
	}
	if !c.submitted[task[:16]] {
		c.violation("UNSUBMITTED: task %s started without a submission of its job", task)
	}
	if cpu > capacity {
		c.violation("LIMIT: worker %s uses %d of %d millicores", worker, cpu, capacity)
	}
	c.running[task] = worker
	c.starts[task]++
}

// TaskEnded implements fakeworker.Observer.
func (c *checker) TaskEnded(task, worker string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[task] == worker {
		delete(c.running, task)
	}
}

// CompletionAcknowledged implements fakeworker.Observer.
func (c *checker) CompletionAcknowledged(task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acknowledged[task] = time.Since(c.started)
}

// InvalidMessage implements fakeworker.Observer.
func (c *checker) InvalidMessage(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violation("invalid heartbeat or response: %v", err)
}

// checkFinalState checks that the last acknowledged configuration is current and that all jobs have completed.
func (c *cluster) checkFinalState(t *testing.T, ids []string) {
	t.Helper()
	if status, version := c.getConfigurationFrom("core1"); status != http.StatusOK || version != c.acknowledgedVersion {
		t.Errorf("CONFIG: version %d was acknowledged, but a read returned status %d, version %d", c.acknowledgedVersion, status, version)
	}
	c.checkJobs(t, ids)
}

// checkJobs checks that all jobs were accepted and have completed, and that no invariant was violated.
func (c *cluster) checkJobs(t *testing.T, ids []string) {
	t.Helper()
	done := 0
	for _, id := range ids {
		if !c.acceptedJobs[id] {
			t.Errorf("job %s was never accepted", id)
			continue
		}
		if state := c.jobState(id); state != "completed" {
			t.Errorf("job %s has state %s, want completed", id, state)
			continue
		}
		done++
	}
	c.checker.mu.Lock()
	defer c.checker.mu.Unlock()
	for _, violation := range c.checker.violations {
		t.Error(violation)
	}
	t.Logf("%d jobs completed, %d tasks started, configuration version %d", done, len(c.checker.starts), c.acknowledgedVersion)
}
