// Package result holds the numbered result codes of the system: every error that one scheduler tells
// another, or an operator, has a code that the table in docs/RESULTS.md explains.
package result

import (
	"errors"
	"fmt"
)

// Code names one outcome. Codes are never reused.
type Code int

// The codes. Those below 2000 say that nothing was changed by the call; those from 2000 on leave it open.
const (
	OK                Code = 0
	BadRequest        Code = 1001 // the message cannot be read
	NotOwner          Code = 1002 // this scheduler does not own the shard
	NotReady          Code = 1003 // no configuration or no quorum yet
	Fenced            Code = 1004 // a newer fencing token is known
	EpochOutdated     Code = 1005 // the sender's membership of the core is older
	NotRecovered      Code = 1006 // the replica holds no seat, or is a learner and does not vote yet
	NoRoute           Code = 1007 // no such route in the newest configuration
	NoJob             Code = 1008 // no such job
	Overloaded        Code = 1009 // the queue is full; nothing was taken
	Conflict          Code = 1010 // another version of the configuration is current
	Invalid           Code = 1011 // the configuration or job is invalid
	WrongInstance     Code = 1012 // the worker has another incarnation by now
	BallotOutdated    Code = 1013 // a higher ballot was promised
	WrongReplica      Code = 1014 // another replica answers at the address by now
	Unavailable       Code = 1015 // no quorum could be reached
	MembershipInvalid Code = 1016 // a membership that cannot be
	WrongDeployment   Code = 1017 // the message is of another deployment
	WrongDisk         Code = 1018 // the disk belongs to another machine, or its layout is not known
	StorageFailed     Code = 2001 // the disk did not take a write; its fate is open
	OutcomeUnknown    Code = 2002 // a commit was begun and its fate is unknown
	TransportFailed   Code = 2003 // the connection failed before an answer came
)

// Error is an error with a code.
type Error struct {
	Code Code
	Text string
}

func (e *Error) Error() string { return fmt.Sprintf("[%d] %s", e.Code, e.Text) }

// Errorf makes an Error.
func Errorf(code Code, format string, args ...any) error {
	return &Error{Code: code, Text: fmt.Errorf(format, args...).Error()}
}

// CodeOf returns the code of an error; OK for nil, TransportFailed for one without a code.
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

// Unchanged reports whether the failed call has surely changed nothing.
func Unchanged(err error) bool {
	code := CodeOf(err)
	return code != OK && code < StorageFailed
}
