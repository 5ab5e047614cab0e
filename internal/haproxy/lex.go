// Package haproxy imports a configuration of HAProxy: it maps what has a
// meaning for this scheduler, and reports each other directive with its line
// and a reason. It follows HAProxy's published configuration manual.
package haproxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// directive is one line of the configuration.
type directive struct {
	line  int
	words []string
}

func (d directive) String() string { return strings.Join(d.words, " ") }

// name is the directive's keyword, with the second word where the first alone
// says little.
func (d directive) name() string {
	switch d.words[0] {
	case "timeout", "option", "no", "stats", "http-request", "http-response", "tcp-request", "tcp-response":
		return strings.Join(d.words[:min(2, len(d.words))], " ")
	}
	return d.words[0]
}

// section is a part of the configuration with its directives.
type section struct {
	directive
	kind, name, from string
	body             []directive
}

// Error is a malformed directive.
type Error struct {
	Line int
	Text string
}

func (e *Error) Error() string { return fmt.Sprintf("line %d: %s", e.Line, e.Text) }

func wrong(d directive, format string, args ...any) error {
	return &Error{d.line, fmt.Sprintf(format, args...)}
}

// Sections that stand for traffic, those that hold settings, and those that
// nothing here corresponds to.
var (
	proxies = map[string]bool{"frontend": true, "backend": true, "listen": true}
	holders = map[string]bool{"global": true, "defaults": true}
	others  = map[string]bool{"userlist": true, "peers": true, "mailers": true, "resolvers": true, "cache": true,
		"program": true, "ring": true, "http-errors": true, "fcgi-app": true, "log-forward": true, "crt-store": true,
		"traces": true, "acme": true, "log-profile": true}
)

// maxLine is HAProxy's own bound.
const maxLine = 16 << 10

// parse cuts a configuration into its sections.
func parse(r io.Reader) ([]*section, error) {
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLine)
	var all []*section
	for line := 1; in.Scan(); line++ {
		words, err := split(in.Text())
		d := directive{line, words}
		if err != nil {
			return nil, wrong(d, "%v", err)
		}
		if len(words) == 0 {
			continue
		}
		kind := words[0]
		switch {
		case proxies[kind] || holders[kind] || others[kind]:
			s := &section{directive: d, kind: kind}
			rest := words[1:]
			if len(rest) > 0 && rest[0] != "from" {
				s.name, rest = rest[0], rest[1:]
			}
			if len(rest) == 2 && rest[0] == "from" && kind != "global" {
				s.from, rest = rest[1], nil
			}
			if len(rest) > 0 {
				return nil, wrong(d, "unexpected %q after the name of the section", rest[0])
			}
			if proxies[kind] && s.name == "" {
				return nil, wrong(d, "a %s needs a name", kind)
			}
			all = append(all, s)
		case strings.HasPrefix(kind, "."):
			return nil, wrong(d, "conditional block %s: what it holds cannot be told here", kind)
		case len(all) == 0:
			return nil, wrong(d, "%q stands before any section", kind)
		default:
			s := all[len(all)-1]
			s.body = append(s.body, d)
		}
	}
	if err := in.Err(); err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	return all, nil
}

var (
	errQuote = errors.New("a quote is not closed")
	errEnv   = errors.New("an environment variable: its value cannot be told here")
	errEnd   = errors.New("a backslash at the end of the line")
)

// split cuts a line into words by HAProxy's rules for quotes, backslashes and
// comments.
func split(line string) (words []string, err error) {
	var word strings.Builder
	in, quote := false, byte(0)
	end := func() {
		if in {
			words = append(words, word.String())
		}
		word.Reset()
		in = false
	}
	for i := 0; i < len(line); i++ {
		c := line[i]
		switch {
		case quote == '\'':
			if c == '\'' {
				quote = 0
			} else {
				word.WriteByte(c)
			}
		case c == '\\':
			if i++; i == len(line) {
				return nil, errEnd
			}
			in = true
			word.WriteByte(escaped(line[i]))
		case quote == '"' && c == '"':
			quote = 0
		case quote == '"' && c == '$':
			return nil, errEnv
		case quote == '"':
			word.WriteByte(c)
		case c == '"' || c == '\'':
			quote, in = c, true
		case c == '#':
			end()
			return words, nil
		case c == ' ' || c == '\t' || c == '\r':
			end()
		default:
			in = true
			word.WriteByte(c)
		}
	}
	if quote != 0 {
		return nil, errQuote
	}
	end()
	return words, nil
}

func escaped(c byte) byte {
	switch c {
	case 'n':
		return '\n'
	case 'r':
		return '\r'
	case 't':
		return '\t'
	}
	return c
}

var units = []struct {
	suffix string
	is     time.Duration
}{{"us", time.Microsecond}, {"ms", time.Millisecond}, {"s", time.Second}, {"m", time.Minute},
	{"h", time.Hour}, {"d", 24 * time.Hour}}

// duration reads a time: a whole number and a unit, milliseconds without one.
func duration(s string) (time.Duration, error) {
	unit, digits := time.Millisecond, s
	for _, u := range units {
		if cut, ok := strings.CutSuffix(s, u.suffix); ok {
			unit, digits = u.is, cut
			break
		}
	}
	v, err := strconv.ParseUint(digits, 10, 31)
	if err != nil {
		return 0, fmt.Errorf("%q is no time", s)
	}
	return time.Duration(v) * unit, nil
}
