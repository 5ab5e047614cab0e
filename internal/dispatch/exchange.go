// Package dispatch drives the decision module: a [Planner] owns a
// [dispatcher.Dispatcher] and its timers, an [Exchange] is one request with its
// attempts and its one final answer, a [Set] is the planners of a program. The
// package stands between the servers, which read clients' requests, and the carriers,
// which send attempts to workers; it knows no protocol and decides nothing.
package dispatch

import (
	"time"

	"sedgevale/dispatcher"
)

// Job is what a client asks for.
type Job struct {
	ID          string
	Class       *dispatcher.Class // as it was when the job came; immutable
	Tenant      int               // index into the settings by which the job was parsed; -1: there were no tenants
	TenantName  string
	Client      string        // of the tenant; may be empty
	AffinityKey string        // what a worker may have cached for the job; may be empty
	Slots       float64       // that it takes at a worker
	RuntimeHint time.Duration // an estimate of its running time; 0: none
	ClientRetry bool          // the client has tried before

	// Passed to the worker as they are.
	Method, Target string
	IdempotencyKey string // the key by which workers drop repeats; may be empty
	Body           []byte
	Payload        any // of a server that has its own carrier
}

// AnswerKind tells the final answers apart.
type AnswerKind uint8

// The kinds of final answers.
const (
	Served   AnswerKind = iota // a worker's result
	Rejected                   // not served; the client may safely try again
	Failed                     // not served; it may have run
)

// Answer is the one final answer of an Exchange.
type Answer struct {
	Kind       AnswerKind
	Result     []byte        // Served
	RetryAfter time.Duration // when to try again, if it may safely; 0: no advice
	Reason     string        // why it was not served, for a person
	MayHaveRun bool          // Failed: an attempt may have run
}

// Client is the client side of an Exchange. The calls come from [Planner.Run] and must
// not block.
type Client interface {
	Started()               // a worker has begun an attempt; may come again
	Progress(share float64) // done, 0 to 1
	Answer(Answer)          // comes once, as the last call
}

// Exchange is one request between its client side and its server side. It belongs to
// its Planner once it has been submitted.
type Exchange struct {
	Job
	client       Client
	deadline     time.Duration // on the Clock
	attempts     []*Attempt
	inFlight     int                // attempts that have not ended
	answered     bool               // or the client has disconnected
	lastOutcome  dispatcher.Outcome // of the attempt that ended last
	journal      Journal            // nil: the job is not recorded
	recordNumber uint64             // in the journal; 0: not recorded
}

// NewExchange returns an Exchange for a job whose client waits until the deadline, a
// time on the [Clock].
func NewExchange(job Job, deadline time.Duration, client Client) *Exchange {
	return &Exchange{Job: job, deadline: deadline, client: client}
}

// answer gives the client its one final answer.
func (x *Exchange) answer(a Answer) {
	if !x.answered {
		x.answered = true
		if x.journal != nil {
			x.journal.Answered(x.recordNumber, a)
		}
		x.client.Answer(a)
	}
}

// mayHaveRun reports whether an attempt may have run.
func (x *Exchange) mayHaveRun() bool { return x.mayHaveRunBesides(nil) }

// Attempt is one sending of an Exchange to a worker.
type Attempt struct {
	*Exchange
	Worker     string
	Number     int
	Deadline   time.Duration // on the Clock: when it is no longer waited for
	Planner    *Planner      // what becomes of the attempt is reported to it
	AtMostOnce bool          // it must not run twice, so there is no retry after a broken connection

	timer           *timer
	attemptCounters               //lint:ignore U1000 it is empty in builds without the counters tag
	dispatchedAt    time.Duration // on the Clock: when the Dispatcher sent it
	expiry          time.Duration // on the Clock: not to be sent from then on; 0: its Deadline alone
	awaitsIntent    bool          // not given to the carrier yet: its intent is not durable
	ended           bool
	neverRan        bool // ended, and no worker began it
}

// Expired reports whether the attempt must not be sent any more, because workers may
// no longer drop it as a repeat of an earlier one that may have run.
func (a *Attempt) Expired(now time.Duration) bool { return a.expiry > 0 && now >= a.expiry }

// Carrier is the server side: it carries attempts to workers. Its methods must not
// block. What becomes of an attempt is reported to the attempt's Planner.
type Carrier interface {
	// Send sends an attempt to its worker.
	Send(*Attempt)
	// Cancel ends an attempt as cancelled, unless it has ended by then.
	Cancel(*Attempt)
	// CancelUnsent ends an attempt as not sent if no byte of it is on its way yet; any
	// other goes on.
	CancelUnsent(*Attempt)
	// Probe asks a worker for its load, and reports the answer to p.
	Probe(worker string, p *Planner)
	// CloseIdleConnections closes the connections to a worker that carry no attempt.
	CloseIdleConnections(worker string)
}

// Clock is the one clock of the program. It is monotonic, and Unix times can be
// converted to it.
type Clock struct {
	start     time.Time
	startUnix time.Duration
}

// clockOrigin is how far the Clock's zero lies before its start, so that what happened
// not long before has a time of its own. Zero means long ago.
const clockOrigin = 24 * time.Hour

// NewClock returns a Clock that starts now.
func NewClock() Clock {
	now := time.Now()
	return Clock{now, time.Duration(now.UnixNano())}
}

// Now returns the time.
func (c Clock) Now() time.Duration { return c.At(time.Now()) }

// At returns the time at which time.Now gave t.
func (c Clock) At(t time.Time) time.Duration { return t.Sub(c.start) + clockOrigin }

// FromUnixMilli returns the time on the Clock of a Unix time in milliseconds. Values of
// 0 or less, and times before the Clock's zero, give 0.
func (c Clock) FromUnixMilli(ms int64) time.Duration {
	if ms <= 0 || ms > 1<<50 {
		return 0
	}
	return max(0, time.Duration(ms)*time.Millisecond-c.startUnix+clockOrigin)
}

// TimeLeft returns how long the client still waits. It may be negative.
func (x *Exchange) TimeLeft(now time.Duration) time.Duration { return x.deadline - now }

// WrapClient wraps an Exchange's client. It must be called before the Exchange is
// submitted.
func (x *Exchange) WrapClient(f func(Client) Client) { x.client = f(x.client) }

// Reject rejects an Exchange that has not been submitted.
func (x *Exchange) Reject(after time.Duration, reason string) {
	x.answer(Answer{Kind: Rejected, RetryAfter: after, Reason: reason})
}
