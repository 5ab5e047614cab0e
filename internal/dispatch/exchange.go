// Package dispatch stands between those who bring requests and those who carry
// attempts to workers. It deals in requests, attempts and outcomes and knows
// no wire. All decisions are the Dispatcher's.
package dispatch

import (
	"time"

	"sedgevale"
)

// Job is what a client asks for.
type Job struct {
	ID         string
	Class      *sedgevale.Class // as it was when the job came; it is not changed
	Tenant     int
	TenantName string
	Client     string // of the tenant; may be empty
	Key        string // what the job is about; may be empty
	Slots      float64
	Hint       time.Duration
	Retry      bool

	// Handed to the worker as they are; the core does not look into them.
	Method, Target string
	Once           string // the key by which workers drop repeats; may be empty
	Body           []byte
	Load           any // of a front that has a carrier of its own
}

// AnswerKind tells the final answers apart.
type AnswerKind uint8

// The kinds of final answers.
const (
	Served  AnswerKind = iota // a worker's result
	Refused                   // not served; to try again is harmless
	Failed                    // not served; it may have run
)

// Answer is the one final answer of an Exchange.
type Answer struct {
	Kind   AnswerKind
	Result []byte        // Served
	After  time.Duration // Refused: when to come again; 0: no advice
	Reason string        // Refused and Failed, for a person
	Ran    bool          // Failed: an attempt may have run
}

// Client is the client side of an Exchange. The calls come from a Planner's
// goroutine and must not block. Answer comes once, as the last.
type Client interface {
	Started()
	Progress(share float64)
	Answer(Answer)
}

// Exchange is where the client side and the server side of one request meet.
// It belongs to its Planner from the moment it is handed in.
type Exchange struct {
	Job
	client       Client
	deadline     time.Duration // on the Planner's clock
	attempts     []*Attempt
	inFlight     int
	answered     bool
	lastOutcome  sedgevale.Outcome // of the attempt that ended last
	journal      Journal           // nil: the job is not recorded
	recordNumber uint64            // its number there
}

// NewExchange returns an Exchange for a job whose client waits up to the
// deadline, a time of the Clock.
func NewExchange(job Job, deadline time.Duration, client Client) *Exchange {
	return &Exchange{Job: job, deadline: deadline, client: client}
}

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
	Worker   string
	Number   int
	Deadline time.Duration // when it is no longer waited for, on the Clock
	Planner  *Planner      // to be told what comes of it
	Single   bool          // it must not run twice, so nothing can mend a connection that breaks

	timer        *timer
	attemptTally               //lint:ignore U1000 it is empty in builds without the tally tag
	dispatchedAt time.Duration // on the Clock: when it was given out
	expiry       time.Duration // on the Clock: not to be sent from then on; 0: its Deadline alone
	awaitsIntent bool          // not given to the carrier yet: its intent is not on record
	ended        bool
	neverRan     bool // over, and it never ran
}

// Expired reports whether the time is over in which an attempt may begin: that in which
// workers still drop a repeat of an earlier one that may have run.
func (a *Attempt) Expired(now time.Duration) bool { return a.expiry > 0 && now >= a.expiry }

// Carrier is the server side: it carries attempts to workers. Its methods must
// not block. What comes of an attempt goes to the attempt's Planner.
type Carrier interface {
	Send(*Attempt)
	Cancel(*Attempt) // ends as Cancelled, unless it has ended by then
	// Withdraw ends an attempt as NotSent whose request is not on its way yet; any other goes on.
	Withdraw(*Attempt)
	Probe(worker string, p *Planner)
	CloseIdle(worker string)
}

// Clock is the one clock of the program: it never jumps, and Unix times can be
// found on it.
type Clock struct {
	start     time.Time
	startUnix time.Duration
}

// clockOrigin is how far the Clock's zero lies before its start, so that what
// happened not long before has a time of its own. Zero means long ago.
const clockOrigin = 24 * time.Hour

// NewClock returns a Clock.
func NewClock() Clock {
	now := time.Now()
	return Clock{now, time.Duration(now.UnixNano())}
}

// Now returns the time.
func (c Clock) Now() time.Duration { return c.At(time.Now()) }

// At returns the time at which time.Now gave t.
func (c Clock) At(t time.Time) time.Duration { return t.Sub(c.start) + clockOrigin }

// FromUnixMilli returns the time of a Unix time; 0 and what lies before the
// Clock's own zero are long ago.
func (c Clock) FromUnixMilli(ms int64) time.Duration {
	if ms <= 0 || ms > 1<<50 {
		return 0
	}
	return max(0, time.Duration(ms)*time.Millisecond-c.startUnix+clockOrigin)
}

// Left returns how long the client still waits.
func (x *Exchange) Left(now time.Duration) time.Duration { return x.deadline - now }

// Intercept puts another client in the place of an Exchange's. It must be called before
// the Exchange is handed in.
func (x *Exchange) Intercept(f func(Client) Client) { x.client = f(x.client) }

// TurnAway refuses an Exchange that no Planner has.
func (x *Exchange) TurnAway(after time.Duration, reason string) {
	x.answer(Answer{Kind: Refused, After: after, Reason: reason})
}
