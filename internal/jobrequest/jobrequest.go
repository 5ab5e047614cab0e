// Package jobrequest parses a client's HTTP request into a job. The frontends for the platform's
// protocol and for server-sent events share it.
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
	"sedgevale/internal/dispatchdriver"
	"sedgevale/internal/http1"
	"sedgevale/internal/httpd"
)

// responseMargin is subtracted from a client's timeout to leave time for the response to reach
// the client.
const responseMargin = 10 * time.Millisecond

// The limits of the values in a request.
const (
	maxIDLength = 128 // bytes
	maxSlots    = 1e6
	maxDuration = 1e9 // in the unit given in the field, milliseconds or microseconds
)

// Parser parses requests. It may be used by several goroutines.
type Parser struct {
	clock    dispatchdriver.Clock
	settings *atomic.Pointer[Settings] // shared with the parsers returned by WithMargin
	margin   time.Duration             // subtracted from timeouts in addition to responseMargin
}

// Settings are the settings of a Parser. They are immutable; see [Parser.Update].
type Settings struct {
	Classes []dispatcher.Class
	Tenants []dispatcher.Tenant // if empty, the tenant of a request is ignored
}

// New returns a Parser with the given settings. Its deadlines are times on the clock.
func New(clock dispatchdriver.Clock, s *Settings) *Parser {
	p := &Parser{clock: clock, settings: &atomic.Pointer[Settings]{}}
	p.settings.Store(s)
	return p
}

// Update replaces the settings of the Parser and of the parsers that WithMargin has derived from
// it.
func (p *Parser) Update(s *Settings) { p.settings.Store(s) }

// ClockTime converts t to a time on the clock of the deadlines.
func (p *Parser) ClockTime(t time.Time) time.Duration { return p.clock.At(t) }

// WithMargin returns a Parser whose deadlines are earlier by the margin.
func (p *Parser) WithMargin(margin time.Duration) *Parser {
	derived := *p
	derived.margin += margin
	return &derived
}

// Error is the error for a request that is not a valid job. It holds the status and the text of
// the HTTP response.
type Error struct {
	Status int
	Text   string
}

func (e *Error) Error() string { return e.Text }

func badRequest(format string, args ...any) error { return &Error{400, fmt.Sprintf(format, args...)} }

// ClassName returns the class name in a request's target, which is the first segment of the path.
func ClassName(target string) string {
	path, _, _ := strings.Cut(target, "?")
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return name
}

// Class returns the class with that name, or nil if there is none.
func (p *Parser) Class(name string) *dispatcher.Class { return p.settings.Load().class(name) }

func (s *Settings) class(name string) *dispatcher.Class {
	for i := range s.Classes {
		if s.Classes[i].Name == name {
			return &s.Classes[i]
		}
	}
	return nil
}

// Parse returns a request's job and its deadline on the clock. The id and the timeout are the
// defaults for a request that does not contain them; with zero values such a request is rejected.
// The error is an *Error.
func (p *Parser) Parse(q *httpd.Request, id string, timeout time.Duration) (dispatchdriver.Job, time.Duration, error) {
	j := dispatchdriver.Job{ID: id, Tenant: -1, Slots: 1, Method: q.Method, Target: q.Target, Body: q.Body}
	settings := p.settings.Load()
	f := requestFields{job: &j, timeout: timeout}
	if err := f.read(q.Fields); err != nil {
		return j, 0, err
	}
	j.Class = settings.class(ClassName(q.Target))
	if err := f.check(q.Method); err != nil {
		return j, 0, err
	}
	for i := range settings.Tenants {
		if settings.Tenants[i].Name == f.tenant {
			j.Tenant, j.TenantName = i, settings.Tenants[i].Name
		}
	}
	if j.Tenant < 0 && len(settings.Tenants) > 0 {
		return j, 0, badRequest("unknown Tenant")
	}
	if d, ok := parseDuration(f.workHint); ok {
		j.RuntimeHint = d
	}
	if err := parseRequestInfo(&j, f.requestInfo); err != nil {
		return j, 0, err
	}
	return j, p.clock.At(q.At) + f.timeout - responseMargin - p.margin, nil
}

// requestFields holds the values of a request's header fields: those that are copied to the job,
// and those that Parse still has to resolve.
type requestFields struct {
	job                                  *dispatchdriver.Job
	class, tenant, workHint, requestInfo string
	timeout                              time.Duration
}

// read reads a request's header fields.
func (f *requestFields) read(fields []http1.Field) error {
	for i, field := range fields {
		if hasField(fields[:i], field.Name) && isSingleValued(field.Name) {
			return badRequest("%s is given twice", field.Name)
		}
		if err := f.set(field.Name, field.Value); err != nil {
			return err
		}
	}
	return nil
}

// set stores the value of one header field. It ignores fields that jobs do not use.
func (f *requestFields) set(name, value string) error {
	switch {
	case strings.EqualFold(name, "Request-Id"):
		f.job.ID = value
	case strings.EqualFold(name, "Request-Class"):
		f.class = value
	case strings.EqualFold(name, "Tenant"):
		f.tenant = value
	case strings.EqualFold(name, "Affinity-Key"):
		f.job.AffinityKey = value
	case strings.EqualFold(name, "Idempotency-Key"):
		f.job.IdempotencyKey = value
	case strings.EqualFold(name, "Client-Id"):
		f.job.Client = value
	case strings.EqualFold(name, "Client-Retry"):
		f.job.ClientRetry = value == "1"
	case strings.EqualFold(name, "Work-Hint"):
		f.workHint = value
	case strings.EqualFold(name, "Request-Info"):
		f.requestInfo = value
	case strings.EqualFold(name, "Request-Timeout"):
		d, ok := parseDuration(value)
		if !ok {
			return badRequest("Request-Timeout must be a number and m or u")
		}
		f.timeout = d
	}
	return nil
}

// check returns an error for a request whose class, method, ID, timeout or idempotency key is
// missing or invalid.
func (f *requestFields) check(method string) error {
	j := f.job
	switch {
	case f.class != "" && (j.Class == nil || f.class != j.Class.Name):
		return badRequest("Request-Class is unknown or not that of the path")
	case j.Class == nil:
		return &Error{404, "no such class"}
	case method != "POST":
		return &Error{405, "jobs come by POST"}
	case j.ID == "" || len(j.ID) > maxIDLength || strings.ContainsAny(j.ID, " \t"):
		return badRequest("Request-Id must be one word")
	case f.timeout <= 0:
		return badRequest("Request-Timeout is missing")
	case j.IdempotencyKey == "" && j.Class.Idempotency == dispatcher.IdempotentByKey:
		return badRequest("this class needs an Idempotency-Key")
	}
	return nil
}

// parseRequestInfo parses the pairs in Request-Info. Only slots is used for scheduling; other pairs
// are ignored.
func parseRequestInfo(j *dispatchdriver.Job, info string) error {
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

// isSingleValued reports whether a field may occur only once. With two values, the scheduler and
// other readers of the request might use different ones.
func isSingleValued(name string) bool {
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
	if strings.Trim(number, "0123456789.") != "" { // rejects signs, exponents, Inf and NaN
		return 0, false
	}
	v, err := strconv.ParseFloat(number, 64)
	if err != nil || math.IsNaN(v) || v < 0 || v > maxDuration {
		return 0, false
	}
	return time.Duration(v * float64(unit)), true
}
