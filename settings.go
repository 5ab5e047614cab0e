package sedgevale

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Effect says what a second run of a job would do.
type Effect uint8

// The effects of a class.
const (
	Safe   Effect = iota // may run any number of times
	Keyed                // workers of one group drop repeats for a while
	Unsafe               // must never run twice
)

// Scope is the group of workers that drops repeats of a Keyed job.
type Scope uint8

// The scopes of a Keyed class.
const (
	ScopeAll  Scope = iota // all workers
	ScopeZone              // the workers of one zone
	ScopeCell              // the workers of one cell
)

// Class describes one class of jobs.
type Class struct {
	Name      string
	Effect    Effect
	Scope     Scope         // for Keyed
	Window    time.Duration // for Keyed: how long a group remembers, from the first send that may have run
	Aim       time.Duration // an answer within Aim plus Stretch times the job's own running time earns all
	Stretch   float64
	Limit     time.Duration // how long a client waits in all, over all its tries
	LateShare float64       // the part of the worth that an answer after the aim earns
	Stream    bool          // the answer is streamed; see Dispatcher.StreamBegan

	// The only machine kinds and the only zones whose workers the class may be
	// sent to. Nil means any; an empty list that is not nil means none at all,
	// and such a class is only ever refused.
	Kinds []int
	Zones []int
}

// Budget bounds the attempts of one Dispatcher beyond each request's first: in
// any Span they number at most Free and Ratio times the requests that it took
// in that Span. The zero Budget does not bind.
type Budget struct {
	Free  int
	Ratio float64
	Span  time.Duration
}

// Tenant describes one of those who share the workers.
type Tenant struct {
	Name  string
	Share float64 // its part of the service; only the proportions count
	Quota float64 // requests a second, over all dispatchers, within its share; 0: not told
}

// WeightMeaning says what WorkerInfo.Weight stands for.
type WeightMeaning uint8

// The meanings of weights.
const (
	WeightNone WeightMeaning = iota // nothing
	WeightSize                      // the worker's size, exactly or roughly
	WeightLive                      // size over 1 + requests held per core, sampled a while ago
)

// Settings are what a Dispatcher is told once, at its start.
type Settings struct {
	Classes []Class
	Tenants []Tenant // may be empty: then all jobs share alike
	Zone    int      // this dispatcher's zone
	Peers   int      // how many dispatchers there are, this one included; 0 counts as 1
	Weights WeightMeaning

	MaxAttempts   int  // attempts for one request; 0 means 1
	ParallelTries bool // two attempts of one request may be out at once
	MayCancel     bool // Host.Cancel is allowed
	AskForList    bool // the list comes only after Host.Watch

	TellsStart bool // workers tell when a job starts
	InOrder    bool // workers start jobs in the order in which they come
	MustProbe  bool // load reports come only as answers to Host.Probe, which is allowed

	Further        Budget        // of attempts beyond each request's first
	FullMayHaveRun bool          // workers answer Full also for work that they had begun
	CloseOnDrain   time.Duration // idle connections to a worker that leaves are closed within it; 0: need not be

	MaxRetryAfter time.Duration // the longest advice that clients heed; 0: none

	// A worker that has just started does StartCapacity of its work, and all
	// of it after WarmUp; sent more than FallMultiple times what it can do for
	// Fall, it falls over. WarmUp 0 means that workers start warm.
	StartCapacity float64
	WarmUp        time.Duration
	FallMultiple  float64
	Fall          time.Duration
}

// Check returns an error for settings that make no sense.
func (s *Settings) Check() error {
	if len(s.Classes) == 0 {
		return errors.New("sedgevale: no class in the settings")
	}
	for i, c := range s.Classes {
		if c.Limit <= 0 || c.Aim <= 0 || c.Stretch < 0 || c.Effect == Keyed && c.Window <= 0 {
			return fmt.Errorf("sedgevale: class %d (%s): limit, aim and window must be positive", i, c.Name)
		}
		if slices.ContainsFunc(c.Kinds, negative) || slices.ContainsFunc(c.Zones, negative) {
			return fmt.Errorf("sedgevale: class %d (%s): kinds and zones must not be negative", i, c.Name)
		}
	}
	if b := s.Further; b.Free < 0 || !(b.Ratio >= 0) || b.Span < 0 || b.Span == 0 && b != (Budget{}) {
		return errors.New("sedgevale: the budget of further attempts must not be negative, and needs a span")
	}
	for i, t := range s.Tenants {
		if !(t.Share > 0) || t.Quota < 0 {
			return fmt.Errorf("sedgevale: tenant %d (%s): share must be positive, quota not negative", i, t.Name)
		}
	}
	if s.WarmUp > 0 && !(s.StartCapacity > 0 && s.StartCapacity <= 1 && s.Fall > 0 && s.FallMultiple > 0) {
		return errors.New("sedgevale: start capacity must be in (0, 1], fall and its multiple positive")
	}
	if s.Zone < 0 || s.MaxAttempts < 0 || s.Peers < 0 || s.CloseOnDrain < 0 || s.MaxRetryAfter < 0 {
		return errors.New("sedgevale: zone, attempts, peers, closing time and advice must not be negative")
	}
	return nil
}

func negative(i int) bool { return i < 0 }
