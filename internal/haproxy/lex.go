// Package haproxy imports a configuration of HAProxy into an operator's file whose plain
// HTTP reverse proxy serves alike. Every directive is accounted for: carried over, carried over
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

// directive is one line of a configuration, split into words.
type directive struct {
	file  string
	line  int
	words []string
	text  string // as it was written, without leading and trailing blanks
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

// malformed returns the Error of a directive.
func malformed(d directive, format string, args ...any) error {
	return &Error{d.file, d.line, fmt.Sprintf(format, args...)}
}

// Sections that carry traffic, those that hold settings, and those without a counterpart here.
var (
	proxySections       = map[string]bool{"frontend": true, "backend": true, "listen": true}
	settingsSections    = map[string]bool{"global": true, "defaults": true}
	unsupportedSections = map[string]bool{"userlist": true, "peers": true, "mailers": true, "resolvers": true, "cache": true,
		"program": true, "ring": true, "http-errors": true, "fcgi-app": true, "log-forward": true, "crt-store": true,
		"traces": true, "acme": true, "log-profile": true}
)

// Source is a file of a configuration.
type Source struct {
	Name string
	Text []byte
}

// maxLine is HAProxy's own bound, in bytes.
const maxLine = 16 << 10

// sectionReader parses sources into sections, and notes directives that it leaves out.
type sectionReader struct {
	opt      *Options
	sections []*section
	notes    []Entry
	errs     []error
	blocks   []block // open .if
}

// block is an open .if.
type block struct {
	directive
	state    blockState
	anyTaken bool // a branch was taken
	unknown  bool // a condition could not be evaluated
	sawElse  bool
}

// blockState says whether the directives of a block's current branch apply.
type blockState uint8

const (
	takenBranch   blockState = iota // its directives apply
	skippedBranch                   // they do not
	unknownBranch                   // its condition cannot be evaluated
)

// read parses one file.
func (r *sectionReader) read(s Source) {
	lines := strings.Split(string(s.Text), "\n")
	for i := 0; i < len(lines); i++ {
		text := strings.TrimSuffix(lines[i], "\r")
		d := directive{file: s.Name, line: i + 1, text: strings.TrimSpace(text)}
		if len(text) > maxLine {
			r.fail(d, "a line of %d bytes, %d at most", len(text), maxLine)
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
		case !r.inForce(d):
			continue
		case err != nil:
			r.fail(d, "%v", err)
			continue
		}
		r.add(d, missing)
	}
	for _, b := range r.blocks {
		r.fail(b.directive, ".if without .endif")
	}
	r.blocks = nil
}

// add puts a directive into its section.
func (r *sectionReader) add(d directive, missing []string) {
	kind := d.words[0]
	if proxySections[kind] || settingsSections[kind] || unsupportedSections[kind] {
		r.begin(d)
		return
	}
	if len(r.sections) == 0 {
		r.fail(d, "%q stands before any section", kind)
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

// begin begins a section.
func (r *sectionReader) begin(d directive) {
	kind := d.words[0]
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
		r.fail(d, "unexpected %q behind the name of the section", rest[0])
	case proxySections[kind] && s.name == "":
		r.fail(d, "a %s needs a name", kind)
	}
	r.sections = append(r.sections, s)
}

// fail notes a malformed directive.
func (r *sectionReader) fail(d directive, format string, args ...any) {
	r.errs = append(r.errs, malformed(d, format, args...))
}

// note says what became of a directive that belongs to no section's body.
func (r *sectionReader) note(d directive, v Verdict, reason string) {
	r.notes = append(r.notes, entry(d, r.here(), v, reason))
}

func (s *section) title() string { return strings.TrimSpace(s.kind + " " + s.name) }

// origin says where the section stands, for a comment in the operator's file.
func (s *section) origin() string { return fmt.Sprintf("%s, %s:%d", s.title(), s.file, s.line) }

// inForce reports whether a directive is outside of skipped and unknown branches, and notes it if not.
func (r *sectionReader) inForce(d directive) bool {
	for _, b := range r.blocks {
		switch b.state {
		case skippedBranch:
			r.note(d, NotNeeded, "its condition does not hold")
			return false
		case unknownBranch:
			r.note(d, NotCarried, "its condition ("+b.file+":"+strconv.Itoa(b.line)+") cannot be told here: give --define or --env")
			return false
		}
	}
	return true
}

// here returns the title of the section that is being read.
func (r *sectionReader) here() string {
	if len(r.sections) == 0 {
		return ""
	}
	return r.sections[len(r.sections)-1].title()
}

// conditional handles the directives of conditional blocks, and messages such as .notice.
func (r *sectionReader) conditional(d directive, bad error) {
	switch d.words[0] {
	case ".if":
		if bad != nil {
			r.fail(d, "%s", bad.Error())
		}
		r.beginBlock(d)
	case ".elif", ".else":
		r.nextBranch(d)
	case ".endif":
		if len(r.blocks) == 0 {
			r.fail(d, ".endif without .if")
			return
		}
		r.note(d, NotNeeded, "the end of a condition")
		r.blocks = r.blocks[:len(r.blocks)-1]
	case ".notice", ".warning", ".diag", ".alert":
		if r.inForce(d) {
			r.note(d, NotNeeded, "a message for whoever starts HAProxy")
		}
	default:
		r.fail(d, "%s is unknown", d.words[0])
	}
}

// beginBlock handles .if.
func (r *sectionReader) beginBlock(d directive) {
	if n := len(r.blocks); n > 0 && r.blocks[n-1].state != takenBranch {
		r.note(d, NotNeeded, "it stands in a block that does not count")
		r.blocks = append(r.blocks, block{directive: d, state: skippedBranch, anyTaken: true})
		return
	}
	s := r.evaluate(d)
	r.blocks = append(r.blocks, block{directive: d, state: s, anyTaken: s == takenBranch, unknown: s == unknownBranch})
}

// nextBranch handles .elif and .else.
func (r *sectionReader) nextBranch(d directive) {
	last := len(r.blocks) - 1
	if last < 0 || r.blocks[last].sawElse {
		r.fail(d, "%s without .if", d.words[0])
		return
	}
	b := &r.blocks[last]
	switch {
	case b.anyTaken:
		r.note(d, NotNeeded, "an earlier branch counts")
		b.state = skippedBranch
	case b.unknown:
		r.note(d, NotCarried, "whether it counts cannot be told: an earlier condition is not known")
		b.state = unknownBranch
	case d.words[0] == ".else":
		r.note(d, NotNeeded, "evaluated: it holds")
		b.state, b.anyTaken = takenBranch, true
	default:
		b.state = r.evaluate(d)
		b.anyTaken, b.unknown = b.state == takenBranch, b.state == unknownBranch
	}
	b.sawElse = d.words[0] == ".else"
}

// evaluate evaluates the condition of .if or .elif, and notes what it is.
func (r *sectionReader) evaluate(d directive) blockState {
	holds, known := r.condition(strings.Join(d.words[1:], " "))
	switch {
	case !known:
		r.note(d, NotCarried, "the condition cannot be told here: give --define or --env")
		return unknownBranch
	case holds:
		r.note(d, NotNeeded, "evaluated: it holds")
		return takenBranch
	}
	r.note(d, NotNeeded, "evaluated: it does not hold")
	return skippedBranch
}

// condition evaluates the condition of .if: whether it holds, and whether it can be evaluated here.
func (r *sectionReader) condition(text string) (holds, known bool) {
	text = strings.TrimSpace(text)
	if a, b, ok := cutOutside(text, "||"); ok {
		return r.either(a, b)
	}
	if a, b, ok := cutOutside(text, "&&"); ok {
		return r.both(a, b)
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
	return r.predicate(text)
}

// predicate evaluates defined(NAME), streq(A,B) and strneq(A,B).
func (r *sectionReader) predicate(text string) (holds, known bool) {
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

// either evaluates A || B. It is known if one operand is known to hold, or both are known.
func (r *sectionReader) either(a, b string) (holds, known bool) {
	h1, k1 := r.condition(a)
	h2, k2 := r.condition(b)
	return h1 && k1 || h2 && k2, k1 && k2 || h1 && k1 || h2 && k2
}

// both evaluates A && B. It is known if one operand is known not to hold, or both are known.
func (r *sectionReader) both(a, b string) (holds, known bool) {
	h1, k1 := r.condition(a)
	h2, k2 := r.condition(b)
	return h1 && h2, k1 && k2 || k1 && !h1 || k2 && !h2
}

// cutOutside cuts s at the first separator outside of parentheses.
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

// split splits a line into words. Missing has the names of unknown environment variables.
func (r *sectionReader) split(line string) (words, missing []string, err error) {
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
func (r *sectionReader) variable(s string) (value string, n int, missing string) {
	var name, fallback string
	var hasFallback bool
	if strings.HasPrefix(s, "${") {
		end := strings.IndexByte(s, '}')
		if end < 0 {
			return "$", 1, ""
		}
		name, fallback, hasFallback = strings.Cut(s[2:end], "-")
		name = strings.TrimSuffix(name, "[*]")
		n = end + 1
	} else {
		n = 1
		for n < len(s) && isNameByte(s[n]) {
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
	if hasFallback {
		return fallback, n, ""
	}
	return "", n, name
}

// isNameByte reports whether a byte may stand in the name of an environment variable.
func isNameByte(c byte) bool {
	return c == '_' || c >= '0' && c <= '9' || c >= 'A' && c <= 'Z' || c >= 'a' && c <= 'z'
}

// units are the units of a time. Each suffix stands before those that it ends with.
var units = []struct {
	suffix string
	is     time.Duration
}{{"us", time.Microsecond}, {"ms", time.Millisecond}, {"s", time.Second}, {"m", time.Minute},
	{"h", time.Hour}, {"d", 24 * time.Hour}}

// duration parses a time: an integer and a unit, milliseconds without one.
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
