// Package dispatchdriver runs [dispatcher.Dispatcher] instances: it feeds them events, keeps
// their timers and carries out their decisions. A [Planner] is the event loop of one
// Dispatcher, an [Exchange] is one request with its attempts and its single final answer,
// and a [Set] holds all planners of a process. Servers submit the requests of clients, and
// a [Transport] sends the attempts to workers. The package does not depend on any wire
// protocol and makes no scheduling decisions.
package dispatchdriver

import (
	"time"

	"sedgevale/dispatcher"
)

// Job is a client's request, independent of the protocol by which it arrived.
type Job struct {
	ID          string
	Class       *dispatcher.Class // class at the time the job was parsed; immutable
	Tenant      int               // index into the tenants of the settings used for parsing; -1 if those had no tenants
	TenantName  string
	Client      string        // client ID within the tenant; may be empty
	AffinityKey string        // identifies data that a worker may have cached; may be empty
	Slots       float64       // number of worker slots that the job occupies
	RuntimeHint time.Duration // client's estimate of the run time; 0 if there is none
	ClientRetry bool          // true if the client has submitted the job before

	// The following fields are passed to the worker unchanged.
	Method, Target string
	IdempotencyKey string // key by which workers discard duplicates; may be empty
	Body           []byte
	Payload        any // opaque value for the transport of the server that created the job
}

// ResponseKind is the kind of a final answer.
type ResponseKind uint8

// The kinds of final answers.
const (
	Served   ResponseKind = iota // a worker returned a result
	Rejected                     // the job was not served; the client may safely retry
	Failed                       // the job was not served and may have run
)

// Response is the single final answer of an Exchange.
type Response struct {
	Kind       ResponseKind
	Result     []byte        // the worker's result, if Kind is Served
	RetryAfter time.Duration // suggested delay before a retry, if Kind is Rejected; 0 if there is no suggestion
	Reason     string        // human-readable reason why the job was not served
	MayHaveRun bool          // an attempt may have run, if Kind is Failed
}

// Client is the client side of an Exchange. Its methods are called from [Planner.Run] and
// must not block.
type Client interface {
	// Started reports that a worker has started an attempt. It may be called several times.
	Started()
	// Progress reports the completed fraction of the job, from 0 to 1.
	Progress(share float64)
	// Respond delivers the final answer. It is called once, after all other calls.
	Respond(Response)
}

// Exchange is one request with its client and its attempts. After it has been submitted,
// only its Planner may modify it.
type Exchange struct {
	Job
	client       Client
	deadline     time.Duration // time on the Clock
	attempts     []*Attempt
	inFlight     int                // number of attempts that have not ended
	answered     bool               // true once the final answer is sent or the client has disconnected
	lastOutcome  dispatcher.Outcome // outcome of the attempt that ended last
	journal      Journal            // nil if the job is not recorded
	recordNumber uint64             // number of the job in the journal; 0 if the job is not recorded
}

// NewExchange returns an Exchange for a job whose client waits until the deadline, which is
// a time on the [Clock].
func NewExchange(job Job, deadline time.Duration, client Client) *Exchange {
	return &Exchange{Job: job, deadline: deadline, client: client}
}

// answer sends the final answer to the client unless the client has its final answer or has
// disconnected.
func (x *Exchange) answer(a Response) {
	if !x.answered {
		x.answered = true
		if x.journal != nil {
			x.journal.Answered(x.recordNumber, a)
		}
		x.client.Respond(a)
	}
}

// mayHaveRun reports whether any attempt may have run.
func (x *Exchange) mayHaveRun() bool { return x.mayHaveRunExcept(nil) }

// Attempt is one transmission of an Exchange to a worker.
type Attempt struct {
	*Exchange
	Worker     string
	Number     int           // index of the attempt within its Exchange, from 0
	Deadline   time.Duration // time on the Clock at which the attempt times out
	Planner    *Planner      // receives the events of the attempt
	AtMostOnce bool          // the job must not run twice, so a broken connection is not retried

	timer           *timer        // timeout of the attempt
	attemptCounters               //lint:ignore U1000 the struct is empty in builds without the tally tag
	dispatchedAt    time.Duration // time on the Clock at which the Dispatcher issued the attempt
	expiry          time.Duration // time on the Clock from which the attempt must not be sent; 0 if only Deadline applies
	awaitingIntent  bool          // true until the intent is durable and the transport has the attempt
	ended           bool
	neverRan        bool // the attempt has ended without being started by a worker
}

// Expired reports whether it is too late to send the attempt: workers may no longer
// recognize it as a duplicate of an earlier attempt that may have run.
func (a *Attempt) Expired(now time.Duration) bool { return a.expiry > 0 && now >= a.expiry }

// Transport is the transport to the workers. Its methods must not block. It reports the
// progress and the outcome of each attempt to the attempt's Planner.
type Transport interface {
	// Send sends an attempt to its worker.
	Send(*Attempt)
	// Cancel ends an attempt with the outcome Cancelled, unless it has already ended.
	Cancel(*Attempt)
	// CancelUnsent ends an attempt with the outcome NotSent if none of its bytes have been
	// sent. Otherwise the attempt continues.
	CancelUnsent(*Attempt)
	// Probe requests a load report from a worker and passes it to p.ProbeResult.
	Probe(worker string, p *Planner)
	// CloseIdleConnections closes the connections to a worker that carry no attempt.
	CloseIdleConnections(worker string)
}

// Clock is the monotonic clock of the process. Its times are durations since an origin
// before the start of the process. Unix times can be converted to it.
type Clock struct {
	start     time.Time
	startUnix time.Duration // start as a Unix time
}

// clockOrigin is the time between the Clock's zero and the creation of the Clock, so that
// events up to a day before the start have distinct, positive times. Zero stands for any
// earlier time.
const clockOrigin = 24 * time.Hour

// NewClock returns a Clock that starts at the current time.
func NewClock() Clock {
	now := time.Now()
	return Clock{now, time.Duration(now.UnixNano())}
}

// Now returns the current time on the Clock.
func (c Clock) Now() time.Duration { return c.At(time.Now()) }

// At converts a time returned by time.Now to a time on the Clock.
func (c Clock) At(t time.Time) time.Duration { return t.Sub(c.start) + clockOrigin }

// FromUnixMilli converts a Unix time in milliseconds to a time on the Clock. It returns 0
// for values of 0 or less, for times before the Clock's zero, and for values above 1<<50.
func (c Clock) FromUnixMilli(ms int64) time.Duration {
	if ms <= 0 || ms > 1<<50 {
		return 0
	}
	return max(0, time.Duration(ms)*time.Millisecond-c.startUnix+clockOrigin)
}

// TimeLeft returns the time until the client's deadline. It is negative after the deadline.
func (x *Exchange) TimeLeft(now time.Duration) time.Duration { return x.deadline - now }

// WrapClient replaces the Exchange's client by f(client). It must be called before the
// Exchange is submitted.
func (x *Exchange) WrapClient(f func(Client) Client) { x.client = f(x.client) }

// Reject answers an Exchange that has not been submitted as rejected.
func (x *Exchange) Reject(after time.Duration, reason string) {
	x.answer(Response{Kind: Rejected, RetryAfter: after, Reason: reason})
}
