// Package journal is the pure part of the journal of one-shot jobs: what its records
// say, how a job goes on over them, and what can be said of a job after a crash. It
// does no input or output and asks no clock; package store keeps records on a disk,
// package journal feeds it from the planners.
package journal

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"sedgevale"
)

// Kind says what a record tells.
type Kind uint8

// The kinds of records. Their numbers are part of the format.
const (
	Taken      Kind = iota + 1 // a job was taken from a client
	Intent                     // an attempt is about to go to Worker
	Sent                       // the attempt's bytes were written to the worker's connection
	Started                    // the worker said that it has begun
	Ended                      // the attempt ended with Outcome
	Answered                   // the client was given the final answer
	ClientGone                 // the client left before its answer
	Settled                    // an operator has decided what became of the job
	Kept                       // a job's whole history, carried on from a segment that is dropped
	Pruned                     // the records up to the Count-th were dropped by retention
	Gap                        // Count records could not be written before this one
	Closed                     // the process ended in order; nothing is missing after this
	lastKind   = Closed
)

// Bounds of a record. A reader refuses what lies beyond, a writer cuts texts short.
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

	Kind    Kind
	Serial  uint64 // of the job: unique in a journal, where an id may come again
	At      int64  // Unix time in microseconds, by the clock of the scheduler's machine
	Job     string // the Request-Id; Taken, Intent, Settled
	Attempt int    // counted from 0; Intent, Sent, Started, Ended
	Worker  string // Intent
	Class   string // Taken
	Tenant  string // Taken
	Target  string // Taken: path and query
	Size    int    // Taken: bytes of the body
	Digest  []byte // Taken: the first 16 bytes of the body's SHA-256
	Code    uint8  // Ended: Outcome, Answered: AnswerKind, Settled: Verdict
	Unseen  bool   // Ended: the attempt surely never ran
	Text    string // Answered: the reason, Settled: why
	Who     string // Settled: by whom
	Count   uint64 // Pruned, Gap
	Whole   *Job   // Kept
}

// AnswerKind tells what a client was told. The numbers are part of the format.
type AnswerKind uint8

// The kinds of answers.
const (
	Served AnswerKind = iota + 1
	Refused
	Failed
)

func (a AnswerKind) String() string {
	return name([]string{"", "served", "refused", "failed"}, int(a))
}

// Outcome is how an attempt ended. The numbers are part of the format and apart from
// the module's, which may change.
type Outcome uint8

// The outcomes.
const (
	OutServed Outcome = iota + 1
	OutErrored
	OutFull
	OutTimedOut
	OutConnectFailed
	OutLost
	OutCancelled
	OutNotSent
)

var outcomes = map[sedgevale.Outcome]Outcome{
	sedgevale.Served: OutServed, sedgevale.Errored: OutErrored, sedgevale.Full: OutFull,
	sedgevale.TimedOut: OutTimedOut, sedgevale.ConnectFailed: OutConnectFailed, sedgevale.Lost: OutLost,
	sedgevale.Cancelled: OutCancelled, sedgevale.NotSent: OutNotSent,
}

// OutcomeOf returns the journal's number for an outcome of the module.
func OutcomeOf(o sedgevale.Outcome) Outcome { return outcomes[o] }

func (o Outcome) String() string {
	return name([]string{"", "served", "error", "turned_away", "timed_out", "could_not_connect", "connection_lost",
		"cancelled", "not_sent"}, int(o))
}

func name(names []string, i int) string {
	if i <= 0 || i >= len(names) {
		return "unknown"
	}
	return names[i]
}

// Opens reports whether the record begins something, so that it may be left out as
// long as what it stands for is not done either. All others close what is open.
func (r *Record) Opens() bool { return r.Kind == Taken || r.Kind == Intent }

// Clip cuts the texts of a record to their bounds.
func (r *Record) Clip() {
	for _, s := range []*string{&r.Job, &r.Worker, &r.Class, &r.Tenant, &r.Target, &r.Text, &r.Who} {
		if len(*s) > MaxText {
			*s = (*s)[:MaxText]
		}
	}
}

var errBounds = errors.New("a field is out of its bounds")

// Encode appends a record to b.
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

// Decode reads one record, which must fill b, and checks it.
func Decode(b []byte) (*Record, error) {
	if len(b) > MaxRecord {
		return nil, errBounds
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
	return &r, r.check()
}

func (r *Record) check() error {
	if r.Kind == 0 || r.Kind > lastKind {
		return fmt.Errorf("a record of unknown kind %d: written by a newer version?", r.Kind)
	}
	for _, s := range []string{r.Job, r.Worker, r.Class, r.Tenant, r.Target, r.Text, r.Who} {
		if len(s) > MaxText {
			return errBounds
		}
	}
	most := uint8(0)
	switch r.Kind {
	case Ended:
		most = uint8(OutNotSent)
	case Answered:
		most = uint8(Failed)
	case Settled:
		most = uint8(Unknown)
	}
	if r.Attempt < 0 || r.Attempt >= MaxAttempts || r.Size < 0 || len(r.Digest) > 16 || r.Code > most ||
		most > 0 && r.Code == 0 {
		return errBounds
	}
	if (r.Kind == Kept) != (r.Whole != nil) || r.Whole != nil && len(r.Whole.Attempts) > MaxAttempts {
		return errBounds
	}
	return nil
}
