// Package haproxy imports a configuration of HAProxy into an operator's file whose plain
// HTTP front serves alike. Every directive is accounted for: carried over, carried over
// differently, not needed, or not carried over, each with a reason. It follows HAProxy's
// published configuration manual.
package haproxy

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"sedgevale/internal/route"
)

// directive is one line of a configuration.
type directive struct {
	file  string
	line  int
	words []string
	text  string // as it was written, without what is around it
}

func (d directive) String() string { return strings.Join(d.words, " ") }

// section is a part of a configuration with its directives.
type section struct {
	directive
	kind, name, from string
	body             []directive
}

// Error is a malformed directive.
type Error struct {
	File string
	Line int
	Text string
}

func (e *Error) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Text) }

func wrong(d directive, format string, args ...any) error {
	return &Error{d.file, d.line, fmt.Sprintf(format, args...)}
}

// Sections that stand for traffic, those that hold settings, and those that nothing here
// corresponds to.
var (
	proxies = map[string]bool{"frontend": true, "backend": true, "listen": true}
	holders = map[string]bool{"global": true, "defaults": true}
	others  = map[string]bool{"userlist": true, "peers": true, "mailers": true, "resolvers": true, "cache": true,
		"program": true, "ring": true, "http-errors": true, "fcgi-app": true, "log-forward": true, "crt-store": true,
		"traces": true, "acme": true, "log-profile": true}
)

// Source is a file of a configuration.
type Source struct {
	Name string
	Text []byte
}

// maxLine is HAProxy's own bound.
const maxLine = 16 << 10

// reader cuts sources into sections, and notes what it leaves out.
type reader struct {
	opt      *Options
	sections []*section
	notes    []Entry
	errs     []error
	blocks   []block // open .if
}

type block struct {
	directive
	state   blockState
	done    bool // a branch was taken
	unknown bool // a condition could not be told
	elseAt  bool
}

type blockState uint8

const (
	taken   blockState = iota // what stands here counts
	skipped                   // it does not
	doubted                   // nobody can tell
)

func (r *reader) read(s Source) {
	lines := strings.Split(string(s.Text), "\n")
	for i := 0; i < len(lines); i++ {
		text := strings.TrimSuffix(lines[i], "\r")
		d := directive{file: s.Name, line: i + 1, text: strings.TrimSpace(text)}
		if len(text) > maxLine {
			r.errs = append(r.errs, wrong(d, "a line of %d bytes, %d at most", len(text), maxLine))
			continue
		}
		words, missing, err := r.split(text)
		if len(words) == 0 && err == nil {
			continue
		}
		d.words = words
		switch {
		case len(words) > 0 && strings.HasPrefix(words[0], "."):
			r.conditional(d, err)
			continue
		case !r.counts(d):
			continue
		case err != nil:
			r.errs = append(r.errs, wrong(d, "%v", err))
			continue
		}
		r.add(d, missing)
	}
	for _, b := range r.blocks {
		r.errs = append(r.errs, wrong(b.directive, ".if without .endif"))
	}
	r.blocks = nil
}

// add puts a directive into its section.
func (r *reader) add(d directive, missing []string) {
	kind := d.words[0]
	if proxies[kind] || holders[kind] || others[kind] {
		s := &section{directive: d, kind: kind}
		rest := d.words[1:]
		if len(rest) > 0 && rest[0] != "from" {
			s.name, rest = rest[0], rest[1:]
		}
		if len(rest) == 2 && rest[0] == "from" && kind != "global" {
			s.from, rest = rest[1], nil
		}
		switch {
		case len(rest) > 0:
			r.errs = append(r.errs, wrong(d, "unexpected %q behind the name of the section", rest[0]))
		case proxies[kind] && s.name == "":
			r.errs = append(r.errs, wrong(d, "a %s needs a name", kind))
		}
		r.sections = append(r.sections, s)
		return
	}
	if len(r.sections) == 0 {
		r.errs = append(r.errs, wrong(d, "%q stands before any section", kind))
		return
	}
	s := r.sections[len(r.sections)-1]
	if len(missing) > 0 {
		r.notes = append(r.notes, entry(d, s.title(), NotCarried, fmt.Sprintf("the environment variable %s is not known: give --env %s=VALUE",
			strings.Join(missing, ", "), missing[0])))
		return
	}
	s.body = append(s.body, d)
}

func (s *section) title() string { return strings.TrimSpace(s.kind + " " + s.name) }

// counts reports whether a directive stands where it counts, and notes it if not.
func (r *reader) counts(d directive) bool {
	for _, b := range r.blocks {
		switch b.state {
		case skipped:
			r.notes = append(r.notes, entry(d, r.here(), NotNeeded, "its condition does not hold"))
			return false
		case doubted:
			r.notes = append(r.notes, entry(d, r.here(), NotCarried, "its condition ("+b.file+":"+strconv.Itoa(b.line)+") cannot be told here: give --define or --env"))
			return false
		}
	}
	return true
}

func (r *reader) here() string {
	if len(r.sections) == 0 {
		return ""
	}
	return r.sections[len(r.sections)-1].title()
}

// conditional deals with .if and its like, and with .notice and its like.
func (r *reader) conditional(d directive, bad error) {
	note := func(v Verdict, why string) { r.notes = append(r.notes, entry(d, r.here(), v, why)) }
	fail := func(text string) { r.errs = append(r.errs, wrong(d, "%s", text)) }
	evaluate := func() blockState {
		holds, known := r.condition(strings.Join(d.words[1:], " "))
		switch {
		case !known:
			note(NotCarried, "the condition cannot be told here: give --define or --env")
			return doubted
		case holds:
			note(NotNeeded, "evaluated: it holds")
			return taken
		}
		note(NotNeeded, "evaluated: it does not hold")
		return skipped
	}
	last := len(r.blocks) - 1
	switch d.words[0] {
	case ".if":
		if bad != nil {
			fail(bad.Error())
		}
		if len(r.blocks) > 0 && r.blocks[last].state != taken {
			note(NotNeeded, "it stands in a block that does not count")
			r.blocks = append(r.blocks, block{directive: d, state: skipped, done: true})
			return
		}
		s := evaluate()
		r.blocks = append(r.blocks, block{directive: d, state: s, done: s == taken, unknown: s == doubted})
	case ".elif", ".else":
		if last < 0 || r.blocks[last].elseAt {
			fail(d.words[0] + " without .if")
			return
		}
		b := &r.blocks[last]
		switch {
		case b.done:
			note(NotNeeded, "an earlier branch counts")
			b.state = skipped
		case b.unknown:
			note(NotCarried, "whether it counts cannot be told: an earlier condition is not known")
			b.state = doubted
		case d.words[0] == ".else":
			note(NotNeeded, "evaluated: it holds")
			b.state, b.done = taken, true
		default:
			b.state = evaluate()
			b.done, b.unknown = b.state == taken, b.state == doubted
		}
		b.elseAt = d.words[0] == ".else"
	case ".endif":
		if last < 0 {
			fail(".endif without .if")
			return
		}
		note(NotNeeded, "the end of a condition")
		r.blocks = r.blocks[:last]
	case ".notice", ".warning", ".diag", ".alert":
		if r.counts(d) {
			note(NotNeeded, "a message for whoever starts HAProxy")
		}
	default:
		fail(d.words[0] + " is unknown")
	}
}

// condition evaluates what .if asks.
func (r *reader) condition(text string) (holds, known bool) {
	text = strings.TrimSpace(text)
	if a, b, ok := cutOutside(text, "||"); ok {
		h1, k1 := r.condition(a)
		h2, k2 := r.condition(b)
		return h1 && k1 || h2 && k2, k1 && k2 || h1 && k1 || h2 && k2
	}
	if a, b, ok := cutOutside(text, "&&"); ok {
		h1, k1 := r.condition(a)
		h2, k2 := r.condition(b)
		return h1 && h2, k1 && k2 || k1 && !h1 || k2 && !h2
	}
	if rest, ok := strings.CutPrefix(text, "!"); ok {
		h, k := r.condition(rest)
		return !h, k
	}
	if strings.HasPrefix(text, "(") && strings.HasSuffix(text, ")") {
		return r.condition(text[1 : len(text)-1])
	}
	if n, err := strconv.Atoi(text); err == nil {
		return n != 0, true
	}
	name, rest, ok := strings.Cut(text, "(")
	args := strings.Split(strings.TrimSuffix(rest, ")"), ",")
	for i := range args {
		args[i] = strings.Trim(strings.TrimSpace(args[i]), `"`)
	}
	switch {
	case text == "":
		return false, true
	case !ok || !strings.HasSuffix(rest, ")"):
		return false, false
	case name == "defined":
		_, env := r.opt.Env[args[0]]
		return env || r.opt.Defines[args[0]], true
	case name == "streq" && len(args) == 2:
		return args[0] == args[1], true
	case name == "strneq" && len(args) == 2:
		return args[0] != args[1], true
	}
	return false, false
}

// cutOutside cuts at the first separator that is not within parentheses.
func cutOutside(s, sep string) (a, b string, ok bool) {
	depth := 0
	for i := range len(s) {
		switch s[i] {
		case '(':
			depth++
		case ')':
			depth--
		}
		if depth == 0 && strings.HasPrefix(s[i:], sep) {
			return s[:i], s[i+len(sep):], true
		}
	}
	return s, "", false
}

// split cuts a line into words. Missing names environment variables that are not known.
func (r *reader) split(line string) (words, missing []string, err error) {
	words, err = route.Splitter{Comments: true, Variable: func(s string) (string, int) {
		value, n, name := r.variable(s)
		if name != "" {
			missing = append(missing, name)
		}
		return value, n
	}}.Split(line)
	return words, missing, err
}

// variable reads $NAME, ${NAME} or ${NAME-DEFAULT} at the start of s.
func (r *reader) variable(s string) (value string, n int, missing string) {
	name, fallback, has := "", "", false
	if strings.HasPrefix(s, "${") {
		end := strings.IndexByte(s, '}')
		if end < 0 {
			return "$", 1, ""
		}
		name, fallback, has = strings.Cut(s[2:end], "-")
		name = strings.TrimSuffix(name, "[*]")
		n = end + 1
	} else {
		n = 1
		for n < len(s) && (s[n] == '_' || s[n] >= '0' && s[n] <= '9' || s[n] >= 'A' && s[n] <= 'Z' || s[n] >= 'a' && s[n] <= 'z') {
			n++
		}
		name = s[1:n]
	}
	if name == "" {
		return "$", 1, ""
	}
	if v, ok := r.opt.Env[name]; ok {
		return v, n, ""
	}
	if has {
		return fallback, n, ""
	}
	return "", n, name
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
