// Package jobs schedules the jobs of one shard: it assigns the tasks of the submitted jobs to workers and tracks their runs
// until the jobs end.
//
// The Scheduler is a state machine that does no I/O and reads no clock. Events are method calls that pass the
// current time. Flush returns the writes to replicate, and OnCommitted runs the callbacks that had to wait for their commit.
//
// Schedule runs one scheduling cycle (cycle.go). It takes the groups of pending tasks queue by queue, filters the workers
// (filter.go), picks one worker (pick.go), or one per member of a gang (gang.go), and assigns the task (assign.go). For groups
// that cannot be placed it reserves workers (reservation.go) and preempts runs (preemption.go). Groups that have waited too
// long are placed beyond their queue's limit (overdue.go).
package jobs

//go:generate easyjson -all spec.go

// Spec is the specification of a job as a client submits it.
type Spec struct {
	Text        string  `json:"spec"` // opaque to the scheduler, passed to the workers unchanged
	Stages      []Stage `json:"stages"`
	Repeat      int     `json:"repeat,omitempty"`       // number of occurrences; 0 means 1
	StartAtMS   int64   `json:"start_at_ms,omitempty"`  // Unix time of the first occurrence; 0 means now
	IntervalMS  int64   `json:"interval_ms,omitempty"`  // interval between occurrences
	LongRunning bool    `json:"long_running,omitempty"` // all tasks run until the job is cancelled
}

// taskCount returns the number of tasks of one occurrence.
func (s *Spec) taskCount() int {
	count := 0
	for i := range s.Stages {
		count += s.Stages[i].Count
	}
	return count
}

// Stage is one stage of a job: Count identical tasks.
type Stage struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu,omitempty"`           // demand per task, in millicores
	MemMB        int64  `json:"mem_mb,omitempty"`        // demand per task, in MiB
	GPU          int64  `json:"gpu,omitempty"`           // demand per task, in accelerators
	EstimateMS   int64  `json:"estimate_ms,omitempty"`   // expected run time per task
	DependsOn    []int  `json:"depends_on,omitempty"`    // indexes of earlier stages that must complete first
	Checkpoints  bool   `json:"checkpoints,omitempty"`   // tasks save checkpoints and may be preempted
	Gang         bool   `json:"gang,omitempty"`          // all tasks start together or not at all
	RackLocal    bool   `json:"rack_local,omitempty"`    // the members of a gang prefer a common rack
	AtLeastOnce  bool   `json:"at_least_once,omitempty"` // accepted and ignored
	LongRunning  bool   `json:"long_running,omitempty"`  // tasks run until the job is cancelled
	Constraints  Labels `json:"constraints,omitempty"`   // labels that a worker must have
	AffinityTo   string `json:"affinity_to,omitempty"`   // label of the rack that stores the input data
	AntiAffinity int    `json:"anti_affinity,omitempty"` // maximum tasks of the stage per worker; 0 means no maximum
}
