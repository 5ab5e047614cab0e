// Package workeragent implements the decision logic of the side agent of one worker: which of the owner's orders the worker
// receives, and how long the worker's lease lasts. The worker communicates only with its agent.
//
// Fencing tokens and two chained leases (C. Gray and D. Cheriton, "Leases", SOSP 1989) prevent a run from being active twice.
// The owner of the worker's shard may change; the agent obeys only the owner with the highest fencing token that it has seen.
// An owner grants the agent a lease, and while that is valid the agent grants the worker a lease with each answer; when the
// worker's lease expires, its runs end. The agent never starts runs beyond the announced capacity, against which active,
// stopping and possibly started runs count, and starts none on a worker that drains. A worker sends the next heartbeat only
// after it has received the answer to the last one or has given up waiting for it, so each heartbeat reflects the effect of
// that answer.
//
// An Agent is a pure state machine without a clock or I/O: its inputs are heartbeats and orders with the current time, its
// outputs are answers and reports.
package workeragent

//go:generate easyjson message.go

import (
	"fmt"

	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"

	"sedgevale/jobs"
)

// Heartbeat is the periodic status message of a worker. Its JSON keys and those of HeartbeatResponse are part of the worker protocol.
// Fields without a comment are decoded but not used.
//
//easyjson:json
type Heartbeat struct {
	Service           string        `json:"service"` // service whose jobs the worker runs; also the name of the shard
	Address           string        `json:"address"`
	Zone              string        `json:"zone"`
	Version           string        `json:"version"`
	Slots             int64         `json:"slots"`
	State             string        `json:"state"` // "ready", or another value while the worker drains
	WarmupRemainingMS int64         `json:"warmup_left_ms"`
	RemainingMS       int64         `json:"remaining_ms"` // time until the worker ends, while it drains
	Capacity          Capacity      `json:"capacity"`     // total capacity, including what runs use
	Labels            []string      `json:"labels"`       // the last one is the rack
	ClockMS           int64         `json:"clock_ms"`
	Sequence          int64         `json:"sequence"` // increases with each heartbeat of an incarnation
	Active            []ActiveRun   `json:"active"`   // runs that have not finished
	Finished          []FinishedRun `json:"finished"` // runs that have finished, until last_seen reaches their numbers; at most 500
}

// Capacity holds the resources of a worker: CPU in thousandths of a core, memory in MiB, and the number of GPUs.
//
//easyjson:json
type Capacity struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"mem_mb"`
	GPU   int64 `json:"gpu"`
}

func (c Capacity) resources() jobs.Resources {
	return jobs.Resources{CPU: c.CPU, MemMB: c.MemMB, GPU: c.GPU}
}

// HeartbeatResponse is the response to a Heartbeat.
//
//easyjson:json
type HeartbeatResponse struct {
	LeaseMS      int64    `json:"hold_ms,omitempty"`        // duration of the worker's lease, on its own clock, from when it sent the heartbeat; 0 grants no lease
	LastSeen     int64    `json:"last_seen,omitempty"`      // finished runs up to this number are stored and need not be reported again
	FenceToken   int64    `json:"fence_token,omitempty"`    // highest fencing token of an owner that the agent has seen
	Started      []Start  `json:"started,omitempty"`        // runs to start
	Stopped      []RunRef `json:"stopped,omitempty"`        // runs to stop
	RetryAfterMS int64    `json:"retry_after_ms,omitempty"` // time until the next heartbeat is due
}

// ActiveRun is a run that has not finished. It is encoded as [task, run, saved, percent].
type ActiveRun struct {
	Task       string
	Attempt    int64
	Checkpoint string
	Percent    float64 // progress in percent
}

func (a *ActiveRun) ref() jobs.RunRef { return jobs.RunRef{Task: a.Task, Attempt: a.Attempt} }

// FinishedRun is a run that has finished. It is encoded as [N, task, run, how, saved].
type FinishedRun struct {
	Number     int64 // sequence number among the finished runs of the worker
	Task       string
	Attempt    int64
	Outcome    string
	Checkpoint string
}

func (f *FinishedRun) ref() jobs.RunRef { return jobs.RunRef{Task: f.Task, Attempt: f.Attempt} }

// Start is the order to start a run. It is encoded as [task, run, spec, saved].
type Start struct {
	Task       string
	Attempt    int64
	Spec       string
	Checkpoint string // checkpoint to resume from; empty if there is none
}

// RunRef identifies a run, which is one attempt of a task. It is encoded as [task, run].
type RunRef struct {
	Task    string
	Attempt int64
}

// UnmarshalEasyJSON decodes [task, run, saved, percent].
func (a *ActiveRun) UnmarshalEasyJSON(in *jlexer.Lexer) {
	readTuple(in, &a.Task, &a.Attempt, &a.Checkpoint, &a.Percent)
}

// MarshalEasyJSON encodes [task, run, saved, percent].
func (a ActiveRun) MarshalEasyJSON(out *jwriter.Writer) {
	writeTuple(out, a.Task, a.Attempt, a.Checkpoint, a.Percent)
}

// UnmarshalEasyJSON decodes [N, task, run, how, saved].
func (f *FinishedRun) UnmarshalEasyJSON(in *jlexer.Lexer) {
	readTuple(in, &f.Number, &f.Task, &f.Attempt, &f.Outcome, &f.Checkpoint)
}

// MarshalEasyJSON encodes [N, task, run, how, saved].
func (f FinishedRun) MarshalEasyJSON(out *jwriter.Writer) {
	writeTuple(out, f.Number, f.Task, f.Attempt, f.Outcome, f.Checkpoint)
}

// UnmarshalEasyJSON decodes [task, run, spec, saved].
func (s *Start) UnmarshalEasyJSON(in *jlexer.Lexer) {
	readTuple(in, &s.Task, &s.Attempt, &s.Spec, &s.Checkpoint)
}

// MarshalEasyJSON encodes [task, run, spec, saved].
func (s Start) MarshalEasyJSON(out *jwriter.Writer) {
	writeTuple(out, s.Task, s.Attempt, s.Spec, s.Checkpoint)
}

// UnmarshalEasyJSON decodes [task, run].
func (r *RunRef) UnmarshalEasyJSON(in *jlexer.Lexer) { readTuple(in, &r.Task, &r.Attempt) }

// MarshalEasyJSON encodes [task, run].
func (r RunRef) MarshalEasyJSON(out *jwriter.Writer) { writeTuple(out, r.Task, r.Attempt) }

// readTuple decodes a JSON array into fields, in order. Excess elements are skipped, and fields without an element are left
// unchanged.
func readTuple(in *jlexer.Lexer, fields ...any) {
	in.Delim('[')
	n := 0
	for !in.IsDelim(']') {
		if n < len(fields) {
			readField(in, fields[n])
		} else {
			in.SkipRecursive()
		}
		n++
		in.WantComma()
	}
	in.Delim(']')
}

func readField(in *jlexer.Lexer, field any) {
	if in.IsNull() {
		in.Skip()
		return
	}
	switch target := field.(type) {
	case *string:
		*target = in.String()
	case *int64:
		*target = int64(in.Float64())
	case *float64:
		*target = in.Float64()
	default:
		in.AddError(fmt.Errorf("tuple: no reader for %T", field))
	}
}

func writeTuple(out *jwriter.Writer, fields ...any) {
	out.RawByte('[')
	for i, field := range fields {
		if i > 0 {
			out.RawByte(',')
		}
		switch value := field.(type) {
		case string:
			out.String(value)
		case int64:
			out.Int64(value)
		case float64:
			out.Float64(value)
		}
	}
	out.RawByte(']')
}
