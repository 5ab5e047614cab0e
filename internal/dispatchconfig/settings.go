package dispatchconfig

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"sedgevale/dispatcher"
)

// Settings are the scheduling settings of a deployment. The JSON and TOML keys are those of the
// platform's configuration file. Times are in seconds.
type Settings struct {
	Bounds struct {
		AllowCancel    bool    `json:"cancel" toml:"cancel,omitempty"`
		DialTimeout    float64 `json:"dial_timeout" toml:"dial_timeout,omitempty"`
		IdleTimeout    float64 `json:"idle_close" toml:"idle_close,omitempty"`
		MaxAttempts    int     `json:"max_attempts" toml:"max_attempts,omitempty"`
		MaxRetryAfter  float64 `json:"max_retry_after" toml:"max_retry_after,omitempty"`
		AllowProbe     bool    `json:"may_probe" toml:"may_probe,omitempty"`
		AllowHedging   bool    `json:"parallel_tries" toml:"parallel_tries,omitempty"`
		Peers          bool    `json:"peers" toml:"peers,omitempty"`
		SendRetryAfter bool    `json:"retry_after" toml:"retry_after,omitempty"`
	} `json:"bounds" toml:"bounds,omitempty"`
	Classes   []Class `json:"classes" toml:"classes,omitempty"`
	Discovery string  `json:"discovery" toml:"discovery,omitempty"`
	Family    struct {
		ClassKind     []int     `json:"class_kind" toml:"class_kind,omitempty"`
		ClassStretch  []float64 `json:"class_stretch" toml:"class_stretch,omitempty"`
		QueueOrder    string    `json:"queue_order" toml:"queue_order,omitempty"`
		StartNotified bool      `json:"tells_start" toml:"tells_start,omitempty"`
	} `json:"family_info" toml:"family_info,omitempty"`
	Kinds     []string `json:"kinds" toml:"kinds,omitempty"`
	PeerCount int      `json:"peers_total" toml:"peers_total,omitempty"`
	PeerIndex int      `json:"slot_no" toml:"slot_no,omitempty"`
	Tier      int      `json:"tier" toml:"tier,omitempty"`
	Tenants   []Tenant `json:"realms" toml:"realms,omitempty"`
	Report    struct {
		Via string `json:"via" toml:"via,omitempty"`
	} `json:"report" toml:"report,omitempty"`
	Rules struct {
		SlowStartCapacity  float64  `json:"start_capacity" toml:"start_capacity,omitempty"`
		SlowStartDuration  float64  `json:"warm_up" toml:"warm_up,omitempty"`
		OverloadMultiple   float64  `json:"fall_multiple" toml:"fall_multiple,omitempty"`
		OverloadWindow     float64  `json:"fall" toml:"fall,omitempty"`
		RejectedMayHaveRun bool     `json:"full_may_have_run" toml:"full_may_have_run,omitempty"`
		DrainCloseTimeout  float64  `json:"close_on_drain_within" toml:"close_on_drain_within,omitempty"`
		FreeRetries        *int     `json:"extra_free" toml:"extra_free,omitempty"`
		RetryRatio         *float64 `json:"repeat_ratio" toml:"repeat_ratio,omitempty"`
		RetryWindow        *float64 `json:"ratio_span" toml:"ratio_span,omitempty"`
	} `json:"rules" toml:"rules,omitempty"`
	Weights string   `json:"weights" toml:"weights,omitempty"`
	Zone    int      `json:"zone" toml:"zone,omitempty"`
	Zones   []string `json:"zones" toml:"zones,omitempty"`
}

// Tenant is a tenant of the scheduler.
type Tenant struct {
	Name  string  `json:"name" toml:"name,omitempty"`
	Share float64 `json:"share" toml:"share,omitempty"`
	Quota float64 `json:"quota_rps" toml:"quota_rps,omitempty"`
}

// Class is a class of jobs; see [dispatcher.Class].
type Class struct {
	Name          string  `json:"name" toml:"name,omitempty"`
	Idempotency   string  `json:"effect" toml:"effect,omitempty"`
	DedupScope    string  `json:"dedup_scope" toml:"dedup_scope,omitempty"`
	DedupWindow   float64 `json:"window" toml:"window,omitempty"`
	LatencyTarget float64 `json:"promise" toml:"promise,omitempty"`
	ClientTimeout float64 `json:"hard_limit" toml:"hard_limit,omitempty"`
	LateValue     float64 `json:"late_share" toml:"late_share,omitempty"`
	Streaming     bool    `json:"stream" toml:"stream,omitempty"`
	TargetStretch float64 `json:"aim_stretch" toml:"aim_stretch,omitempty"`
	Kinds         *[]int  `json:"runs_on" toml:"runs_on,omitempty"`
	Zones         *[]int  `json:"runs_in" toml:"runs_in,omitempty"`
}

// The values of settings with named values, by name.
var (
	idempotencies = map[string]dispatcher.Idempotency{
		"free": dispatcher.Idempotent, "guarded": dispatcher.IdempotentByKey, "single_shot": dispatcher.NotIdempotent,
	}
	dedupScopes = map[string]dispatcher.DedupScope{
		"": dispatcher.DedupAll, "all": dispatcher.DedupAll, "zone": dispatcher.DedupZone, "cell": dispatcher.DedupCell,
	}
	weightMeanings = map[string]dispatcher.WeightMeaning{
		"": dispatcher.WeightNone, "none": dispatcher.WeightNone, "nominal": dispatcher.WeightSize,
		"rough": dispatcher.WeightSize, "live": dispatcher.WeightLive,
	}
)

// fieldError returns the error for an invalid field of the settings, given by its path.
func fieldError(path, format string, args ...any) error {
	return fmt.Errorf("settings.%s: %s", path, fmt.Sprintf(format, args...))
}

// check returns an error for the first invalid field, with its path and the expected value.
func (s *Settings) check() error {
	if _, ok := weightMeanings[s.Weights]; !ok {
		return fieldError("weights", "%q is none of none, nominal, rough, live", s.Weights)
	}
	if err := s.checkClasses(); err != nil {
		return err
	}
	if err := s.checkTenants(); err != nil {
		return err
	}
	return s.checkRules()
}

// The comparisons in checkClasses, checkTenants and checkRules are negated so that NaN is rejected.

func (s *Settings) checkClasses() error {
	for i, c := range s.Classes {
		path := func(field string) string { return fmt.Sprintf("classes[%d].%s", i, field) }
		_, validEffect := idempotencies[c.Idempotency]
		_, validScope := dedupScopes[c.DedupScope]
		switch {
		case c.Name == "":
			return fieldError(path("name"), "missing")
		case slices.ContainsFunc(s.Classes[:i], func(other Class) bool { return other.Name == c.Name }):
			return fieldError(path("name"), "%q is there twice", c.Name)
		case !validEffect:
			return fieldError(path("effect"), "%q is none of free, guarded, single_shot", c.Idempotency)
		case !validScope:
			return fieldError(path("dedup_scope"), "%q is none of all, zone, cell", c.DedupScope)
		case !(c.ClientTimeout > 0):
			return fieldError(path("hard_limit"), "missing, or not above 0 (seconds)")
		case !(c.LatencyTarget > 0):
			return fieldError(path("promise"), "missing, or not above 0 (seconds)")
		case idempotencies[c.Idempotency] == dispatcher.IdempotentByKey && !(c.DedupWindow > 0):
			return fieldError(path("window"), "missing, or not above 0 (seconds), though its effect is %s", c.Idempotency)
		}
	}
	return nil
}

func (s *Settings) checkTenants() error {
	names := make(map[string]bool, len(s.Tenants))
	for i, t := range s.Tenants {
		path := func(field string) string { return fmt.Sprintf("realms[%d].%s", i, field) }
		switch {
		case t.Name == "":
			return fieldError(path("name"), "missing")
		case names[t.Name]:
			return fieldError(path("name"), "%q is there twice", t.Name)
		case !(t.Share > 0):
			return fieldError(path("share"), "missing, or not above 0")
		case math.IsInf(t.Share, 1):
			return fieldError(path("share"), "without end")
		case !(t.Quota >= 0) || math.IsInf(t.Quota, 1):
			return fieldError(path("quota_rps"), "want 0, for none, or a number above it (jobs a second)")
		}
		names[t.Name] = true
	}
	return nil
}

// checkRules checks the settings that slow start requires.
func (s *Settings) checkRules() error {
	r := &s.Rules
	if !(r.SlowStartDuration > 0) {
		return nil
	}
	for _, f := range []struct {
		name  string
		value float64
	}{{"start_capacity", r.SlowStartCapacity}, {"fall_multiple", r.OverloadMultiple}, {"fall", r.OverloadWindow}} {
		if !(f.value > 0) {
			return fieldError("rules."+f.name, "missing, or not above 0, though rules.warm_up is given")
		}
	}
	return nil
}

// Seconds converts a time in seconds to a Duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// DispatcherSettings validates the settings and converts them to [dispatcher.Settings] for each of
// the given number of planners in this process.
func (s *Settings) DispatcherSettings(planners int) (dispatcher.Settings, error) {
	if err := s.check(); err != nil {
		return dispatcher.Settings{}, err
	}
	converted := dispatcher.Settings{
		Zone:          s.Zone,
		Dispatchers:   max(1, s.PeerCount) * max(1, planners),
		MaxAttempts:   s.Bounds.MaxAttempts,
		AllowHedging:  s.Bounds.AllowHedging,
		AllowCancel:   s.Bounds.AllowCancel,
		WatchOnDemand: s.Discovery == "ask",
		StartNotified: s.Family.StartNotified,
		FIFOWorkers:   s.Family.QueueOrder == "fifo",
		LoadByProbe:   s.Bounds.AllowProbe && s.Report.Via == "probe",

		RejectedMayHaveRun: s.Rules.RejectedMayHaveRun,
		DrainCloseTimeout:  Seconds(s.Rules.DrainCloseTimeout),
		SlowStartCapacity:  s.Rules.SlowStartCapacity,
		SlowStartDuration:  Seconds(s.Rules.SlowStartDuration),
		OverloadMultiple:   s.Rules.OverloadMultiple,
		OverloadWindow:     Seconds(s.Rules.OverloadWindow),
	}
	if s.Bounds.SendRetryAfter {
		converted.MaxRetryAfter = Seconds(s.Bounds.MaxRetryAfter)
	}
	if err := s.setRetryBudget(&converted); err != nil {
		return converted, err
	}
	converted.WeightMeaning = weightMeanings[s.Weights]
	for i := range s.Classes {
		converted.Classes = append(converted.Classes, s.convertClass(i))
	}
	for _, t := range s.Tenants {
		converted.Tenants = append(converted.Tenants, dispatcher.Tenant{Name: t.Name, Share: t.Share, Quota: t.Quota})
	}
	return converted, nil
}

// setRetryBudget sets the retry budget of the converted settings, if one is configured.
func (s *Settings) setRetryBudget(converted *dispatcher.Settings) error {
	r := &s.Rules
	if r.FreeRetries == nil && r.RetryRatio == nil && r.RetryWindow == nil {
		return nil
	}
	if r.RetryWindow == nil || *r.RetryWindow <= 0 {
		return errors.New("a budget of attempts without rules.ratio_span")
	}
	converted.RetryBudget.Window = Seconds(*r.RetryWindow)
	if r.FreeRetries != nil {
		converted.RetryBudget.FreeRetries = *r.FreeRetries
	}
	if r.RetryRatio != nil {
		converted.RetryBudget.RetryRatio = *r.RetryRatio
	}
	return nil
}

// convertClass converts the i-th class to [dispatcher.Class]. Its own stretch and kinds take
// precedence over those in family_info.
func (s *Settings) convertClass(i int) dispatcher.Class {
	c := &s.Classes[i]
	converted := dispatcher.Class{Name: c.Name, DedupWindow: Seconds(c.DedupWindow), LatencyTarget: Seconds(c.LatencyTarget),
		ClientTimeout: Seconds(c.ClientTimeout), LateValue: c.LateValue, Streaming: c.Streaming, TargetStretch: c.TargetStretch}
	converted.Idempotency, converted.DedupScope = idempotencies[c.Idempotency], dedupScopes[c.DedupScope]
	if converted.TargetStretch == 0 && i < len(s.Family.ClassStretch) {
		converted.TargetStretch = s.Family.ClassStretch[i]
	}
	if c.Kinds != nil {
		converted.Kinds = *c.Kinds
	} else if i < len(s.Family.ClassKind) && s.Family.ClassKind[i] >= 0 {
		converted.Kinds = []int{s.Family.ClassKind[i]}
	}
	if c.Zones != nil {
		converted.Zones = *c.Zones
	}
	return converted
}
