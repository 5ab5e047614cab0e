// Package jobs decides about the jobs of one shard: it keeps what clients handed in, lets work in by the
// admission mechanism, places tasks on workers, follows their ends and says what has to be stored first.
//
// It is a pure state machine. Events come as method calls with the time as an argument; what must be
// durable comes out as changes of records, and what may only happen once they are durable is done by
// Committed. Nothing here reads a clock, a socket or a disk.
package jobs

//go:generate easyjson -all spec.go

// Spec is a job as a client hands it in. Times are in milliseconds.
type Spec struct {
	Text        string  `json:"spec"`
	Stages      []Stage `json:"stages"`
	Repeat      int     `json:"repeat,omitempty"`
	StartAtMS   int64   `json:"start_at_ms,omitempty"`
	IntervalMS  int64   `json:"interval_ms,omitempty"`
	LongRunning bool    `json:"long_running,omitempty"`
}

// Stage is one step of a job: Count tasks that are alike.
type Stage struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu,omitempty"`
	MemMB        int64  `json:"mem_mb,omitempty"`
	GPU          int64  `json:"gpu,omitempty"`
	EstimateMS   int64  `json:"estimate_ms,omitempty"`
	DependsOn    []int  `json:"depends_on,omitempty"`
	Checkpoints  bool   `json:"checkpoints,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
	RackLocal    bool   `json:"rack_local,omitempty"`
	AtLeastOnce  bool   `json:"at_least_once,omitempty"`
	LongRunning  bool   `json:"long_running,omitempty"`
	Constraints  Labels `json:"constraints,omitempty"`
	AffinityTo   string `json:"affinity_to,omitempty"`
	AntiAffinity int    `json:"anti_affinity,omitempty"`
}
