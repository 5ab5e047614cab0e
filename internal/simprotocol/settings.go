package simprotocol

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"sedgevale/dispatcher"
)

// ParseSettings parses the path=value pairs of a BEGIN line. Unknown paths are ignored. The
// error names the first invalid setting.
func ParseSettings(info string) (dispatcher.Settings, error) {
	p := settingsReader{values: map[string]string{}}
	for _, pair := range strings.Fields(info) {
		path, value, ok := strings.Cut(pair, "=")
		if !ok {
			return dispatcher.Settings{}, fmt.Errorf("setting %q has no value", pair)
		}
		p.values[path] = value
	}
	s := dispatcher.Settings{
		Zone:              p.int("zone"),
		Dispatchers:       p.int("peers_total"),
		MaxAttempts:       p.int("bounds.max_attempts"),
		AllowHedging:      p.bool("bounds.parallel_tries"),
		AllowCancel:       p.bool("bounds.cancel"),
		WatchOnDemand:     p.values["discovery"] == "ask",
		StartNotified:     p.bool("family_info.tells_start"),
		FIFOWorkers:       p.values["family_info.queue_order"] == "fifo",
		SlowStartCapacity: p.float("rules.start_capacity"),
		SlowStartDuration: p.seconds("rules.warm_up"),
		OverloadMultiple:  p.float("rules.fall_multiple"),
		OverloadWindow:    p.seconds("rules.fall"),

		LoadByProbe:        p.bool("bounds.may_probe") && p.values["report.via"] == "probe",
		RejectedMayHaveRun: p.bool("rules.full_may_have_run"),
		DrainCloseTimeout:  p.seconds("rules.close_on_drain_within"),
	}
	if err := p.retryBudget(&s.RetryBudget); err != nil {
		return s, err
	}
	if p.bool("bounds.retry_after") {
		s.MaxRetryAfter = p.seconds("bounds.max_retry_after")
	}
	switch p.values["weights"] {
	case "nominal", "rough":
		s.WeightMeaning = dispatcher.WeightSize
	case "live":
		s.WeightMeaning = dispatcher.WeightLive
	}
	if err := p.classes(&s); err != nil {
		return s, err
	}
	for i := range min(p.int("realms.count"), maxEntries) {
		at := fmt.Sprintf("realms.%d.", i)
		s.Tenants = append(s.Tenants, dispatcher.Tenant{
			Name: p.values[at+"name"], Share: p.float(at + "share"), Quota: p.float(at + "quota_rps")})
	}
	return s, p.err
}

// maxEntries bounds the number of classes, and of tenants, in a BEGIN line.
const maxEntries = 1 << 16

func (p *settingsReader) classes(s *dispatcher.Settings) error {
	kinds := p.list("family_info.class_kind")
	stretch := p.list("family_info.class_stretch")
	for i := range min(p.int("classes.count"), maxEntries) {
		at := fmt.Sprintf("classes.%d.", i)
		c := dispatcher.Class{
			Name:          p.values[at+"name"],
			Idempotency:   effects[p.values[at+"effect"]],
			DedupScope:    scopes[p.values[at+"dedup_scope"]],
			DedupWindow:   p.seconds(at + "window"),
			LatencyTarget: p.seconds(at + "promise"),
			ClientTimeout: p.seconds(at + "hard_limit"),
			LateValue:     p.float(at + "late_share"),
			Streaming:     p.bool(at + "stream"),
			TargetStretch: p.float(at + "aim_stretch"),
			Kinds:         p.indexList(at+"runs_on", "kinds"),
			Zones:         p.indexList(at+"runs_in", "zones"),
		}
		if _, ok := effects[p.values[at+"effect"]]; !ok {
			return fmt.Errorf("unknown effect %q of class %d", p.values[at+"effect"], i)
		}
		if c.TargetStretch == 0 && i < len(stretch) {
			c.TargetStretch = p.parse("family_info.class_stretch", stretch[i])
		}
		if i < len(kinds) && c.Kinds == nil {
			if k := p.parse("family_info.class_kind", kinds[i]); k >= 0 {
				c.Kinds = []int{int(k)}
			}
		}
		s.Classes = append(s.Classes, c)
	}
	return nil
}

var effects = map[string]dispatcher.Idempotency{
	"free": dispatcher.Idempotent, "guarded": dispatcher.IdempotentByKey, "single_shot": dispatcher.NotIdempotent,
}

var scopes = map[string]dispatcher.DedupScope{
	"all": dispatcher.DedupAll, "zone": dispatcher.DedupZone, "cell": dispatcher.DedupCell,
}

// settingsReader looks up settings by their paths. A malformed value reads as 0, and err is
// the error of the first one.
type settingsReader struct {
	values map[string]string
	err    error
}

// setError records an error unless an earlier one is recorded.
func (p *settingsReader) setError(err error) {
	if p.err == nil {
		p.err = err
	}
}

func (p *settingsReader) parse(path, value string) float64 {
	v, err := strconv.ParseFloat(value, 64)
	if (err != nil || math.IsNaN(v) || v > maxSeconds || v < -maxSeconds) && p.err == nil {
		p.setError(fmt.Errorf("setting %s=%s is no number", path, value))
		return 0
	}
	return v
}

func (p *settingsReader) float(path string) float64 {
	value, ok := p.values[path]
	if !ok || value == "-" || value == "" {
		return 0
	}
	return p.parse(path, value)
}

func (p *settingsReader) int(path string) int { return max(0, int(p.float(path))) }

func (p *settingsReader) seconds(path string) time.Duration {
	return time.Duration(p.float(path) * float64(time.Second))
}

func (p *settingsReader) bool(path string) bool {
	return p.values[path] == "true" || p.values[path] == "1"
}

func (p *settingsReader) list(path string) []string {
	if p.values[path] == "" {
		return nil
	}
	return strings.Split(p.values[path], ",")
}

// retryBudget reads the retry budget. It is enabled if any of its settings is present, and
// then requires a window.
func (p *settingsReader) retryBudget(b *dispatcher.RetryBudget) error {
	_, free := p.values["rules.extra_free"]
	_, ratio := p.values["rules.repeat_ratio"]
	_, span := p.values["rules.ratio_span"]
	if !free && !ratio && !span {
		return nil
	}
	for _, path := range []string{"rules.extra_free", "rules.repeat_ratio", "rules.ratio_span"} {
		if p.float(path) < 0 {
			return fmt.Errorf("setting %s=%s is negative", path, p.values[path])
		}
	}
	b.FreeRetries, b.RetryRatio, b.Window = p.int("rules.extra_free"), p.float("rules.repeat_ratio"), p.seconds("rules.ratio_span")
	if b.Window == 0 && p.err == nil {
		return errors.New("a budget of attempts without rules.ratio_span")
	}
	return nil
}

// indexList reads a list of indexes into the list at the path of. It returns nil, which stands
// for any index, if the setting is absent, and an empty list if the setting is empty.
func (p *settingsReader) indexList(path, of string) []int {
	if _, ok := p.values[path]; !ok {
		return nil
	}
	all := []int{}
	known := len(p.list(of))
	for _, value := range p.list(path) {
		i, err := strconv.ParseUint(value, 10, 31)
		if err != nil || known > 0 && int(i) >= known {
			p.setError(fmt.Errorf("setting %s=%s names none of the %d %s", path, p.values[path], known, of))
		}
		all = append(all, int(i))
	}
	return all
}
