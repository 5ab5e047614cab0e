// Package workeragent holds the decisions of the agent beside one worker. The agent alone talks to the worker, so it is the
// arbiter of which runs start there.
//
// Fencing tokens and two chained leases (C. Gray and D. Cheriton, "Leases", SOSP 1989) keep a run from being active twice.
// Owners of the worker's shard may follow one another: the agent obeys the highest fencing token that it has met. An owner
// grants the agent a lease, and while it is valid the agent grants the worker one with each answer; when the worker's lease
// expires its runs end. The agent starts nothing beyond the announced capacity, against which active, stopping and possibly
// started runs count, and nothing on a worker that drains. A worker sends the next heartbeat only after it has received the
// answer to the last one or has given up on it, so each heartbeat shows exactly what that answer brought about.
//
// An Agent is a pure state machine: heartbeats and orders come in with the time, answers and reports go out.
package workeragent

//go:generate easyjson message.go

import (
	"fmt"

	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"
)

// Heartbeat is a worker's report on itself. The JSON keys are part of the workers' protocol, as are those of Answer. Fields
// without a comment are read and not used.
//
//easyjson:json
type Heartbeat struct {
	Service           string        `json:"service"` // the service whose jobs the worker runs: also the name of the shard
	Address           string        `json:"address"`
	Zone              string        `json:"zone"`
	Version           string        `json:"version"`
	Slots             int64         `json:"slots"`
	State             string        `json:"state"` // "ready", or another value while the worker drains
	WarmupRemainingMS int64         `json:"warmup_left_ms"`
	RemainingMS       int64         `json:"remaining_ms"` // while it drains: until the worker ends
	Capacity          Capacity      `json:"capacity"`     // the total, not what is free
	Labels            []string      `json:"labels"`       // the last one is the rack
	ClockMS           int64         `json:"clock_ms"`
	Sequence          int64         `json:"sequence"` // rises with each heartbeat of an incarnation
	Active            []ActiveRun   `json:"active"`   // runs that have not ended
	Finished          []FinishedRun `json:"finished"` // runs that have ended, until last_seen passes their numbers; 500 at most
}

// Capacity is the resources of a worker: CPU in thousandths of a core, memory in MiB, and a number of GPUs.
//
//easyjson:json
type Capacity struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"mem_mb"`
	GPU   int64 `json:"gpu"`
}

// Answer is the answer to a Heartbeat. Durations are in milliseconds.
//
//easyjson:json
type Answer struct {
	LeaseMS      int64    `json:"hold_ms,omitempty"`        // the worker's lease, on its own clock from the sending of the heartbeat; 0 grants none
	LastSeen     int64    `json:"last_seen,omitempty"`      // ends of runs up to this number are stored and need not be reported again
	FenceToken   int64    `json:"fence_token,omitempty"`    // the highest fencing token of an owner that the agent has met
	Started      []Start  `json:"started,omitempty"`        // runs to start
	Stopped      []RunRef `json:"stopped,omitempty"`        // runs to stop
	RetryAfterMS int64    `json:"retry_after_ms,omitempty"` // until the next heartbeat is due
}

// ActiveRun is a run that has not ended: [task, run, saved, percent]. Percent is its progress.
type ActiveRun struct {
	Task       string
	Attempt    int64
	Checkpoint string
	Percent    float64
}

// FinishedRun is a run that has ended: [N, task, run, how, saved]. N numbers the ends at the worker.
type FinishedRun struct {
	Number     int64
	Task       string
	Attempt    int64
	Outcome    string
	Checkpoint string
}

// Start is the order to start a run: [task, run, spec, saved]. Checkpoint is where to start from, if any.
type Start struct {
	Task       string
	Attempt    int64
	Spec       string
	Checkpoint string
}

// RunRef identifies a run, an attempt of a task: [task, run].
type RunRef struct {
	Task    string
	Attempt int64
}

// UnmarshalEasyJSON reads [task, run, saved, percent].
func (a *ActiveRun) UnmarshalEasyJSON(in *jlexer.Lexer) {
	readTuple(in, &a.Task, &a.Attempt, &a.Checkpoint, &a.Percent)
}

// MarshalEasyJSON writes [task, run, saved, percent].
func (a ActiveRun) MarshalEasyJSON(out *jwriter.Writer) {
	writeTuple(out, a.Task, a.Attempt, a.Checkpoint, a.Percent)
}

// UnmarshalEasyJSON reads [N, task, run, how, saved].
func (f *FinishedRun) UnmarshalEasyJSON(in *jlexer.Lexer) {
	readTuple(in, &f.Number, &f.Task, &f.Attempt, &f.Outcome, &f.Checkpoint)
}

// MarshalEasyJSON writes [N, task, run, how, saved].
func (f FinishedRun) MarshalEasyJSON(out *jwriter.Writer) {
	writeTuple(out, f.Number, f.Task, f.Attempt, f.Outcome, f.Checkpoint)
}

// UnmarshalEasyJSON reads [task, run, spec, saved].
func (s *Start) UnmarshalEasyJSON(in *jlexer.Lexer) {
	readTuple(in, &s.Task, &s.Attempt, &s.Spec, &s.Checkpoint)
}

// MarshalEasyJSON writes [task, run, spec, saved].
func (s Start) MarshalEasyJSON(out *jwriter.Writer) {
	writeTuple(out, s.Task, s.Attempt, s.Spec, s.Checkpoint)
}

// UnmarshalEasyJSON reads [task, run].
func (r *RunRef) UnmarshalEasyJSON(in *jlexer.Lexer) { readTuple(in, &r.Task, &r.Attempt) }

// MarshalEasyJSON writes [task, run].
func (r RunRef) MarshalEasyJSON(out *jwriter.Writer) { writeTuple(out, r.Task, r.Attempt) }

// readTuple reads a JSON array into fields, in order. Items beyond them are skipped; fields without an item stay as they are.
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
	switch to := field.(type) {
	case *string:
		*to = in.String()
	case *int64:
		*to = int64(in.Float64())
	case *float64:
		*to = in.Float64()
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
