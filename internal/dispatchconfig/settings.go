package dispatchconfig

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"sedgevale/dispatcher"
)

// Settings are the deployment's settings in the names of the platform. Times
// are in seconds.
type Settings struct {
	Bounds struct {
		Cancel        bool    `json:"cancel" toml:"cancel,omitempty"`
		DialTimeout   float64 `json:"dial_timeout" toml:"dial_timeout,omitempty"`
		IdleClose     float64 `json:"idle_close" toml:"idle_close,omitempty"`
		MaxAttempts   int     `json:"max_attempts" toml:"max_attempts,omitempty"`
		MaxRetryAfter float64 `json:"max_retry_after" toml:"max_retry_after,omitempty"`
		MayProbe      bool    `json:"may_probe" toml:"may_probe,omitempty"`
		ParallelTries bool    `json:"parallel_tries" toml:"parallel_tries,omitempty"`
		Peers         bool    `json:"peers" toml:"peers,omitempty"`
		RetryAfter    bool    `json:"retry_after" toml:"retry_after,omitempty"`
	} `json:"bounds" toml:"bounds,omitempty"`
	Classes   []Class `json:"classes" toml:"classes,omitempty"`
	Discovery string  `json:"discovery" toml:"discovery,omitempty"`
	Family    struct {
		ClassKind    []int     `json:"class_kind" toml:"class_kind,omitempty"`
		ClassStretch []float64 `json:"class_stretch" toml:"class_stretch,omitempty"`
		QueueOrder   string    `json:"queue_order" toml:"queue_order,omitempty"`
		TellsStart   bool      `json:"tells_start" toml:"tells_start,omitempty"`
	} `json:"family_info" toml:"family_info,omitempty"`
	Kinds      []string `json:"kinds" toml:"kinds,omitempty"`
	PeersTotal int      `json:"peers_total" toml:"peers_total,omitempty"`
	SlotNo     int      `json:"slot_no" toml:"slot_no,omitempty"`
	Tier       int      `json:"tier" toml:"tier,omitempty"`
	Realms     []Realm  `json:"realms" toml:"realms,omitempty"`
	Report     struct {
		Via string `json:"via" toml:"via,omitempty"`
	} `json:"report" toml:"report,omitempty"`
	Rules struct {
		StartCapacity  float64  `json:"start_capacity" toml:"start_capacity,omitempty"`
		WarmUp         float64  `json:"warm_up" toml:"warm_up,omitempty"`
		FallMultiple   float64  `json:"fall_multiple" toml:"fall_multiple,omitempty"`
		Fall           float64  `json:"fall" toml:"fall,omitempty"`
		FullMayHaveRun bool     `json:"full_may_have_run" toml:"full_may_have_run,omitempty"`
		CloseOnDrain   float64  `json:"close_on_drain_within" toml:"close_on_drain_within,omitempty"`
		ExtraFree      *int     `json:"extra_free" toml:"extra_free,omitempty"`
		RepeatRatio    *float64 `json:"repeat_ratio" toml:"repeat_ratio,omitempty"`
		RatioSpan      *float64 `json:"ratio_span" toml:"ratio_span,omitempty"`
	} `json:"rules" toml:"rules,omitempty"`
	Weights string   `json:"weights" toml:"weights,omitempty"`
	Zone    int      `json:"zone" toml:"zone,omitempty"`
	Zones   []string `json:"zones" toml:"zones,omitempty"`
}

// Realm is a tenant of the module.
type Realm struct {
	Name  string  `json:"name" toml:"name,omitempty"`
	Share float64 `json:"share" toml:"share,omitempty"`
	Quota float64 `json:"quota_rps" toml:"quota_rps,omitempty"`
}

// Class is a class of requests.
type Class struct {
	Name       string  `json:"name" toml:"name,omitempty"`
	Effect     string  `json:"effect" toml:"effect,omitempty"`
	Scope      string  `json:"dedup_scope" toml:"dedup_scope,omitempty"`
	Window     float64 `json:"window" toml:"window,omitempty"`
	Promise    float64 `json:"promise" toml:"promise,omitempty"`
	HardLimit  float64 `json:"hard_limit" toml:"hard_limit,omitempty"`
	LateShare  float64 `json:"late_share" toml:"late_share,omitempty"`
	Stream     bool    `json:"stream" toml:"stream,omitempty"`
	AimStretch float64 `json:"aim_stretch" toml:"aim_stretch,omitempty"`
	RunsOn     *[]int  `json:"runs_on" toml:"runs_on,omitempty"`
	RunsIn     *[]int  `json:"runs_in" toml:"runs_in,omitempty"`
}

var (
	effects = map[string]dispatcher.Idempotency{
		"free": dispatcher.Idempotent, "guarded": dispatcher.IdempotentByKey, "single_shot": dispatcher.NotIdempotent,
	}
	scopes = map[string]dispatcher.DedupScope{
		"": dispatcher.DedupAll, "all": dispatcher.DedupAll, "zone": dispatcher.DedupZone, "cell": dispatcher.DedupCell,
	}
	weights = map[string]dispatcher.WeightMeaning{
		"": dispatcher.WeightNone, "none": dispatcher.WeightNone, "nominal": dispatcher.WeightSize,
		"rough": dispatcher.WeightSize, "live": dispatcher.WeightLive,
	}
)

// invalid returns the error for a field of the settings, by its path, that is not what is wanted.
func invalid(path, want string, args ...any) error {
	return fmt.Errorf("settings.%s: %s", path, fmt.Sprintf(want, args...))
}

// check returns an error that names the first field by which nobody can be served, and what was expected there.
func (s *Settings) check() error {
	if _, ok := weights[s.Weights]; !ok {
		return invalid("weights", "%q is none of none, nominal, rough, live", s.Weights)
	}
	if err := s.checkClasses(); err != nil {
		return err
	}
	if err := s.checkRealms(); err != nil {
		return err
	}
	return s.checkRules()
}

// The comparisons of checkClasses, checkRealms and checkRules are negated so that they fail for NaN.

func (s *Settings) checkClasses() error {
	for i, c := range s.Classes {
		at := func(field string) string { return fmt.Sprintf("classes[%d].%s", i, field) }
		_, effect := effects[c.Effect]
		_, scope := scopes[c.Scope]
		switch {
		case c.Name == "":
			return invalid(at("name"), "missing")
		case slices.ContainsFunc(s.Classes[:i], func(other Class) bool { return other.Name == c.Name }):
			return invalid(at("name"), "%q is there twice", c.Name)
		case !effect:
			return invalid(at("effect"), "%q is none of free, guarded, single_shot", c.Effect)
		case !scope:
			return invalid(at("dedup_scope"), "%q is none of all, zone, cell", c.Scope)
		case !(c.HardLimit > 0):
			return invalid(at("hard_limit"), "missing, or not above 0 (seconds)")
		case !(c.Promise > 0):
			return invalid(at("promise"), "missing, or not above 0 (seconds)")
		case effects[c.Effect] == dispatcher.IdempotentByKey && !(c.Window > 0):
			return invalid(at("window"), "missing, or not above 0 (seconds), though its effect is %s", c.Effect)
		}
	}
	return nil
}

func (s *Settings) checkRealms() error {
	realms := make(map[string]bool, len(s.Realms))
	for i, r := range s.Realms {
		at := func(field string) string { return fmt.Sprintf("realms[%d].%s", i, field) }
		switch {
		case r.Name == "":
			return invalid(at("name"), "missing")
		case realms[r.Name]:
			return invalid(at("name"), "%q is there twice", r.Name)
		case !(r.Share > 0):
			return invalid(at("share"), "missing, or not above 0")
		case math.IsInf(r.Share, 1):
			return invalid(at("share"), "without end")
		case !(r.Quota >= 0) || math.IsInf(r.Quota, 1):
			return invalid(at("quota_rps"), "want 0, for none, or a number above it (jobs a second)")
		}
		realms[r.Name] = true
	}
	return nil
}

// checkRules checks what slow start needs.
func (s *Settings) checkRules() error {
	r := &s.Rules
	if !(r.WarmUp > 0) {
		return nil
	}
	for _, f := range []struct {
		name  string
		value float64
	}{{"start_capacity", r.StartCapacity}, {"fall_multiple", r.FallMultiple}, {"fall", r.Fall}} {
		if !(f.value > 0) {
			return invalid("rules."+f.name, "missing, or not above 0, though rules.warm_up is given")
		}
	}
	return nil
}

// Seconds turns a time of the settings into a Duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// ModuleSettings returns the settings in the module's form, for one of so many planners
// in this process.
func (s *Settings) ModuleSettings(planners int) (dispatcher.Settings, error) {
	if err := s.check(); err != nil {
		return dispatcher.Settings{}, err
	}
	m := dispatcher.Settings{
		Zone:          s.Zone,
		Dispatchers:   max(1, s.PeersTotal) * max(1, planners),
		MaxAttempts:   s.Bounds.MaxAttempts,
		AllowHedging:  s.Bounds.ParallelTries,
		AllowCancel:   s.Bounds.Cancel,
		WatchOnDemand: s.Discovery == "ask",
		StartNotified: s.Family.TellsStart,
		FIFOWorkers:   s.Family.QueueOrder == "fifo",
		LoadByProbe:   s.Bounds.MayProbe && s.Report.Via == "probe",

		RejectedMayHaveRun: s.Rules.FullMayHaveRun,
		DrainCloseTimeout:  Seconds(s.Rules.CloseOnDrain),
		SlowStartCapacity:  s.Rules.StartCapacity,
		SlowStartDuration:  Seconds(s.Rules.WarmUp),
		OverloadMultiple:   s.Rules.FallMultiple,
		OverloadWindow:     Seconds(s.Rules.Fall),
	}
	if s.Bounds.RetryAfter {
		m.MaxRetryAfter = Seconds(s.Bounds.MaxRetryAfter)
	}
	if err := s.retryBudget(&m); err != nil {
		return m, err
	}
	m.Weights = weights[s.Weights]
	for i := range s.Classes {
		m.Classes = append(m.Classes, s.moduleClass(i))
	}
	for _, r := range s.Realms {
		m.Tenants = append(m.Tenants, dispatcher.Tenant{Name: r.Name, Share: r.Share, Quota: r.Quota})
	}
	return m, nil
}

// retryBudget sets the budget of further attempts, if the settings have one.
func (s *Settings) retryBudget(m *dispatcher.Settings) error {
	r := &s.Rules
	if r.ExtraFree == nil && r.RepeatRatio == nil && r.RatioSpan == nil {
		return nil
	}
	if r.RatioSpan == nil || *r.RatioSpan <= 0 {
		return errors.New("a budget of attempts without rules.ratio_span")
	}
	m.RetryBudget.Window = Seconds(*r.RatioSpan)
	if r.ExtraFree != nil {
		m.RetryBudget.FreeRetries = *r.ExtraFree
	}
	if r.RepeatRatio != nil {
		m.RetryBudget.RetryRatio = *r.RepeatRatio
	}
	return nil
}

// moduleClass returns the i-th class in the module's form.
func (s *Settings) moduleClass(i int) dispatcher.Class {
	c := &s.Classes[i]
	k := dispatcher.Class{Name: c.Name, DedupWindow: Seconds(c.Window), LatencyTarget: Seconds(c.Promise),
		ClientTimeout: Seconds(c.HardLimit), LateValue: c.LateShare, Streaming: c.Stream, TargetStretch: c.AimStretch}
	k.Idempotency, k.DedupScope = effects[c.Effect], scopes[c.Scope]
	if k.TargetStretch == 0 && i < len(s.Family.ClassStretch) {
		k.TargetStretch = s.Family.ClassStretch[i]
	}
	if c.RunsOn != nil {
		k.Kinds = *c.RunsOn
	} else if i < len(s.Family.ClassKind) && s.Family.ClassKind[i] >= 0 {
		k.Kinds = []int{s.Family.ClassKind[i]}
	}
	if c.RunsIn != nil {
		k.Zones = *c.RunsIn
	}
	return k
}
