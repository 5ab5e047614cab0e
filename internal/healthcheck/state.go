// Package healthcheck runs the active health checks of backend members. Tracker determines, without I/O,
// when a member counts as up or down and when to check it next. Driver makes the checks.
package healthcheck

import (
	"cmp"
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Spec configures the health check of a member.
type Spec struct {
	Kind         string        // "tcp" or "http"
	Method       string        // method of an HTTP check; default: OPTIONS, as in HAProxy
	URI          string        // default: "/"
	Version      string        // "1.0" or "1.1"; default: "1.0"
	Headers      []Header      // header fields of an HTTP check; must include Host for version 1.1
	Expect       []Expect      // expectations that must all hold; default: a status of 2xx or 3xx
	Interval     time.Duration // interval of checks while the member is up; default: 2 s
	FastInterval time.Duration // interval while the latest checks contradict the state; default: Interval
	DownInterval time.Duration // interval while the member is down; default: Interval
	Rise         int           // consecutive passed checks until the member is up; default: 2
	Fall         int           // consecutive failed checks until the member is down; default: 3
	Timeout      time.Duration // timeout of a check; default: Interval; at most 10 s
}

// Header is a header field of an HTTP check.
type Header struct{ Name, Value string }

// Expect is an expectation of the response to an HTTP check.
type Expect struct {
	Kind  string // "status", "rstatus", "string", "rstring"
	Not   bool   // inverts the expectation
	Value string // status ranges, regular expression or substring, depending on Kind

	re *regexp.Regexp
}

const (
	defaultInterval = 2 * time.Second
	defaultRise     = 2
	defaultFall     = 3
	maxTimeout      = 10 * time.Second
	minInterval     = 10 * time.Millisecond
)

// SetDefaults sets fields that are zero to their defaults. It returns an error if a field is invalid.
func (s *Spec) SetDefaults() error {
	if s.Kind != "tcp" && s.Kind != "http" {
		return fmt.Errorf("kind %q is neither tcp nor http", s.Kind)
	}
	if err := s.setDefaultTimes(); err != nil {
		return err
	}
	s.Rise = cmp.Or(s.Rise, defaultRise)
	s.Fall = cmp.Or(s.Fall, defaultFall)
	if s.Rise < 0 || s.Fall < 0 {
		return errors.New("rise and fall must be positive")
	}
	if err := s.setDefaultRequest(); err != nil {
		return err
	}
	for i := range s.Expect {
		if err := s.Expect[i].compile(); err != nil {
			return err
		}
	}
	return nil
}

// setDefaultTimes sets the default intervals and timeout, and validates them.
func (s *Spec) setDefaultTimes() error {
	s.Interval = cmp.Or(s.Interval, defaultInterval)
	for _, d := range []*time.Duration{&s.Interval, &s.FastInterval, &s.DownInterval, &s.Timeout} {
		if *d = cmp.Or(*d, s.Interval); *d < minInterval {
			return fmt.Errorf("a time of %v, %v at least", *d, minInterval)
		}
	}
	s.Timeout = min(s.Timeout, maxTimeout)
	return nil
}

// setDefaultRequest sets the defaults of the request line of an HTTP check, and validates it and the names of the header fields.
func (s *Spec) setDefaultRequest() error {
	s.Method = cmp.Or(s.Method, "OPTIONS")
	s.URI = cmp.Or(s.URI, "/")
	s.Version = cmp.Or(s.Version, "1.0")
	for _, text := range append([]string{s.Method, s.URI, s.Version}, headerNames(s.Headers)...) {
		if strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r == 0x7f }) {
			return fmt.Errorf("%q cannot stand in a request", text)
		}
	}
	return nil
}

func headerNames(headers []Header) (out []string) {
	for _, h := range headers {
		out = append(out, h.Name)
	}
	return out
}

// compile validates an expectation and compiles its regular expression, if any.
func (e *Expect) compile() (err error) {
	switch e.Kind {
	case "status":
		_, err = parseStatusRanges(e.Value)
	case "rstatus", "rstring":
		e.re, err = regexp.Compile(e.Value)
	case "string":
	default:
		err = fmt.Errorf("an answer's %q cannot be expected", e.Kind)
	}
	return err
}

// parseStatusRanges parses a list such as 200-399,401 into pairs of a first and a last status code.
func parseStatusRanges(s string) (out [][2]int, err error) {
	for part := range strings.SplitSeq(s, ",") {
		lo, hi, isRange := strings.Cut(strings.TrimSpace(part), "-")
		if !isRange {
			hi = lo
		}
		from, err1 := strconv.Atoi(lo)
		to, err2 := strconv.Atoi(hi)
		if err1 != nil || err2 != nil || from < 100 || to > 999 || from > to {
			return nil, fmt.Errorf("%q is no status", part)
		}
		out = append(out, [2]int{from, to})
	}
	return out, nil
}

// Holds reports whether the response to an HTTP check passes the check.
func (s *Spec) Holds(status int, body []byte) bool {
	if len(s.Expect) == 0 {
		return status >= 200 && status < 400
	}
	return !slices.ContainsFunc(s.Expect, func(e Expect) bool { return e.holds(status, body) == e.Not })
}

// holds reports whether a response matches, ignoring Not.
func (e *Expect) holds(status int, body []byte) bool {
	switch e.Kind {
	case "status":
		ranges, _ := parseStatusRanges(e.Value) // validated by compile
		return slices.ContainsFunc(ranges, func(p [2]int) bool { return status >= p[0] && status <= p[1] })
	case "rstatus":
		return e.re.MatchString(strconv.Itoa(status))
	case "rstring":
		return e.re.Match(body)
	}
	return strings.Contains(string(body), e.Value)
}

// Tracker tracks the state of a member by the results of its checks.
type Tracker struct {
	spec Spec
	up   bool
	// contradictions is the number of consecutive latest checks whose result contradicts up.
	contradictions int
}

// NewTracker returns a Tracker with the given initial state. SetDefaults must have been called on s.
func NewTracker(s Spec, up bool) *Tracker { return &Tracker{spec: s, up: up} }

// Up reports whether the member is up.
func (t *Tracker) Up() bool { return t.up }

// Record records the result of a check. It reports whether the state of the member changed.
func (t *Tracker) Record(passed bool) (changed bool) {
	if passed == t.up {
		t.contradictions = 0
		return false
	}
	t.contradictions++
	threshold := t.spec.Fall
	if !t.up {
		threshold = t.spec.Rise
	}
	if t.contradictions < threshold {
		return false
	}
	t.up, t.contradictions = passed, 0
	return true
}

// NextInterval returns the time until the next check, without jitter.
func (t *Tracker) NextInterval() time.Duration {
	switch {
	case t.contradictions > 0:
		return t.spec.FastInterval
	case !t.up:
		return t.spec.DownInterval
	}
	return t.spec.Interval
}
