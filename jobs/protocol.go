package jobs

// The messages between the owner of a shard and the agents of its workers. They are Avro, read by the order of the fields:
// none may be moved, added, dropped or retyped within a release.

// RunRef identifies one run of a task.
type RunRef struct {
	Task    string // TaskName
	Attempt int64  // counted from 1
}

// Report is what an agent reports about one incarnation of its worker.
type Report struct {
	AgentAddress     string // address of the agent
	AgentIncarnation string // incarnation of the agent's process
	Service          string // name of the workers' service
	Instance         string // identifies the worker's incarnation
	State            string // a WorkerState
	DrainRemainingMS int64  // with Draining: time until the worker leaves
	Capacity         Resources
	Labels           []string // the last one is the rack
	Active           []ActiveRun
	Finished         []FinishedRun
	InFlight         []RunRef // starts that are in flight: received, and not seen active yet
	Dropped          []RunRef // starts that never reached the worker and never will
	MissedMessages   int64    // heartbeats that were missed and answers that were dropped, in the agent's incarnation
	HeartbeatAgeMS   int64    // age of the last heartbeat
	UnknownDemands   int64    // active runs whose demand the agent does not know
	LeaseRemainingMS int64    // time until the leases of all runs have expired, when they are no longer renewed; else 0
}

// ActiveRun is a run that the worker reports as active.
type ActiveRun struct {
	Task       string
	Attempt    int64
	Checkpoint string // the newest checkpoint, if any
	Percent    int64  // progress, 0 to 100
}

// FinishedRun is a run that the worker reports as finished.
type FinishedRun struct {
	Number     int64 // counts the finished runs of the worker's incarnation, from 1
	Task       string
	Attempt    int64
	Outcome    string // one of the outcomes below
	Checkpoint string // the newest checkpoint, if any
}

// The outcomes of a run.
const (
	outcomeSucceeded    = "done"    // the task succeeded
	outcomeFailed       = "failed"  // by the fault of the task or the worker
	outcomeStopped      = "stopped" // on order
	outcomeGangEnded    = "broken"  // another member of the gang ended without success
	outcomeGangTimeout  = "alone"   // the other members of the gang did not start within the gang's time-out
	outcomeRejected     = "refused" // the worker rejected the start
	outcomeDropped      = "dropped" // the start never reached the worker
	outcomeLeaseExpired = "lapsed"  // the lease expired
)

// hasRun reports whether a run with an outcome has certainly run at the worker.
func hasRun(outcome string) bool {
	switch outcome {
	case outcomeSucceeded, outcomeFailed, outcomeStopped, outcomeGangEnded, outcomeGangTimeout:
		return true
	}
	return false
}

// Orders are what the owner orders about one incarnation of a worker.
type Orders struct {
	Instance           string  // the worker's incarnation
	AgentIncarnation   string  // the agent's incarnation as the owner knows it; an agent of a later one rejects the orders
	KnownDemands       []Start // the demands of runs that the agent may not know
	Starts             []Start
	Stops              []RunRef
	DurableCompletions int64 // finished runs up to this number are committed
}

// Start orders a run.
type Start struct {
	Task       string
	Attempt    int64
	Text       string // Spec.Text
	Checkpoint string // the checkpoint to resume from, if any
	Demand     Resources
}
