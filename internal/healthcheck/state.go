// Package healthcheck finds out which members of a backend are healthy. Target decides, without
// input or output, how often to check a member and when it counts as up or down; Driver makes the
// checks.
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
	Method       string        // of an http check; "": OPTIONS, as HAProxy has it
	URI          string        // "": "/"
	Version      string        // "1.0" or "1.1"; "": "1.0"
	Headers      []Header      // besides Host of version 1.1, which must be here
	Expect       []Expect      // all must hold; none: a status of 2xx or 3xx
	Interval     time.Duration // while it is up; 0: 2 s
	FastInterval time.Duration // while it changes; 0: as Interval
	DownInterval time.Duration // while it is down; 0: as Interval
	Rise         int           // checks that pass until it is up; 0: 2
	Fall         int           // checks that fail until it is down; 0: 3
	Timeout      time.Duration // of a check; 0: as Interval, 10 s at most
}

// Header is a header field of a check.
type Header struct{ Name, Value string }

// Expect is an expectation of a response.
type Expect struct {
	Kind  string // "status", "rstatus", "string", "rstring"
	Not   bool
	Value string

	re *regexp.Regexp
}

const (
	defaultInterval = 2 * time.Second
	defaultRise     = 2
	defaultFall     = 3
	maxTimeout      = 10 * time.Second
	minInterval     = 10 * time.Millisecond
)

// SetDefaults sets the defaults of fields that are zero, and returns an error for invalid ones.
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

// setDefaultTimes sets the intervals and the time-out of a check.
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

// setDefaultRequest sets the request line of an http check.
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

func headerNames(all []Header) (out []string) {
	for _, h := range all {
		out = append(out, h.Name)
	}
	return out
}

// compile checks an expectation, and compiles its regular expression if it has one.
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

// parseStatusRanges reads a list such as 200-399,401 into pairs of a first and a last status.
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

// Holds reports whether the response to an http check passes.
func (s *Spec) Holds(status int, body []byte) bool {
	if len(s.Expect) == 0 {
		return status >= 200 && status < 400
	}
	return !slices.ContainsFunc(s.Expect, func(e Expect) bool { return e.holds(status, body) == e.Not })
}

// holds reports whether a response is as expected, leaving Not aside.
func (e *Expect) holds(status int, body []byte) bool {
	switch e.Kind {
	case "status":
		all, _ := parseStatusRanges(e.Value) // compile has checked it
		return slices.ContainsFunc(all, func(p [2]int) bool { return status >= p[0] && status <= p[1] })
	case "rstatus":
		return e.re.MatchString(strconv.Itoa(status))
	case "rstring":
		return e.re.Match(body)
	}
	return strings.Contains(string(body), e.Value)
}

// Target is the health of a member, as its checks have found it.
type Target struct {
	spec Spec
	up   bool
	// contradicting counts the consecutive latest checks whose result contradicts up; one that agrees resets it.
	contradicting int
}

// NewTarget returns a Target that is up or down at first. SetDefaults must have been called on the
// Spec.
func NewTarget(s Spec, up bool) *Target { return &Target{spec: s, up: up} }

// Up reports whether the member is healthy.
func (t *Target) Up() bool { return t.up }

// Record notes the result of a check, and reports whether the member's state has changed.
func (t *Target) Record(passed bool) (changed bool) {
	if passed == t.up {
		t.contradicting = 0
		return false
	}
	t.contradicting++
	threshold := t.spec.Fall
	if !t.up {
		threshold = t.spec.Rise
	}
	if t.contradicting < threshold {
		return false
	}
	t.up, t.contradicting = passed, 0
	return true
}

// NextInterval returns how long it is until the next check.
func (t *Target) NextInterval() time.Duration {
	switch {
	case t.contradicting > 0:
		return t.spec.FastInterval
	case !t.up:
		return t.spec.DownInterval
	}
	return t.spec.Interval
}
