// Package result holds the numbered result codes of the system: every error that one scheduler returns to another, or to
// an operator, has a code. docs/RESULTS.md explains them.
package result

import (
	"errors"
	"fmt"
)

// Code identifies an outcome. A code keeps its meaning and is never reused.
type Code int

// The codes. Below 2000 the call has changed nothing; from 2000 on that is unknown, and the call, being idempotent, may be
// repeated.
const (
	OK                Code = 0
	BadRequest        Code = 1001 // the message cannot be decoded, or names a key range that does not exist
	NotOwner          Code = 1002 // this scheduler does not own the shard
	NotReady          Code = 1003 // no configuration, or no quorum confirmed the ownership lately
	Fenced            Code = 1004 // a newer fencing token is known
	EpochOutdated     Code = 1005 // the sender's membership of the core is older
	NotRecovered      Code = 1006 // the replica holds no seat, is a learner, or has to be repaired first
	NoRoute           Code = 1007 // no such route in the newest configuration
	NoJob             Code = 1008 // no such job
	Overloaded        Code = 1009 // the shard has too many unfinished jobs; the job was not accepted
	Conflict          Code = 1010 // another version of the configuration is current, or a seat is held by another disk
	Invalid           Code = 1011 // the configuration or job is invalid
	WrongInstance     Code = 1012 // the orders are for another incarnation of the worker
	BallotOutdated    Code = 1013 // a higher ballot was promised; no longer returned
	WrongReplica      Code = 1014 // another replica than was asked, or one in another epoch, answers at the address
	Unavailable       Code = 1015 // no connection was made, or no quorum was reached before anything was accepted
	MembershipInvalid Code = 1016 // the membership violates an invariant
	WrongDeployment   Code = 1017 // the message is of another deployment
	WrongDisk         Code = 1018 // the disk belongs to another machine
	StorageFailed     Code = 2001 // a write to the disk failed, or may have
	OutcomeUnknown    Code = 2002 // a commit was begun and its outcome is unknown
	TransportFailed   Code = 2003 // the connection failed before the answer
)

// Error is an error with a code. Only the code and the text are sent to other schedulers.
type Error struct {
	Code  Code
	Text  string
	cause error // nil if the error came from another scheduler
}

func (e *Error) Error() string { return fmt.Sprintf("[%d] %s", e.Code, e.Text) }

// Unwrap returns the local cause, if any.
func (e *Error) Unwrap() error { return e.cause }

// Errorf returns an Error with a text like fmt.Errorf's; %w wraps a cause.
func Errorf(code Code, format string, args ...any) error {
	cause := fmt.Errorf(format, args...)
	return &Error{Code: code, Text: cause.Error(), cause: cause}
}

// CodeOf returns the code of an error: OK for nil, TransportFailed for an error without a code.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	var coded *Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return TransportFailed
}

// Unchanged reports whether the call that returned the error has certainly changed nothing.
func Unchanged(err error) bool {
	code := CodeOf(err)
	return code != OK && code < StorageFailed
}
