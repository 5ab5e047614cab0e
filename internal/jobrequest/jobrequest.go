// Package jobrequest parses a client's HTTP request into a job, for the platform's protocol and
// for event streams alike.
package jobrequest

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"sedgevale/dispatcher"
	"sedgevale/internal/dispatch"
	"sedgevale/internal/http1"
	"sedgevale/internal/httpd"
)

// responseMargin is subtracted from a client's timeout: the time in which the response gets
// back to it.
const responseMargin = 10 * time.Millisecond

// The bounds of what a request may say.
const (
	maxIDLength = 128 // bytes
	maxSlots    = 1e6
	maxDuration = 1e9 // in the unit that is given with it
)

// Parser parses requests. It may be used by several goroutines.
type Parser struct {
	clock    dispatch.Clock
	settings *atomic.Pointer[Settings] // shared with the parsers made by WithMargin
	margin   time.Duration             // subtracted from timeouts beyond responseMargin
}

// Settings are the settings by which requests are parsed. They are not changed, only replaced.
type Settings struct {
	Classes []dispatcher.Class
	Tenants []dispatcher.Tenant // none: any tenant may send jobs
}

// New returns a Parser with those settings, whose deadlines are on the clock.
func New(clock dispatch.Clock, s *Settings) *Parser {
	p := &Parser{clock: clock, settings: &atomic.Pointer[Settings]{}}
	p.settings.Store(s)
	return p
}

// Update replaces the settings, also of parsers made by WithMargin.
func (p *Parser) Update(s *Settings) { p.settings.Store(s) }

// Time returns a time on the clock of the deadlines.
func (p *Parser) Time(t time.Time) time.Duration { return p.clock.At(t) }

// WithMargin returns a Parser whose deadlines are earlier by a margin.
func (p *Parser) WithMargin(margin time.Duration) *Parser {
	derived := *p
	derived.margin += margin
	return &derived
}

// Error is a request that is not a job, with the HTTP status and text of its response.
type Error struct {
	Status int
	Text   string
}

func (e *Error) Error() string { return e.Text }

func badRequest(format string, args ...any) error { return &Error{400, fmt.Sprintf(format, args...)} }

// ClassName returns the name of the class that a request's target stands for.
func ClassName(target string) string {
	path, _, _ := strings.Cut(target, "?")
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return name
}

// Class returns the class of that name, or nil.
func (p *Parser) Class(name string) *dispatcher.Class { return p.settings.Load().class(name) }

func (s *Settings) class(name string) *dispatcher.Class {
	for i := range s.Classes {
		if s.Classes[i].Name == name {
			return &s.Classes[i]
		}
	}
	return nil
}

// Parse returns a request's job and its deadline on the clock. The id and the timeout are
// those of a request that has none; it is rejected if they are zero. The error is an *Error.
func (p *Parser) Parse(q *httpd.Request, id string, timeout time.Duration) (dispatch.Job, time.Duration, error) {
	j := dispatch.Job{ID: id, Tenant: -1, Slots: 1, Method: q.Method, Target: q.Target, Body: q.Body}
	settings := p.settings.Load()
	h := header{job: &j, timeout: timeout}
	if err := h.read(q.Fields); err != nil {
		return j, 0, err
	}
	j.Class = settings.class(ClassName(q.Target))
	if err := h.check(q.Method); err != nil {
		return j, 0, err
	}
	for i := range settings.Tenants {
		if settings.Tenants[i].Name == h.tenant {
			j.Tenant, j.TenantName = i, settings.Tenants[i].Name
		}
	}
	if j.Tenant < 0 && len(settings.Tenants) > 0 {
		return j, 0, badRequest("unknown Tenant")
	}
	if d, ok := parseDuration(h.hint); ok {
		j.RuntimeHint = d
	}
	if err := parseInfo(&j, h.info); err != nil {
		return j, 0, err
	}
	return j, p.clock.At(q.At) + h.timeout - responseMargin - p.margin, nil
}

// header is what a request's fields say: the job, and values that are still to be resolved.
type header struct {
	job                       *dispatch.Job
	class, tenant, hint, info string
	timeout                   time.Duration
}

// read applies a request's fields.
func (h *header) read(fields []http1.Field) error {
	for i, f := range fields {
		if hasField(fields[:i], f.Name) && singleValued(f.Name) {
			return badRequest("%s is given twice", f.Name)
		}
		if err := h.set(f.Name, f.Value); err != nil {
			return err
		}
	}
	return nil
}

func (h *header) set(name, value string) error {
	switch {
	case strings.EqualFold(name, "Request-Id"):
		h.job.ID = value
	case strings.EqualFold(name, "Request-Class"):
		h.class = value
	case strings.EqualFold(name, "Tenant"):
		h.tenant = value
	case strings.EqualFold(name, "Affinity-Key"):
		h.job.AffinityKey = value
	case strings.EqualFold(name, "Idempotency-Key"):
		h.job.IdempotencyKey = value
	case strings.EqualFold(name, "Client-Id"):
		h.job.Client = value
	case strings.EqualFold(name, "Client-Retry"):
		h.job.ClientRetry = value == "1"
	case strings.EqualFold(name, "Work-Hint"):
		h.hint = value
	case strings.EqualFold(name, "Request-Info"):
		h.info = value
	case strings.EqualFold(name, "Request-Timeout"):
		d, ok := parseDuration(value)
		if !ok {
			return badRequest("Request-Timeout must be a number and m or u")
		}
		h.timeout = d
	}
	return nil
}

// check returns an error for a request whose class, method, id, timeout or idempotency key is
// missing or wrong.
func (h *header) check(method string) error {
	j := h.job
	switch {
	case h.class != "" && (j.Class == nil || h.class != j.Class.Name):
		return badRequest("Request-Class is unknown or not that of the path")
	case j.Class == nil:
		return &Error{404, "no such class"}
	case method != "POST":
		return &Error{405, "jobs come by POST"}
	case j.ID == "" || len(j.ID) > maxIDLength || strings.ContainsAny(j.ID, " \t"):
		return badRequest("Request-Id must be one word")
	case h.timeout <= 0:
		return badRequest("Request-Timeout is missing")
	case j.IdempotencyKey == "" && j.Class.Idempotency == dispatcher.IdempotentByKey:
		return badRequest("this class needs an Idempotency-Key")
	}
	return nil
}

// parseInfo reads the pairs of Request-Info that matter for the dispatch of a job.
func parseInfo(j *dispatch.Job, info string) error {
	for pair := range strings.SplitSeq(info, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if name != "slots" {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v > 0) || v > maxSlots {
			return badRequest("slots must be a positive number")
		}
		j.Slots = v
	}
	return nil
}

// singleValued reports whether a field may be given only once: which of two values counts
// would depend on who reads them.
func singleValued(name string) bool {
	for _, s := range []string{"Request-Id", "Request-Class", "Tenant", "Affinity-Key", "Idempotency-Key",
		"Client-Retry", "Work-Hint", "Request-Info", "Request-Timeout"} {
		if strings.EqualFold(s, name) {
			return true
		}
	}
	return false
}

func hasField(fields []http1.Field, name string) bool {
	return slices.ContainsFunc(fields, func(f http1.Field) bool { return strings.EqualFold(f.Name, name) })
}

// parseDuration parses a number and a unit, m for milliseconds or u for microseconds.
func parseDuration(s string) (time.Duration, bool) {
	if len(s) < 2 {
		return 0, false
	}
	unit := time.Millisecond
	switch s[len(s)-1] {
	case 'm':
	case 'u':
		unit = time.Microsecond
	default:
		return 0, false
	}
	number := s[:len(s)-1]
	if strings.Trim(number, "0123456789.") != "" { // no sign, exponent, Inf or NaN
		return 0, false
	}
	v, err := strconv.ParseFloat(number, 64)
	if err != nil || math.IsNaN(v) || v < 0 || v > maxDuration {
		return 0, false
	}
	return time.Duration(v * float64(unit)), true
}
