package dispatcher

import (
	"errors"
	"time"
)

// WorkerState is the state of a worker in the worker list.
type WorkerState uint8

// The states of a worker.
const (
	Active   WorkerState = iota
	Draining             // finishes its attempts in flight and gets no new ones
	Removed              // removed from the worker list
)

// WorkerInfo is an entry of the worker list. A Dispatcher keeps no reference to the
// slices that carry it.
type WorkerInfo struct {
	Name      string // name of the worker
	Zone      int
	Kind      int // machine kind
	Cell      int // failure domain; in classes with DedupCell its workers also share the deduplication keys
	State     WorkerState
	Weight    float64       // see [WeightMeaning]
	StartedAt time.Duration // last start on the host's clock; 0 means that it is long past
}

// UpdateKind is the kind of an update of the worker list.
type UpdateKind uint8

// The kinds of updates.
const (
	UpdateDelta  UpdateKind = iota // changed entries only
	UpdateFull                     // all workers; an absent worker has been removed
	UpdateStale                    // all workers as last known, which may be out of date
	UpdateFailed                   // no entries; the watch failed and the last list remains in use
)

// Request is a request received from a client.
type Request struct {
	ID               string
	Class            int           // index into Settings.Classes
	Tenant           int           // index from [Dispatcher.TenantIndex], -1 if the settings have no tenants
	AffinityKey      string        // requests with the same key prefer the same worker, which may have cached data; may be empty
	RemainingTimeout time.Duration // time until the client stops waiting
	RuntimeHint      time.Duration // estimated running time; 0 means none
	Slots            float64       // slots that the request occupies at a worker; 0 counts as 1
	ClientRetry      bool          // the client repeats an earlier request
}

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes.
const (
	Served         Outcome = iota // the response went to the client
	Errored                       // the worker responded with an error
	Rejected                      // the worker rejected the attempt; see [Settings.RejectedMayHaveRun]
	TimedOut                      // no response arrived before the timeout
	ConnectFailed                 // no connection to the worker could be established
	ConnectionLost                // the connection broke while the attempt was in flight
	Cancelled                     // the attempt was cancelled by [Host.Cancel]
	NotSent                       // the host did not send the attempt
)

// LoadReport is a worker's load report. Reports are delayed and inexact.
type LoadReport struct {
	HasFreeSlots bool
	FreeSlots    float64
	HasInFlight  bool
	InFlight     float64 // requests in flight or queued at the worker
}

// AttemptResult is the result of an attempt that has ended.
type AttemptResult struct {
	ID             string
	Attempt        int // number of the attempt, from 0 in the order of the request's sends
	Outcome        Outcome
	ClientAnswered bool        // the client has its final response, from this attempt or earlier
	Report         *LoadReport // load report of the worker, nil if none; the Dispatcher does not retain it
}

// Host carries out the decisions of a Dispatcher. A Dispatcher calls it from within
// its own methods, in the order in which the calls are to take effect. The calls must
// not call back into the Dispatcher.
type Host interface {
	// Send sends the request's next attempt to the worker. A timeout of 0 means as
	// long as the client waits.
	Send(id, worker string, timeout time.Duration)
	// Reject ends the request without a response. The client may safely retry it,
	// after the given delay if that is not 0.
	Reject(id string, retryAfter time.Duration)
	// Fail ends the request without a response. The request may have run.
	Fail(id string)
	// Cancel cancels an attempt. Its outcome must still be reported.
	Cancel(id string, attempt int)
	// SetTimer schedules a call of [Dispatcher.TimerFired] with the token after the
	// given time. Timers cannot be stopped.
	SetTimer(after time.Duration, token uint64)
	// Probe queries a worker for its load; the host reports the result by
	// [Dispatcher.ProbeResult].
	Probe(worker string)
	// CloseIdleConnections closes the connections to a worker that carry no attempt.
	CloseIdleConnections(worker string)
	// WatchWorkers starts a watch on the worker list; the host reports the list and its
	// updates by [Dispatcher.WorkersUpdated].
	WatchWorkers()
	// Log writes a line to the log.
	Log(text string)
}

// Errors for invalid events. A Dispatcher ignores an event for which it returns one.
var (
	ErrUnknownRequest   = errors.New("sedgevale: no such request")
	ErrUnknownAttempt   = errors.New("sedgevale: no such attempt in flight")
	ErrDuplicateRequest = errors.New("sedgevale: a request with this ID is already open")
	errNoHost           = errors.New("sedgevale: the host of a dispatcher must not be nil")
	ErrBadRequest       = errors.New("sedgevale: the request's class or tenant index is out of range")
)

// Load is a dispatcher's load at a worker.
type Load struct {
	InFlight   float64 `json:"held"`              // slots in flight
	NotStarted int     `json:"waiting,omitempty"` // attempts in flight that have not started
	WorkSent   float64 `json:"sent,omitempty"`    // total work sent, in slot seconds
}

// Add returns the sum of two loads.
func (l Load) Add(m Load) Load {
	return Load{l.InFlight + m.InFlight, l.NotStarted + m.NotStarted, l.WorkSent + m.WorkSent}
}

// WorkerLoad is the load of one or more dispatchers at a worker.
type WorkerLoad struct {
	Worker string
	Load
	Saturated bool // all dispatchers together have more slots in flight at the worker than were ever reported free at a worker of its kind
}
