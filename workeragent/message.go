// Package workeragent decides for the side agent of one worker: it is the only one that talks to the
// worker, so it is the arbiter of what starts there.
//
// Several owners may follow one another; the agent obeys the highest fencing token that it has met. It
// starts nothing beyond the announced capacity, where all that runs, is being stopped or is on its way
// counts; nothing on a worker that drains; and it lets the worker hold on to its runs for as long as the
// owner has granted, and not longer. Each heartbeat tells exactly what the answer before it brought about, since
// the worker sends the next only after that answer or after it has given up on it.
//
// An Agent is a pure state machine: heartbeats and orders come in with the time, answers and reports go out.
package workeragent

//go:generate easyjson message.go

import (
	"fmt"

	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"
)

// Heartbeat is a worker's account of itself.
//
//easyjson:json
type Heartbeat struct {
	Service      string     `json:"service"`
	Address      string     `json:"address"`
	Zone         string     `json:"zone"`
	Version      string     `json:"version"`
	Slots        int64      `json:"slots"`
	State        string     `json:"state"`
	WarmupLeftMS int64      `json:"warmup_left_ms"`
	RemainingMS  int64      `json:"remaining_ms"`
	Capacity     Capacity   `json:"capacity"`
	Labels       []string   `json:"labels"`
	ClockMS      int64      `json:"clock_ms"`
	Sequence     int64      `json:"sequence"`
	Active       []Active   `json:"active"`
	Finished     []Finished `json:"finished"`
}

// Capacity is what a worker has.
//
//easyjson:json
type Capacity struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"mem_mb"`
	GPU   int64 `json:"gpu"`
}

// Answer is what a worker is told.
//
//easyjson:json
type Answer struct {
	HoldMS       int64    `json:"hold_ms,omitempty"`
	LastSeen     int64    `json:"last_seen,omitempty"`
	FenceToken   int64    `json:"fence_token,omitempty"`
	Started      []Start  `json:"started,omitempty"`
	Stopped      []RunRef `json:"stopped,omitempty"`
	RetryAfterMS int64    `json:"retry_after_ms,omitempty"`
}

// Active is a run that is under way: [task, run, saved, percent].
type Active struct {
	Task    string
	Attempt int64
	Saved   string
	Percent float64
}

// Finished is a run that has ended: [N, task, run, how, saved].
type Finished struct {
	Number  int64
	Task    string
	Attempt int64
	How     string
	Saved   string
}

// Start orders a run: [task, run, spec, saved].
type Start struct {
	Task    string
	Attempt int64
	Text    string
	Saved   string
}

// RunRef names a run: [task, run].
type RunRef struct {
	Task    string
	Attempt int64
}

// UnmarshalEasyJSON reads [task, run, saved, percent].
func (a *Active) UnmarshalEasyJSON(in *jlexer.Lexer) {
	readTuple(in, &a.Task, &a.Attempt, &a.Saved, &a.Percent)
}

// MarshalEasyJSON writes [task, run, saved, percent].
func (a Active) MarshalEasyJSON(out *jwriter.Writer) {
	writeTuple(out, a.Task, a.Attempt, a.Saved, a.Percent)
}

// UnmarshalEasyJSON reads [N, task, run, how, saved].
func (f *Finished) UnmarshalEasyJSON(in *jlexer.Lexer) {
	readTuple(in, &f.Number, &f.Task, &f.Attempt, &f.How, &f.Saved)
}

// MarshalEasyJSON writes [N, task, run, how, saved].
func (f Finished) MarshalEasyJSON(out *jwriter.Writer) {
	writeTuple(out, f.Number, f.Task, f.Attempt, f.How, f.Saved)
}

// UnmarshalEasyJSON reads [task, run, spec, saved].
func (s *Start) UnmarshalEasyJSON(in *jlexer.Lexer) {
	readTuple(in, &s.Task, &s.Attempt, &s.Text, &s.Saved)
}

// MarshalEasyJSON writes [task, run, spec, saved].
func (s Start) MarshalEasyJSON(out *jwriter.Writer) {
	writeTuple(out, s.Task, s.Attempt, s.Text, s.Saved)
}

// UnmarshalEasyJSON reads [task, run].
func (r *RunRef) UnmarshalEasyJSON(in *jlexer.Lexer) { readTuple(in, &r.Task, &r.Attempt) }

// MarshalEasyJSON writes [task, run].
func (r RunRef) MarshalEasyJSON(out *jwriter.Writer) { writeTuple(out, r.Task, r.Attempt) }

// readTuple reads a JSON array into fields, in order. Further items are skipped, missing ones left.
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
		in.AddError(fmt.Errorf("no field for %T", field))
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

// wireSize returns how long a text is in JSON at most.
func wireSize(text string) int {
	size := len(text)
	for i := range len(text) {
		switch c := text[i]; {
		case c < ' ', c >= 0x7f, c == '"', c == '\\', c == '<', c == '>', c == '&':
			size += escapedByte - 1
		}
	}
	return size
}
