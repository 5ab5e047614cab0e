package wire

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"sedgevale"
)

// ParseSettings reads the path=value pairs of BEGIN. Unknown keys are skipped.
// A non-empty text says what is wrong.
func ParseSettings(info string) (sedgevale.Settings, string) {
	p := pairs{m: map[string]string{}}
	for _, pair := range strings.Fields(info) {
		path, value, ok := strings.Cut(pair, "=")
		if !ok {
			return sedgevale.Settings{}, fmt.Sprintf("setting %q has no value", pair)
		}
		p.m[path] = value
	}
	s := sedgevale.Settings{
		Zone:          p.int("zone"),
		Peers:         p.int("peers_total"),
		MaxAttempts:   p.int("bounds.max_attempts"),
		ParallelTries: p.bool("bounds.parallel_tries"),
		MayCancel:     p.bool("bounds.cancel"),
		AskForList:    p.m["discovery"] == "ask",
		TellsStart:    p.bool("family_info.tells_start"),
		InOrder:       p.m["family_info.queue_order"] == "fifo",
		StartCapacity: p.float("rules.start_capacity"),
		WarmUp:        p.seconds("rules.warm_up"),
		FallMultiple:  p.float("rules.fall_multiple"),
		Fall:          p.seconds("rules.fall"),

		MustProbe:      p.bool("bounds.may_probe") && p.m["report.via"] == "probe",
		FullMayHaveRun: p.bool("rules.full_may_have_run"),
		CloseOnDrain:   p.seconds("rules.close_on_drain_within"),
	}
	if what := p.budget(&s.Further); what != "" {
		return s, what
	}
	if p.bool("bounds.retry_after") {
		s.MaxRetryAfter = p.seconds("bounds.max_retry_after")
	}
	switch p.m["weights"] {
	case "nominal", "rough":
		s.Weights = sedgevale.WeightSize
	case "live":
		s.Weights = sedgevale.WeightLive
	}
	kinds := p.list("family_info.class_kind")
	stretch := p.list("family_info.class_stretch")
	for i := range min(p.int("classes.count"), 1<<16) {
		at := fmt.Sprintf("classes.%d.", i)
		c := sedgevale.Class{
			Name:      p.m[at+"name"],
			Effect:    effects[p.m[at+"effect"]],
			Scope:     scopes[p.m[at+"dedup_scope"]],
			Window:    p.seconds(at + "window"),
			Aim:       p.seconds(at + "promise"),
			Limit:     p.seconds(at + "hard_limit"),
			LateShare: p.float(at + "late_share"),
			Stream:    p.bool(at + "stream"),
			Stretch:   p.float(at + "aim_stretch"),
			Kinds:     p.places(at+"runs_on", "kinds"),
			Zones:     p.places(at+"runs_in", "zones"),
		}
		if _, ok := effects[p.m[at+"effect"]]; !ok {
			return s, fmt.Sprintf("unknown effect %q of class %d", p.m[at+"effect"], i)
		}
		if c.Stretch == 0 && i < len(stretch) {
			c.Stretch = p.parse("family_info.class_stretch", stretch[i])
		}
		if i < len(kinds) && c.Kinds == nil {
			if k := p.parse("family_info.class_kind", kinds[i]); k >= 0 {
				c.Kinds = []int{int(k)}
			}
		}
		s.Classes = append(s.Classes, c)
	}
	for i := range min(p.int("realms.count"), 1<<16) {
		at := fmt.Sprintf("realms.%d.", i)
		s.Tenants = append(s.Tenants, sedgevale.Tenant{
			Name: p.m[at+"name"], Share: p.float(at + "share"), Quota: p.float(at + "quota_rps")})
	}
	return s, p.wrong
}

var effects = map[string]sedgevale.Effect{
	"free": sedgevale.Safe, "guarded": sedgevale.Keyed, "single_shot": sedgevale.Unsafe,
}

var scopes = map[string]sedgevale.Scope{
	"all": sedgevale.ScopeAll, "zone": sedgevale.ScopeZone, "cell": sedgevale.ScopeCell,
}

// pairs looks settings up; it keeps the first that is malformed.
type pairs struct {
	m     map[string]string
	wrong string
}

func (p *pairs) parse(path, value string) float64 {
	v, err := strconv.ParseFloat(value, 64)
	if (err != nil || v != v || v > maxSeconds || v < -maxSeconds) && p.wrong == "" {
		p.wrong = fmt.Sprintf("setting %s=%s is no number", path, value)
		return 0
	}
	return v
}

func (p *pairs) float(path string) float64 {
	value, ok := p.m[path]
	if !ok || value == "-" || value == "" {
		return 0
	}
	return p.parse(path, value)
}

func (p *pairs) int(path string) int { return max(0, int(p.float(path))) }

func (p *pairs) seconds(path string) time.Duration {
	return time.Duration(p.float(path) * float64(time.Second))
}

func (p *pairs) bool(path string) bool { return p.m[path] == "true" || p.m[path] == "1" }

func (p *pairs) list(path string) []string {
	if p.m[path] == "" {
		return nil
	}
	return strings.Split(p.m[path], ",")
}

// budget reads the budget of further attempts. It binds where any of its keys
// is there, and then needs a span.
func (p *pairs) budget(b *sedgevale.Budget) string {
	_, free := p.m["rules.extra_free"]
	_, ratio := p.m["rules.repeat_ratio"]
	_, span := p.m["rules.ratio_span"]
	if !free && !ratio && !span {
		return ""
	}
	for _, path := range []string{"rules.extra_free", "rules.repeat_ratio", "rules.ratio_span"} {
		if p.float(path) < 0 {
			return fmt.Sprintf("setting %s=%s is negative", path, p.m[path])
		}
	}
	b.Free, b.Ratio, b.Span = p.int("rules.extra_free"), p.float("rules.repeat_ratio"), p.seconds("rules.ratio_span")
	if b.Span == 0 && p.wrong == "" {
		return "a budget of attempts without rules.ratio_span"
	}
	return ""
}

// places reads a list of indexes into the list named by of. An absent key
// gives nil, which means any; one that allows nothing gives an empty list.
func (p *pairs) places(path, of string) []int {
	if _, ok := p.m[path]; !ok {
		return nil
	}
	all := []int{}
	known := len(p.list(of))
	for _, value := range p.list(path) {
		i, err := strconv.ParseUint(value, 10, 31)
		if (err != nil || known > 0 && int(i) >= known) && p.wrong == "" {
			p.wrong = fmt.Sprintf("setting %s=%s names none of the %d %s", path, p.m[path], known, of)
		}
		all = append(all, int(i))
	}
	return all
}
