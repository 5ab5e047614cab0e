package jobs

// Limits on a job. They bound its memory and the size of its records, so that whatever is accepted can be replicated, stored
// and restored. docs/OPERATIONS.md lists them for users.
const (
	// MaxBodyBytes is the maximum length of a submitted job's body. With the name of its queue it must fit into a record that
	// all releases can read (maxRecordBytes).
	MaxBodyBytes = 960 << 10

	maxSpecBytes = 4000  // maximum length of Spec.Text
	maxStages    = 64    // maximum stages of a job
	maxTasks     = 5000  // maximum tasks per occurrence, over all stages
	maxRepeats   = 10000 // maximum occurrences of a job

	// maxUnfinishedTasks is the maximum number of tasks in the unfinished occurrences of a job. A further occurrence waits
	// until earlier ones are done.
	maxUnfinishedTasks = 50000
	// maxCheckpointBytes is the maximum length of a checkpoint. A longer one is not kept; the previous one remains.
	maxCheckpointBytes = 8 << 10
	// maxJobCheckpointBytes is the maximum total length of the checkpoints of a job. A checkpoint that would exceed it is not
	// kept; the previous one remains.
	maxJobCheckpointBytes = 4 << 20
)
