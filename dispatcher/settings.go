package dispatcher

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Idempotency says whether a request may run more than once.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may run any number of times
	IdempotentByKey                    // workers of one group drop repeats by a key, for a while
	NotIdempotent                      // must never run twice
)

// DedupScope is the group of workers that drops repeats of a request by its key.
type DedupScope uint8

// The groups of workers.
const (
	DedupAll  DedupScope = iota // all workers
	DedupZone                   // the workers of one zone
	DedupCell                   // the workers of one cell
)

// Class describes one class of requests.
type Class struct {
	Name        string      `json:"Name"`
	Idempotency Idempotency `json:"Effect"`

	// Where repeats are dropped by key: the group of workers that does so, and for
	// how long, from the first send that may have run.
	DedupScope  DedupScope    `json:"Scope"`
	DedupWindow time.Duration `json:"Window"`

	// An answer earns its full value within the latency target, to which the stretch
	// adds so many times the request's own running time. A later answer earns LateShare
	// of it, 0 to 1. Limit is how long a client waits in all, over all its attempts.
	LatencyTarget time.Duration `json:"Aim"`
	TargetStretch float64       `json:"Stretch"`
	ClientTimeout time.Duration `json:"Limit"`
	LateValue     float64       `json:"LateShare"`

	Streaming bool `json:"Stream"` // the answer is streamed; see [Dispatcher.StreamStarted]

	// The only machine kinds and the only zones whose workers the class may be
	// sent to. Nil means any; an empty list that is not nil means none at all,
	// and such a class is only ever rejected.
	Kinds []int `json:"Kinds"`
	Zones []int `json:"Zones"`
}

// RetryBudget bounds the attempts of one Dispatcher beyond each request's first. In any
// window there may be a fixed number of them, and a ratio of the requests that it
// took in that window. The zero value does not bind.
type RetryBudget struct {
	FreeRetries int           // the fixed number
	RetryRatio  float64       // attempts for each request
	Window      time.Duration // the window's length
}

// Tenant describes one of the tenants that share the workers.
type Tenant struct {
	Name  string
	Share float64 // quota share; only the proportions count
	Quota float64 // requests a second, over all dispatchers, within its share; 0: not known
}

// WeightMeaning says what WorkerInfo.Weight stands for.
type WeightMeaning uint8

// The meanings of weights.
const (
	WeightNone WeightMeaning = iota // nothing
	WeightSize                      // the worker's size, exactly or roughly
	WeightLive                      // size over 1 + requests in flight per core, sampled a while ago
)

// Settings are the settings of a Dispatcher. Most of them may change while it runs;
// see [Dispatcher.UpdateSettings].
type Settings struct {
	Classes     []Class
	Tenants     []Tenant // may be empty: then all requests have one queue
	Zone        int      // this dispatcher's zone
	Dispatchers int      // how many dispatchers there are, this one included; 0 counts as 1
	Weights     WeightMeaning

	MaxAttempts   int  // for one request; 0 means 1
	AllowHedging  bool // two attempts of one request may be in flight at once
	AllowCancel   bool // [Host.Cancel] is allowed
	WatchOnDemand bool // the list of workers comes only after [Host.WatchWorkers]

	StartNotified bool // workers report when they start a request
	FIFOWorkers   bool // workers start requests in the order in which they come
	LoadByProbe   bool // load reports come only as answers to [Host.Probe], which is allowed

	RetryBudget        RetryBudget   // of attempts beyond each request's first
	RejectedMayHaveRun bool          // workers reject also work that they had begun
	DrainCloseTimeout  time.Duration // idle connections to a draining worker are closed within it; 0: they need not be

	MaxRetryAfter time.Duration // the longest advice that clients follow; 0: none

	// Slow start. A worker that has just started has a part of its capacity, in (0,
	// 1], and all of it after the duration; 0 means that workers need no slow start.
	// It breaks down if for the overload window it is sent more than the overload
	// multiple of what it can do.
	SlowStartCapacity float64
	SlowStartDuration time.Duration
	OverloadMultiple  float64
	OverloadWindow    time.Duration
}

// Validate returns an error for invalid settings.
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
			return fmt.Errorf("sedgevale: tenant %d (%s): share must be positive, quota not negative", i, t.Name)
		}
	}
	if !s.slowStartValid() {
		return errors.New("sedgevale: slow start capacity must be in (0, 1], overload window and multiple positive")
	}
	if s.Zone < 0 || s.MaxAttempts < 0 || s.Dispatchers < 0 || s.DrainCloseTimeout < 0 || s.MaxRetryAfter < 0 {
		return errors.New("sedgevale: zone, attempts, dispatchers, drain close timeout and retry-after must not be negative")
	}
	return nil
}

func (s *Settings) slowStartValid() bool {
	return s.SlowStartDuration <= 0 || s.SlowStartCapacity > 0 && s.SlowStartCapacity <= 1 && s.OverloadWindow > 0 && s.OverloadMultiple > 0
}

func (c *Class) validate() error {
	if c.ClientTimeout <= 0 || c.LatencyTarget <= 0 || c.TargetStretch < 0 || c.Idempotency == IdempotentByKey && c.DedupWindow <= 0 {
		return errors.New("client timeout, latency target and dedup window must be positive, stretch not negative")
	}
	negative := func(i int) bool { return i < 0 }
	if slices.ContainsFunc(c.Kinds, negative) || slices.ContainsFunc(c.Zones, negative) {
		return errors.New("kinds and zones must not be negative")
	}
	return nil
}

func (b RetryBudget) validate() error {
	if b.FreeRetries < 0 || !(b.RetryRatio >= 0) || b.Window < 0 || b.Window == 0 && b != (RetryBudget{}) {
		return errors.New("the retry budget must not be negative, and needs a window")
	}
	return nil
}
