// Package jobrequest turns a client's HTTP request into a job. Both fronts take
// their requests in by the same rules.
package jobrequest

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"sedgevale"
	"sedgevale/internal/dispatch"
	"sedgevale/internal/http1"
	"sedgevale/internal/httpd"
)

// responseMargin is kept of the time that a client waits, for the answer's way back.
const responseMargin = 10 * time.Millisecond

// Parser are what requests are read by. They may be used by several goroutines.
type Parser struct {
	clock  dispatch.Clock
	terms  *atomic.Pointer[Terms]
	margin time.Duration // beyond margin
}

// Terms are those of the settings that requests are read by. They are not changed,
// only replaced whole.
type Terms struct {
	Classes []sedgevale.Class
	Tenants []sedgevale.Tenant
}

// New returns rules by those terms.
func New(clock dispatch.Clock, t *Terms) *Parser {
	r := &Parser{clock: clock, terms: &atomic.Pointer[Terms]{}}
	r.terms.Store(t)
	return r
}

// Update replaces the terms, also of rules made by Earlier.
func (r *Parser) Update(t *Terms) { r.terms.Store(t) }

// Time returns the time of a request on the clock of the deadlines.
func (r *Parser) Time(t time.Time) time.Duration { return r.clock.At(t) }

// WithMargin returns rules by which a client's time ends earlier by so much.
func (r *Parser) WithMargin(by time.Duration) *Parser {
	out := *r
	out.margin += by
	return &out
}

// Error is why a request is not a job.
type Error struct {
	Status int
	Text   string
}

func (e *Error) Error() string { return e.Text }

func badRequest(format string, args ...any) error { return &Error{400, fmt.Sprintf(format, args...)} }

// ClassName returns the name of the class that a path stands for.
func ClassName(target string) string {
	path, _, _ := strings.Cut(target, "?")
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return name
}

// Class returns the class of that name, or nil.
func (r *Parser) Class(name string) *sedgevale.Class { return r.terms.Load().class(name) }

func (t *Terms) class(name string) *sedgevale.Class {
	for i := range t.Classes {
		if t.Classes[i].Name == name {
			return &t.Classes[i]
		}
	}
	return nil
}

// Parse reads a request, and until when its client waits. An id and a time-out
// are asked for unless they are given here for a request that has none.
func (r *Parser) Parse(q *httpd.Request, id string, patience time.Duration) (dispatch.Job, time.Duration, error) {
	j := dispatch.Job{ID: id, Tenant: -1, Slots: 1, Method: q.Method, Target: q.Target, Body: q.Body}
	terms := r.terms.Load()
	hint, info := "", ""
	class, tenant := "", ""
	for i, f := range q.Fields {
		if hasField(q.Fields[:i], f.Name) && singleValued(f.Name) {
			return j, 0, badRequest("%s is given twice", f.Name)
		}
		switch name := f.Name; {
		case strings.EqualFold(name, "Request-Id"):
			j.ID = f.Value
		case strings.EqualFold(name, "Request-Class"):
			class = f.Value
		case strings.EqualFold(name, "Tenant"):
			tenant = f.Value
		case strings.EqualFold(name, "Affinity-Key"):
			j.Key = f.Value
		case strings.EqualFold(name, "Idempotency-Key"):
			j.Once = f.Value
		case strings.EqualFold(name, "Client-Id"):
			j.Client = f.Value
		case strings.EqualFold(name, "Client-Retry"):
			j.Retry = f.Value == "1"
		case strings.EqualFold(name, "Work-Hint"):
			hint = f.Value
		case strings.EqualFold(name, "Request-Info"):
			info = f.Value
		case strings.EqualFold(name, "Request-Timeout"):
			d, ok := parseDuration(f.Value)
			if !ok {
				return j, 0, badRequest("Request-Timeout must be a number and m or u")
			}
			patience = d
		}
	}
	j.Class = terms.class(ClassName(q.Target))
	if class != "" && (j.Class == nil || class != j.Class.Name) {
		return j, 0, badRequest("Request-Class is unknown or not that of the path")
	}
	if j.Class == nil {
		return j, 0, &Error{404, "no such class"}
	}
	switch {
	case q.Method != "POST":
		return j, 0, &Error{405, "jobs come by POST"}
	case j.ID == "" || len(j.ID) > 128 || strings.ContainsAny(j.ID, " \t"):
		return j, 0, badRequest("Request-Id must be one word")
	case patience <= 0:
		return j, 0, badRequest("Request-Timeout is missing")
	case j.Once == "" && j.Class.Effect == sedgevale.Keyed:
		return j, 0, badRequest("this class needs an Idempotency-Key")
	}
	for i := range terms.Tenants {
		if terms.Tenants[i].Name == tenant {
			j.Tenant, j.TenantName = i, terms.Tenants[i].Name
		}
	}
	if j.Tenant < 0 && len(terms.Tenants) > 0 {
		return j, 0, badRequest("unknown Tenant")
	}
	if d, ok := parseDuration(hint); ok {
		j.Hint = d
	}
	for pair := range strings.SplitSeq(info, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if name != "slots" {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v > 0) || v > 1e6 {
			return j, 0, badRequest("slots must be a positive number")
		}
		j.Slots = v
	}
	return j, r.clock.At(q.At) + patience - responseMargin - r.margin, nil
}

// singleValued reports whether a field says something that holds but once: which of two
// values counts would depend on who reads them.
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

// parseDuration reads a number and a unit, m for milliseconds or u for microseconds.
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
	if strings.Trim(number, "0123456789.") != "" { // no sign, no exponent, no word
		return 0, false
	}
	v, err := strconv.ParseFloat(number, 64)
	if err != nil || math.IsNaN(v) || v < 0 || v > 1e9 {
		return 0, false
	}
	return time.Duration(v * float64(unit)), true
}
