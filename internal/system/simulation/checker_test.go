package simulation

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// checker checks invariants by what workers do: no task runs twice at a time, none after its completion was acknowledged,
// none without a submit, and no worker exceeds its capacity.
type checker struct {
	mu           sync.Mutex
	running      map[string]string        // task: worker
	acknowledged map[string]time.Duration // when
	starts       map[string]int
	submitted    map[string]bool
	violations   []string
	started      time.Time
}

func newChecker(started time.Time) *checker {
	return &checker{started: started, running: map[string]string{}, acknowledged: map[string]time.Duration{}, starts: map[string]int{}, submitted: map[string]bool{}}
}

func (c *checker) violation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%.2f s: ", time.Since(c.started).Seconds())+fmt.Sprintf(format, args...))
}

// TaskStarted checks the start of a task.
func (c *checker) TaskStarted(task, worker string, cpu, capacity int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.running[task]; other != "" {
		c.violation("TWICE: %s starts at %s and runs at %s", task, worker, other)
	}
	if at, acknowledged := c.acknowledged[task]; acknowledged {
		c.violation("TWICE: %s starts at %s after its completion was acknowledged at %.2f s", task, worker, at.Seconds())
	}
	if !c.submitted[task[:16]] {
		c.violation("UNASKED: %s", task)
	}
	if cpu > capacity {
		c.violation("LIMIT: %s uses %d of %d", worker, cpu, capacity)
	}
	c.running[task] = worker
	c.starts[task]++
}

// TaskEnded takes the end of an attempt.
func (c *checker) TaskEnded(task, worker string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[task] == worker {
		delete(c.running, task)
	}
}

// EndAcknowledged takes the acknowledgement of a task's completion.
func (c *checker) EndAcknowledged(task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acknowledged[task] = time.Since(c.started)
}

// InvalidAnswer takes an answer to a heartbeat that cannot be read.
func (c *checker) InvalidAnswer(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violation("answer: %v", err)
}

// checkFinalState checks that the acknowledged configuration is in force and all jobs have completed.
func (c *cluster) checkFinalState(t *testing.T, ids []string) {
	t.Helper()
	if status, version := c.getConfigurationFrom("core1"); status != http.StatusOK || version != c.acknowledgedVersion {
		t.Errorf("CONFIG: version %d was acknowledged, read back status %d, version %d", c.acknowledgedVersion, status, version)
	}
	c.checkJobs(t, ids)
}

// checkJobs checks that all jobs have completed, and that workers observed no violation.
func (c *cluster) checkJobs(t *testing.T, ids []string) {
	t.Helper()
	done := 0
	for _, id := range ids {
		if !c.acceptedJobs[id] {
			t.Errorf("job %s was never accepted", id)
			continue
		}
		if state := c.jobState(id); state != "completed" {
			t.Errorf("job %s is %s", id, state)
			continue
		}
		done++
	}
	c.checker.mu.Lock()
	defer c.checker.mu.Unlock()
	for _, violation := range c.checker.violations {
		t.Error(violation)
	}
	t.Logf("%d jobs completed, %d tasks started, version %d", done, len(c.checker.starts), c.acknowledgedVersion)
}
