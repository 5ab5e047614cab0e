package dispatcher

import (
	"errors"
	"time"
)

// WorkerState is what the list says of a worker.
type WorkerState uint8

// The states of a worker.
const (
	Active   WorkerState = iota
	Draining             // finishes its attempts in flight, gets nothing new
	Removed              // removed from the list
)

// WorkerInfo is an entry of the list of workers. A Dispatcher keeps no
// reference to the slices that carry it.
type WorkerInfo struct {
	Worker    string // its name
	Zone      int
	Kind      int // of machine
	Cell      int // workers of a cell share faults and, in some classes, the memory of keys
	State     WorkerState
	Weight    float64       // see [WeightMeaning]
	StartedAt time.Duration // when it last started, on the host's clock; 0: long ago
}

// UpdateKind says what an update of the list of workers holds.
type UpdateKind uint8

// The kinds of updates.
const (
	UpdateDelta  UpdateKind = iota // changed entries only
	UpdateFull                     // all workers; one that is absent has been removed
	UpdateStale                    // all workers as last known, maybe long ago
	UpdateFailed                   // no entries: a watch failed or broke, the last list stands
)

// Request is a request taken from a client.
type Request struct {
	ID          string
	Class       int           // index into Settings.Classes
	Tenant      int           // as by [Dispatcher.TenantIndex]; -1 where there are no tenants
	AffinityKey string        // affinity key: what a worker may have cached for the request; may be empty
	TimeLeft    time.Duration // how long the client still waits
	RuntimeHint time.Duration // an estimate of its running time; 0: none
	Slots       float64       // that it takes at a worker; 0 counts as 1
	ClientRetry bool          // the client has tried before
}

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes.
const (
	Served         Outcome = iota // the answer went to the client
	Errored                       // the worker answered with an error
	Rejected                      // the worker rejected it; the settings say whether it may have begun it
	TimedOut                      // no answer in time
	ConnectFailed                 // no connection could be made
	ConnectionLost                // the connection broke while the attempt was in flight
	Cancelled                     // by [Host.Cancel]
	NotSent                       // the host did not send it
)

// LoadReport is a worker's load report. Reports are late and inexact.
type LoadReport struct {
	HasFreeSlots bool
	FreeSlots    float64 // free slots
	HasInFlight  bool
	InFlight     float64 // requests in flight or queued there
}

// AttemptResult is the end of an attempt.
type AttemptResult struct {
	ID       string
	Attempt  int // counted from 0 in the order of the request's sends
	Outcome  Outcome
	Answered bool        // the client has its final answer, by this outcome or before
	Report   *LoadReport // nil: none came with it. The Dispatcher does not keep it
}

// Host carries out what a Dispatcher decides. The calls come from within the
// Dispatcher's methods, in the order in which they are to take effect; they
// must not call back into it.
type Host interface {
	// Send sends the request's next attempt to the worker. A time-out of 0
	// means as long as the client waits.
	Send(id, worker string, timeout time.Duration)
	// Reject ends the request unserved. The client may safely come again,
	// after the given time if that is not 0.
	Reject(id string, retryAfter time.Duration)
	// Fail ends the request unserved. It may have run.
	Fail(id string)
	// Cancel cancels an attempt. Its outcome must still be reported.
	Cancel(id string, attempt int)
	// SetTimer asks for [Dispatcher.TimerFired] with the token once the time
	// has passed. Timers cannot be stopped.
	SetTimer(after time.Duration, token uint64)
	// Probe asks a worker for its load, for [Dispatcher.ProbeResult].
	Probe(worker string)
	// CloseIdleConnections closes the connections to a worker that carry no
	// attempt.
	CloseIdleConnections(worker string)
	// WatchWorkers asks for the list of workers and all its updates, for
	// [Dispatcher.WorkersUpdated].
	WatchWorkers()
	// Log writes a line to the operators' log.
	Log(text string)
}

// Errors for a host's mistakes. The Dispatcher did nothing on an event for which it
// returned one.
var (
	ErrUnknownRequest   = errors.New("sedgevale: no such request")
	ErrUnknownAttempt   = errors.New("sedgevale: no such attempt, or it has ended")
	ErrDuplicateRequest = errors.New("sedgevale: request id already taken")
	errNoHost           = errors.New("sedgevale: no host")
	ErrBadRequest       = errors.New("sedgevale: class or tenant out of range")
)

// Load is a dispatcher's load at a worker.
type Load struct {
	InFlight   float64 `json:"held"`              // slots in flight
	NotStarted int     `json:"waiting,omitempty"` // attempts in flight that have not started
	WorkSent   float64 `json:"sent,omitempty"`    // work ever sent, in slot seconds
}

// Plus returns the sum of two loads.
func (l Load) Plus(m Load) Load {
	return Load{l.InFlight + m.InFlight, l.NotStarted + m.NotStarted, l.WorkSent + m.WorkSent}
}

// WorkerLoad is somebody's load at a worker.
type WorkerLoad struct {
	Worker string
	Load
	Saturated bool // all dispatchers together have more in flight there than the worker has slots
}
