// Package result defines the result codes of the internal protocol. Every error that a scheduler returns to another
// scheduler or to an operator has a code. docs/RESULTS.md documents the codes.
package result

import (
	"errors"
	"fmt"
)

// Code identifies the outcome of a call. The meaning of a code never changes, and no code is reused.
type Code int

// The result codes. An error below 2000 means that the call has changed nothing. From 2000 on it is unknown whether the
// call was applied; it may be retried, since all calls are idempotent.
const (
	OK                Code = 0
	BadRequest        Code = 1001 // the message cannot be decoded, or names a bucket that does not exist
	NotOwner          Code = 1002 // this scheduler does not own the shard
	NotReady          Code = 1003 // there is no configuration, or no quorum has confirmed the ownership recently
	Fenced            Code = 1004 // a newer fencing token is known
	EpochOutdated     Code = 1005 // the sender has an older core membership
	NotRecovered      Code = 1006 // the replica has no seat, is a learner, or must be repaired first
	NoRoute           Code = 1007 // the current configuration has no such route
	NoJob             Code = 1008 // the job does not exist
	Overloaded        Code = 1009 // the shard has too many unfinished jobs; the job was not accepted
	Conflict          Code = 1010 // another version of the configuration is current, another disk holds the seat, or another job has the ID
	Invalid           Code = 1011 // the configuration or job is invalid
	WrongInstance     Code = 1012 // the orders are for another incarnation of the worker
	BallotOutdated    Code = 1013 // a higher ballot was promised; no longer returned
	WrongReplica      Code = 1014 // the replica at the address is not the one addressed, or is in another epoch
	Unavailable       Code = 1015 // no connection was established, no quorum was reached before anything was accepted, or the message found no room
	MembershipInvalid Code = 1016 // the membership violates an invariant
	WrongDeployment   Code = 1017 // the message belongs to another deployment
	WrongDisk         Code = 1018 // the disk belongs to another machine
	QueueMoved        Code = 1019 // the current configuration sends the queue to another shard, and this one does not have the job
	ConfigOutdated    Code = 1020 // the sender's configuration precedes a change of the queue's shard
	JobCancelled      Code = 1021 // the job was cancelled before its submission arrived; it was not accepted
	JobOutdated       Code = 1022 // the job may have been cancelled before its submission arrived; it was not accepted
	StorageFailed     Code = 2001 // a disk write failed, or may have failed
	OutcomeUnknown    Code = 2002 // a commit was started and its outcome is unknown
	TransportFailed   Code = 2003 // the connection failed before the response was received
)

// Error is an error with a result code. Only the code and the text are sent to other schedulers.
type Error struct {
	Code  Code
	Text  string
	cause error // nil if the error was received from another scheduler
}

func (e *Error) Error() string { return fmt.Sprintf("[%d] %s", e.Code, e.Text) }

// Unwrap returns the local cause, or nil if there is none.
func (e *Error) Unwrap() error { return e.cause }

// Errorf returns an *Error with the given code. The format is that of fmt.Errorf, including %w.
func Errorf(code Code, format string, args ...any) error {
	cause := fmt.Errorf(format, args...)
	return &Error{Code: code, Text: cause.Error(), cause: cause}
}

// CodeOf returns the code of the outermost *Error that err wraps. It returns OK for nil and TransportFailed for an error
// without a code.
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

// NotApplied reports whether the call that returned err has failed and has certainly changed nothing.
func NotApplied(err error) bool {
	code := CodeOf(err)
	return code != OK && code < StorageFailed
}
