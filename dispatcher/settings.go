package dispatcher

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Idempotency states whether a request may run more than once.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may run any number of times
	IdempotentByKey                    // a group of workers deduplicates repeats by a key within a time window
	NotIdempotent                      // must never run twice
)

// DedupScope is the group of workers that deduplicates repeats of a request by its key.
type DedupScope uint8

// The groups of workers.
const (
	DedupAll  DedupScope = iota // all workers
	DedupZone                   // the workers of one zone
	DedupCell                   // the workers of one cell
)

// Class configures a class of requests.
type Class struct {
	Name        string      `json:"Name"`
	Idempotency Idempotency `json:"Effect"`

	// DedupScope and DedupWindow apply to IdempotentByKey: the group of workers that
	// deduplicates repeats, and for how long after the first send that may have run.
	DedupScope  DedupScope    `json:"Scope"`
	DedupWindow time.Duration `json:"Window"`

	// A response has its full value within the latency target, which is LatencyTarget
	// plus TargetStretch times the request's own running time. A later response has the
	// fraction LateValue of it, 0 to 1. ClientTimeout is how long a client waits in total,
	// over all its attempts.
	LatencyTarget time.Duration `json:"Aim"`
	TargetStretch float64       `json:"Stretch"`
	ClientTimeout time.Duration `json:"Limit"`
	LateValue     float64       `json:"LateShare"`

	Streaming bool `json:"Stream"` // the response is streamed; see [Dispatcher.StreamStarted]

	// Kinds and Zones are the machine kinds and zones whose workers the class may be sent
	// to. Nil allows any. An empty list that is not nil allows none: all requests of the
	// class are rejected.
	Kinds []int `json:"Kinds"`
	Zones []int `json:"Zones"`
}

// RetryBudget limits the attempts of one Dispatcher after each request's first. Any window
// may contain FreeRetries of them, plus RetryRatio for each request submitted in that
// window. The zero value means no limit.
type RetryBudget struct {
	FreeRetries int           // retries allowed regardless of the number of requests
	RetryRatio  float64       // retries per request
	Window      time.Duration // length of the sliding window
}

// Tenant configures one of the tenants that share the workers.
type Tenant struct {
	Name  string
	Share float64 // share of the capacity, relative to the shares of the other tenants
	Quota float64 // requests per second within its share, over all dispatchers; 0 means no quota
}

// WeightMeaning is the meaning of WorkerInfo.Weight.
type WeightMeaning uint8

// The meanings of weights.
const (
	WeightNone WeightMeaning = iota // the weight is ignored
	WeightSize                      // the worker's size, exact or approximate
	WeightLive                      // the worker's size divided by 1 + requests in flight per core, with a delay
)

// Settings configures a Dispatcher. Most settings can change while it runs; see
// [Dispatcher.UpdateSettings].
type Settings struct {
	Classes       []Class
	Tenants       []Tenant // if empty, all requests share one queue
	Zone          int      // zone of this dispatcher
	Dispatchers   int      // number of dispatchers, including this one; 0 counts as 1
	WeightMeaning WeightMeaning

	MaxAttempts   int  // maximum attempts of one request; 0 means 1
	AllowHedging  bool // two attempts of one request may be in flight at once
	AllowCancel   bool // [Host.Cancel] is allowed
	WatchOnDemand bool // the worker list arrives only after [Host.WatchWorkers]

	StartNotified bool // workers report when they start a request
	FIFOWorkers   bool // workers start requests in the order of arrival
	LoadByProbe   bool // load reports arrive only as results of [Host.Probe], which is allowed

	RetryBudget        RetryBudget   // limit on attempts after each request's first
	RejectedMayHaveRun bool          // a worker may reject an attempt that it has begun to run
	DrainCloseTimeout  time.Duration // time within which idle connections to a draining worker must be closed; 0 leaves them open

	MaxRetryAfter time.Duration // longest retry delay that clients observe; 0 sends none

	// Slow start: a worker that has just started has SlowStartCapacity of its capacity, in
	// (0, 1], which grows to the full capacity within SlowStartDuration; a duration of 0
	// disables slow start. The worker fails if it is sent more than OverloadMultiple times
	// its current capacity during OverloadWindow.
	SlowStartCapacity float64
	SlowStartDuration time.Duration
	OverloadMultiple  float64
	OverloadWindow    time.Duration
}

// Validate returns an error if the settings are invalid.
func (s *Settings) Validate() error {
	if len(s.Classes) == 0 {
		return errors.New("sedgevale: no class in the settings")
	}
	for i := range s.Classes {
		if err := s.Classes[i].validate(); err != nil {
			return fmt.Errorf("sedgevale: class %d (%s): %w", i, s.Classes[i].Name, err)
		}
	}
	if err := s.RetryBudget.validate(); err != nil {
		return fmt.Errorf("sedgevale: %w", err)
	}
	for i, t := range s.Tenants {
		if !(t.Share > 0) || t.Quota < 0 {
			return fmt.Errorf("sedgevale: tenant %d (%s): share must be positive and quota must not be negative", i, t.Name)
		}
	}
	if !s.slowStartValid() {
		return errors.New("sedgevale: slow start capacity must be in (0, 1], and overload window and multiple must be positive")
	}
	if s.Zone < 0 || s.MaxAttempts < 0 || s.Dispatchers < 0 || s.DrainCloseTimeout < 0 || s.MaxRetryAfter < 0 {
		return errors.New("sedgevale: zone, maximum attempts, dispatchers, drain close timeout and maximum retry-after must not be negative")
	}
	return nil
}

func (s *Settings) slowStartValid() bool {
	return s.SlowStartDuration <= 0 || s.SlowStartCapacity > 0 && s.SlowStartCapacity <= 1 && s.OverloadWindow > 0 && s.OverloadMultiple > 0
}

func (c *Class) validate() error {
	if c.ClientTimeout <= 0 || c.LatencyTarget <= 0 || c.TargetStretch < 0 || c.Idempotency == IdempotentByKey && c.DedupWindow <= 0 {
		return errors.New("client timeout, latency target and, for a class idempotent by key, dedup window must be positive, and target stretch must not be negative")
	}
	negative := func(i int) bool { return i < 0 }
	if slices.ContainsFunc(c.Kinds, negative) || slices.ContainsFunc(c.Zones, negative) {
		return errors.New("machine kinds and zones must not be negative")
	}
	return nil
}

func (b RetryBudget) validate() error {
	if b.FreeRetries < 0 || !(b.RetryRatio >= 0) || b.Window < 0 || b.Window == 0 && b != (RetryBudget{}) {
		return errors.New("retry budget must not be negative, and must have a window unless it is zero")
	}
	return nil
}
