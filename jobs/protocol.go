package jobs

// The types below are messages between the owner of a shard and the agents of its workers. They are encoded as Avro and read by
// field order: within a release, no field may be moved, added, removed or given another type.

// RunRef identifies one run of a task.
type RunRef struct {
	Task    string // task name, see TaskName
	Attempt int64  // counted from 1
}

// Report is an agent's status report about one incarnation of its worker.
type Report struct {
	AgentAddress     string // network address of the agent
	AgentIncarnation string // identifies the incarnation of the agent process
	Service          string // name of the service that the worker belongs to
	Instance         string // identifies the incarnation of the worker
	State            string // the worker's WorkerState
	DrainRemainingMS int64  // time until the worker departs; set while draining
	Capacity         Resources
	Labels           []string // the last label is the rack
	Active           []ActiveRun
	Finished         []FinishedRun
	InFlight         []RunRef // runs that may have started or will start, but that the worker lists neither as active nor as finished yet
	Dropped          []RunRef // runs that certainly never started and never will
	MissedMessages   int64    // missed heartbeats and dropped responses during the agent's incarnation
	HeartbeatAgeMS   int64    // age of the worker's latest heartbeat
	UnknownDemands   int64    // number of active runs whose demand the agent does not know
	LeaseRemainingMS int64    // time until all run leases have expired; 0 while they are renewed
}

// ActiveRun is a run that the worker reports as active.
type ActiveRun struct {
	Task       string
	Attempt    int64
	Checkpoint string // latest checkpoint, if any
	Percent    int64  // progress from 0 to 100
}

// FinishedRun is a run that the worker reports as finished.
type FinishedRun struct {
	Number     int64 // sequence number of the finished run in the worker's incarnation, from 1
	Task       string
	Attempt    int64
	Outcome    string // one of the outcome constants
	Checkpoint string // latest checkpoint, if any
}

// Ref identifies the run.
func (r *ActiveRun) Ref() RunRef { return RunRef{r.Task, r.Attempt} }

// Ref identifies the run.
func (r *FinishedRun) Ref() RunRef { return RunRef{r.Task, r.Attempt} }

// The outcomes of a run. The values are sent by agents.
const (
	outcomeSucceeded    = "done"    // the task succeeded
	outcomeFailed       = "failed"  // the task or the worker failed
	outcomeStopped      = "stopped" // the owner ordered the stop
	outcomeGangEnded    = "broken"  // another member of the gang ended without success
	outcomeGangTimeout  = "alone"   // the other members of the gang did not start within the gang timeout
	outcomeRejected     = "refused" // the worker rejected the start
	outcomeDropped      = "dropped" // the start never reached the worker
	outcomeLeaseExpired = "lapsed"  // the lease expired
)

// hasRun reports whether a run with this outcome is certain to have run on the worker.
func hasRun(outcome string) bool {
	switch outcome {
	case outcomeSucceeded, outcomeFailed, outcomeStopped, outcomeGangEnded, outcomeGangTimeout:
		return true
	}
	return false
}

// Orders are the owner's instructions to an agent about one incarnation of its worker.
type Orders struct {
	Instance           string  // identifies the incarnation of the worker
	AgentIncarnation   string  // incarnation of the agent known to the owner; a later incarnation rejects the orders
	KnownDemands       []Start // demands of assigned runs, for an agent that does not know all of them
	Starts             []Start
	Stops              []RunRef
	DurableCompletions int64 // number up to which finished runs are committed
}

// Start is an order to start a run.
type Start struct {
	Task       string
	Attempt    int64
	Spec       string // copy of Spec.Text
	Checkpoint string // checkpoint to resume from, if any
	Demand     Resources
}

// Ref identifies the run to start.
func (s *Start) Ref() RunRef { return RunRef{s.Task, s.Attempt} }
