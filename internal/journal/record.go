// Package journal defines the records of the journal of one-shot jobs, a write-ahead log of their attempts: the encoding of the
// records, the state of a job after replaying them, and the verdict on a job after a crash. It performs no I/O and reads no
// clock. Package store keeps the records on disk, and package recorder writes them for the planners.
package journal

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"sedgevale/dispatcher"
)

// Kind is the type of event that a record describes.
type Kind uint8

// The kinds of records. Their numbers are part of the format.
const (
	Accepted      Kind = iota + 1 // a job was accepted from a client
	Intent                        // an attempt is about to be sent to Worker
	Sent                          // the attempt's bytes were written to the worker's connection
	Started                       // the worker reported that it started the attempt
	Ended                         // the attempt ended with Outcome
	Answered                      // the client received the final answer
	ClientGone                    // the client disconnected before its answer
	Decided                       // an operator recorded a verdict on the job
	CarriedOver                   // complete history of a job, copied from a segment that is dropped
	Pruned                        // retention dropped the records up to sequence number Count
	RecordsLost                   // Count records before this one could not be written
	CleanShutdown                 // the process shut down gracefully; all its records were written
	lastKind      = CleanShutdown
)

// Limits of a record. A reader rejects a record that exceeds them; a writer truncates texts.
const (
	MaxText     = 256     // bytes per text
	MaxAttempts = 64      // attempts per job
	MaxRecord   = 1 << 16 // bytes per encoded record
)

// Record is one entry of the journal. Kind determines which fields are used; the others are zero. A record is encoded as a
// MessagePack array, so the order of the fields is part of the format.
type Record struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 an option of the encoder

	Kind       Kind
	Serial     uint64 // number of the job, unique in a log, whereas a job ID may be reused
	At         int64  // Unix time in microseconds by the scheduler's clock
	JobID      string // Accepted, Intent, Decided: the Request-Id
	Attempt    int    // Intent, Sent, Started, Ended: number of the attempt, counted from 0
	Worker     string // Intent: name of the worker
	Class      string // Accepted: name of the class
	Tenant     string // Accepted: name of the tenant
	Target     string // Accepted: path and query of the request
	Size       int    // Accepted: size of the body in bytes
	Digest     []byte // Accepted: the first 16 bytes of the body's SHA-256
	Code       uint8  // Ended: Outcome, Answered: AnswerKind, Decided: Verdict
	NeverRan   bool   // Ended: the attempt is known never to have run
	Text       string // Answered and Decided: the reason
	Operator   string // Decided: the operator
	Count      uint64 // Pruned: last dropped sequence number; RecordsLost: number of records
	CarriedJob *Job   // CarriedOver: the job
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
	return enumName([]string{"", "served", "refused", "failed"}, int(a))
}

// Outcome is the result of an attempt. The numbers are part of the format and independent of those of dispatcher.Outcome, which
// may change.
type Outcome uint8

// The outcomes of attempts.
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

// OutcomeOf converts a dispatcher.Outcome.
func OutcomeOf(o dispatcher.Outcome) Outcome { return outcomeNumbers[o] }

// String returns the name of the outcome in reports for operators.
func (o Outcome) String() string {
	return enumName([]string{"", "served", "error", "turned_away", "timed_out", "could_not_connect", "connection_lost",
		"cancelled", "not_sent"}, int(o))
}

func enumName(names []string, i int) string {
	if i <= 0 || i >= len(names) {
		return "unknown"
	}
	return names[i]
}

// Truncate truncates the texts of a record to MaxText bytes.
func (r *Record) Truncate() {
	for _, s := range r.texts() {
		if len(*s) > MaxText {
			*s = (*s)[:MaxText]
		}
	}
}

// texts returns the fields that MaxText limits.
func (r *Record) texts() []*string {
	return []*string{&r.JobID, &r.Worker, &r.Class, &r.Tenant, &r.Target, &r.Text, &r.Operator}
}

var errOutOfBounds = errors.New("a field is out of its bounds")

// Encode appends an encoded record to b. A record of more than MaxRecord bytes is an error.
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
		return b, fmt.Errorf("encoded record has %d bytes; at most %d are allowed", w.Len()-len(b), MaxRecord)
	}
	return w.Bytes(), nil
}

// Decode decodes one record, which must fill b. A record that exceeds the limits is an error.
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

// validate returns an error for a record that no writer of this version encodes.
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

// validCode reports whether Code is valid for the record's kind.
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
