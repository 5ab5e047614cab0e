package jobs

// RunRef names one start of a task.
type RunRef struct {
	Task    string
	Attempt int64
}

// Report is what a side agent tells of one incarnation of its worker.
type Report struct {
	Side        string // where the side agent hears the owner
	Life        string
	Service     string
	Instance    string
	State       string
	RemainingMS int64
	Capacity    Resources
	Labels      []string
	Active      []ActiveRun
	Finished    []EndedRun
	Held        []RunRef // orders that were received and not yet seen at the worker
	Dropped     []RunRef // orders that never reached the worker and never will
	Missed      int64    // heartbeats that did not come and answers that were dropped, since its life began
	SinceBeatMS int64    // since the last heartbeat
	Unknown     int64    // active runs of which the side agent does not know what they take
	LapsesInMS  int64    // when all its runs have surely lapsed, where no more holds are granted; 0 where they are
}

// ActiveRun is a run that the worker lists as active.
type ActiveRun struct {
	Task    string
	Attempt int64
	Saved   string
	Percent int64
}

// EndedRun is a run that the worker lists as finished.
type EndedRun struct {
	Number  int64
	Task    string
	Attempt int64
	How     string
	Saved   string
}

// The ways in which a run ends.
const (
	outcomeDone   = "done"
	outcomeFailed = "failed"
)

// ranOutcomes are the ends of runs that the worker had begun for certain.
var ranOutcomes = map[string]bool{outcomeDone: true, outcomeFailed: true, "stopped": true, "broken": true, "alone": true}

// Orders are what a side agent is told about one incarnation.
type Orders struct {
	Instance string
	Life     string  // of the side agent, as the owner knows it; orders for an earlier one are turned down
	Known    []Start // what runs take that the side agent may not know
	Starts   []Start
	Stops    []RunRef
	Noted    int64
}

// Start orders a run.
type Start struct {
	Task    string
	Attempt int64
	Text    string
	Saved   string
	Demand  Resources
}
