package sedgevale

import (
	"errors"
	"time"
)

// WorkerState is what the list says of a worker.
type WorkerState uint8

// The states of a worker.
const (
	Active  WorkerState = iota
	Leaving             // finishes its work, takes nothing new
	Left                // removed
)

// WorkerInfo is an entry of the list of workers. A Dispatcher keeps no
// reference to the slices that carry it.
type WorkerInfo struct {
	Worker    string
	Zone      int
	Kind      int
	Cell      int
	State     WorkerState
	Weight    float64
	StartedAt time.Duration // when it last started, on the host's clock; 0: long ago
}

// ListKind says how a list of workers is to be read.
type ListKind uint8

// The kinds of lists.
const (
	ListPatch  ListKind = iota // changed entries only
	ListWhole                  // all workers; who is absent has been removed
	ListStale                  // all workers as last known, maybe long ago
	ListBroken                 // no entries: a watch failed or broke, the old list stands
)

// Request is a job taken from a client.
type Request struct {
	ID     string
	Class  int
	Tenant int           // -1 where there are no tenants
	Key    string        // what a worker may keep at hand for the job; may be empty
	Left   time.Duration // how long the client still waits
	Hint   time.Duration // a guess of its running time; 0: none
	Slots  float64       // 0 counts as 1
	Retry  bool          // the client has tried before
}

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes.
const (
	Served        Outcome = iota // the answer went to the client
	Errored                      // the worker answered with an error
	Full                         // turned away; unseen, but see Settings.FullMayHaveRun
	TimedOut                     // no reply in time
	ConnectFailed                // no connection could be made
	Lost                         // the connection broke while the attempt was out
	Cancelled                    // called off
	NotSent                      // the host did not send it
)

// Report is a worker's load report. Reports are late and inexact.
type Report struct {
	HasFree bool
	Free    float64 // free slots
	HasHeld bool
	Held    float64 // requests in hand
}

// Result is the end of an attempt.
type Result struct {
	ID      string
	Attempt int // counted from 0 by the order of the request's sends
	Outcome Outcome
	Closed  bool    // the request has its final answer, by this outcome or before
	Report  *Report // nil: none came along; not kept
}

// Host carries out what a Dispatcher decides. The calls come from within the
// Dispatcher's methods, in the order in which they are to take effect; they
// must not call back into it.
type Host interface {
	// Send starts the request's next attempt on the worker. A time-out of 0
	// means as long as the client waits.
	Send(id, worker string, timeout time.Duration)
	// Reject ends the request unserved; the client may safely come again,
	// after the given time if that is not 0.
	Reject(id string, after time.Duration)
	// Fail ends the request and promises nothing.
	Fail(id string)
	// Cancel calls off an attempt. Its outcome still comes.
	Cancel(id string, attempt int)
	// SetTimer asks for Dispatcher.Timer with the token once the time has
	// passed. Timers cannot be unset.
	SetTimer(after time.Duration, token uint64)
	// Probe asks a worker for its load; see Dispatcher.Probed.
	Probe(worker string)
	// CloseIdleConnections closes the connections to a worker that carry nothing now.
	CloseIdleConnections(worker string)
	// WatchWorkers asks for the list of workers and all its changes.
	WatchWorkers()
	// Log notes a line for whoever is on call.
	Log(text string)
}

// Errors for what a host has got wrong. The event that returned one was not
// acted on.
var (
	ErrUnknownRequest   = errors.New("sedgevale: no such request")
	ErrUnknownAttempt   = errors.New("sedgevale: no such attempt, or it is over")
	ErrDuplicateRequest = errors.New("sedgevale: request id already taken")
	errNoHost           = errors.New("sedgevale: no host")
	ErrBadRequest       = errors.New("sedgevale: class or tenant out of range")
)
