// Package journal is the pure part of the journal of one-shot jobs, a write-ahead log of their attempts: the encoding of
// its records, the state of a job that replaying them gives, and the verdict on a job after a crash. It does no input or
// output and reads no clock; package store keeps the records on a disk, package recorder writes them for the planners.
package journal

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"sedgevale/dispatcher"
)

// Kind is the event that a record stands for.
type Kind uint8

// The kinds of records. Their numbers are part of the format.
const (
	Accepted      Kind = iota + 1 // a job was accepted from a client
	Intent                        // an attempt is about to go to Worker
	Sent                          // the attempt's bytes were written to the worker's connection
	Started                       // the worker said that it has begun
	Ended                         // the attempt ended with Outcome
	Answered                      // the client was given the final answer
	ClientGone                    // the client left before its answer
	Decided                       // an operator has decided what became of the job
	CarriedOver                   // a job's complete history, copied from a segment that is dropped
	Pruned                        // the records up to the Count-th were dropped by retention
	RecordsLost                   // Count records could not be written before this one
	CleanShutdown                 // the process shut down gracefully; no record is missing after this
	lastKind      = CleanShutdown
)

// Bounds of a record. A reader rejects what exceeds them, a writer truncates texts.
const (
	MaxText     = 256     // bytes of a text
	MaxAttempts = 64      // of a job
	MaxRecord   = 1 << 16 // bytes of a record, encoded
)

// Record is one entry of the journal. Which fields count depends on Kind; the others
// are zero. It is encoded as a MessagePack array, so the order of fields is part of
// the format.
type Record struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 an option of the encoder

	Kind       Kind
	Serial     uint64 // of the job: unique in a journal, where an id may come again
	At         int64  // Unix time in microseconds, by the clock of the scheduler's machine
	JobID      string // the Request-Id; Accepted, Intent, Decided
	Attempt    int    // counted from 0; Intent, Sent, Started, Ended
	Worker     string // Intent
	Class      string // Accepted
	Tenant     string // Accepted
	Target     string // Accepted: path and query
	Size       int    // Accepted: bytes of the body
	Digest     []byte // Accepted: the first 16 bytes of the body's SHA-256
	Code       uint8  // Ended: Outcome, Answered: AnswerKind, Decided: Verdict
	NeverRan   bool   // Ended: the attempt certainly never ran
	Text       string // Answered: the reason, Decided: why
	Operator   string // Decided: by whom
	Count      uint64 // Pruned, RecordsLost
	CarriedJob *Job   // CarriedOver
}

// AnswerKind is the kind of the final answer to a client. The numbers are part of the format.
type AnswerKind uint8

// The kinds of answers.
const (
	Served AnswerKind = iota + 1
	Rejected
	Failed
)

func (a AnswerKind) String() string {
	return nameOf([]string{"", "served", "refused", "failed"}, int(a))
}

// Outcome is how an attempt ended. The numbers are part of the format and independent of those of
// dispatcher.Outcome, which may change.
type Outcome uint8

// The outcomes.
const (
	OutcomeServed Outcome = iota + 1
	OutcomeErrored
	OutcomeRejected
	OutcomeTimedOut
	OutcomeConnectFailed
	OutcomeConnectionLost
	OutcomeCancelled
	OutcomeNotSent
)

var outcomeNumbers = map[dispatcher.Outcome]Outcome{
	dispatcher.Served: OutcomeServed, dispatcher.Errored: OutcomeErrored, dispatcher.Rejected: OutcomeRejected,
	dispatcher.TimedOut: OutcomeTimedOut, dispatcher.ConnectFailed: OutcomeConnectFailed, dispatcher.ConnectionLost: OutcomeConnectionLost,
	dispatcher.Cancelled: OutcomeCancelled, dispatcher.NotSent: OutcomeNotSent,
}

// OutcomeOf returns the journal's number for a dispatcher.Outcome.
func OutcomeOf(o dispatcher.Outcome) Outcome { return outcomeNumbers[o] }

// String returns the outcome as reports for operators show it.
func (o Outcome) String() string {
	return nameOf([]string{"", "served", "error", "turned_away", "timed_out", "could_not_connect", "connection_lost",
		"cancelled", "not_sent"}, int(o))
}

func nameOf(names []string, i int) string {
	if i <= 0 || i >= len(names) {
		return "unknown"
	}
	return names[i]
}

// Truncate cuts the texts of a record to MaxText bytes.
func (r *Record) Truncate() {
	for _, s := range r.texts() {
		if len(*s) > MaxText {
			*s = (*s)[:MaxText]
		}
	}
}

// texts returns the fields that MaxText bounds.
func (r *Record) texts() []*string {
	return []*string{&r.JobID, &r.Worker, &r.Class, &r.Tenant, &r.Target, &r.Text, &r.Operator}
}

var errOutOfBounds = errors.New("a field is out of its bounds")

// Encode appends a record to b. A record of more than MaxRecord bytes is an error.
func Encode(b []byte, r *Record) ([]byte, error) {
	w := bytes.NewBuffer(b)
	e := msgpack.GetEncoder()
	defer msgpack.PutEncoder(e)
	e.Reset(w)
	e.UseCompactInts(true)
	if err := e.Encode(r); err != nil {
		return b, err
	}
	if w.Len()-len(b) > MaxRecord {
		return b, fmt.Errorf("a record of %d bytes, %d at most", w.Len()-len(b), MaxRecord)
	}
	return w.Bytes(), nil
}

// Decode reads one record, which must fill b. One that is out of the bounds is an error.
func Decode(b []byte) (*Record, error) {
	if len(b) > MaxRecord {
		return nil, errOutOfBounds
	}
	var r Record
	in := bytes.NewReader(b)
	d := msgpack.GetDecoder()
	defer msgpack.PutDecoder(d)
	d.Reset(in)
	d.DisableAllocLimit(false)
	if err := d.Decode(&r); err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	if in.Len() > 0 {
		return nil, fmt.Errorf("record: %d bytes follow it", in.Len())
	}
	return &r, r.validate()
}

// validate returns an error for a record that no writer of this version has encoded.
func (r *Record) validate() error {
	if r.Kind == 0 || r.Kind > lastKind {
		return fmt.Errorf("a record of unknown kind %d: written by a newer version?", r.Kind)
	}
	for _, s := range r.texts() {
		if len(*s) > MaxText {
			return errOutOfBounds
		}
	}
	if r.Attempt < 0 || r.Attempt >= MaxAttempts || r.Size < 0 || len(r.Digest) > 16 || !r.validCode() {
		return errOutOfBounds
	}
	if (r.Kind == CarriedOver) != (r.CarriedJob != nil) || r.CarriedJob != nil && len(r.CarriedJob.Attempts) > MaxAttempts {
		return errOutOfBounds
	}
	return nil
}

// validCode reports whether Code is one of the numbers that the record's kind may have.
func (r *Record) validCode() bool {
	switch r.Kind {
	case Ended:
		return r.Code > 0 && r.Code <= uint8(OutcomeNotSent)
	case Answered:
		return r.Code > 0 && r.Code <= uint8(Failed)
	case Decided:
		return r.Code > 0 && r.Code <= uint8(Unknown)
	}
	return r.Code == 0
}
