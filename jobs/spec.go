// Package jobs is the scheduler of one shard: it keeps submitted jobs and their progress, admits their tasks by learned
// limits, assigns them to workers, follows their runs and says what must be stored before anything else may happen.
//
// It is a pure state machine. Events are method calls with the time as an argument. Writes come out of Flush, and steps that
// must wait until these are committed are run by Committed. Nothing here reads a clock, a socket or a disk.
//
// Schedule runs one scheduling cycle (cycle.go): it takes the groups of pending tasks queue by queue, filters the workers
// (filter.go), picks one (pick.go) or one for each member of a gang (gang.go), and assigns the task (assign.go). For what
// cannot be placed it reserves workers (reservation.go) and preempts runs (preemption.go); what has waited for too long is
// placed past its queue's limit (overdue.go).
package jobs

//go:generate easyjson -all spec.go

// Spec is a job as a client submits it.
type Spec struct {
	Text        string  `json:"spec"` // passed to the workers as it is
	Stages      []Stage `json:"stages"`
	Repeat      int     `json:"repeat,omitempty"`       // number of occurrences; 0 is 1
	StartAtMS   int64   `json:"start_at_ms,omitempty"`  // Unix time of the first occurrence; 0 is now
	IntervalMS  int64   `json:"interval_ms,omitempty"`  // between two occurrences
	LongRunning bool    `json:"long_running,omitempty"` // all tasks run until the job is cancelled
}

// Stage is one stage of a job: Count tasks that are alike.
type Stage struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu,omitempty"`           // of each task, in thousandths of a core
	MemMB        int64  `json:"mem_mb,omitempty"`        // of each task
	GPU          int64  `json:"gpu,omitempty"`           // accelerators of each task
	EstimateMS   int64  `json:"estimate_ms,omitempty"`   // expected run time of a task
	DependsOn    []int  `json:"depends_on,omitempty"`    // indexes of earlier stages that must be completed first
	Checkpoints  bool   `json:"checkpoints,omitempty"`   // tasks save checkpoints, so they may be preempted
	Gang         bool   `json:"gang,omitempty"`          // all tasks start together
	RackLocal    bool   `json:"rack_local,omitempty"`    // a gang prefers one rack
	AtLeastOnce  bool   `json:"at_least_once,omitempty"` // accepted and not used
	LongRunning  bool   `json:"long_running,omitempty"`  // tasks run until the job is cancelled
	Constraints  Labels `json:"constraints,omitempty"`   // labels that a worker must have
	AffinityTo   string `json:"affinity_to,omitempty"`   // label of the rack that has the data
	AntiAffinity int    `json:"anti_affinity,omitempty"` // most tasks of the stage on one worker; 0 for any number
}
