// Package haproxy converts HAProxy configuration files to an operator's file for the plain HTTP reverse
// proxy. The report has one entry per directive with its verdict and reason: carried over, carried over
// differently, not needed, or not carried over. The conversion follows HAProxy's published configuration
// manual. The package also explains how a converted configuration routes a request.
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
	text  string // the line as written, without leading and trailing blanks
}

func (d directive) String() string { return strings.Join(d.words, " ") }

// section is a section of a configuration with its directives.
type section struct {
	directive
	kind, name, from string
	body             []directive
}

// Error reports a malformed directive.
type Error struct {
	File string
	Line int
	Text string
}

func (e *Error) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Text) }

// malformed returns an Error located at the directive.
func malformed(d directive, format string, args ...any) error {
	return &Error{d.file, d.line, fmt.Sprintf(format, args...)}
}

var (
	// proxySectionKinds are the sections that define frontends and backends.
	proxySectionKinds = map[string]bool{"frontend": true, "backend": true, "listen": true}
	// settingsSectionKinds are the sections that only hold settings.
	settingsSectionKinds = map[string]bool{"global": true, "defaults": true}
	// unsupportedSectionKinds are the sections that have no equivalent.
	unsupportedSectionKinds = map[string]bool{"userlist": true, "peers": true, "mailers": true, "resolvers": true, "cache": true,
		"program": true, "ring": true, "http-errors": true, "fcgi-app": true, "log-forward": true, "crt-store": true,
		"traces": true, "acme": true, "log-profile": true}
)

// Source is one configuration file.
type Source struct {
	Name string
	Text []byte
}

// maxLineBytes is the maximum length of a line. HAProxy has the same limit.
const maxLineBytes = 16 << 10

// sectionReader parses sources into sections and adds entries for the directives that belong to no
// section's body.
type sectionReader struct {
	opt      *Options
	sections []*section
	entries  []Entry
	errs     []error
	blocks   []conditionalBlock // open .if blocks, innermost last
}

// conditionalBlock is an .if block whose .endif has not been read yet.
type conditionalBlock struct {
	directive
	state       branchState
	branchTaken bool // some branch applied
	unknown     bool // some condition could not be evaluated
	sawElse     bool
}

// branchState tells whether the directives of the current branch of a block apply.
type branchState uint8

const (
	takenBranch   branchState = iota // the directives apply
	skippedBranch                    // the directives do not apply
	unknownBranch                    // the condition cannot be evaluated
)

// read parses one file.
func (r *sectionReader) read(s Source) {
	lines := strings.Split(string(s.Text), "\n")
	for i := 0; i < len(lines); i++ {
		text := strings.TrimSuffix(lines[i], "\r")
		d := directive{file: s.Name, line: i + 1, text: strings.TrimSpace(text)}
		if len(text) > maxLineBytes {
			r.errorf(d, "a line of %d bytes, %d at most", len(text), maxLineBytes)
			continue
		}
		words, missing, err := r.split(text)
		if len(words) == 0 && err == nil {
			continue
		}
		d.words = words
		switch {
		case len(words) > 0 && strings.HasPrefix(words[0], "."):
			r.handleConditional(d, err)
			continue
		case !r.isActive(d):
			continue
		case err != nil:
			r.errorf(d, "%v", err)
			continue
		}
		r.addDirective(d, missing)
	}
	for _, b := range r.blocks {
		r.errorf(b.directive, ".if without .endif")
	}
	r.blocks = nil
}

// addDirective begins a section or appends the directive to the current one.
func (r *sectionReader) addDirective(d directive, missing []string) {
	kind := d.words[0]
	if proxySectionKinds[kind] || settingsSectionKinds[kind] || unsupportedSectionKinds[kind] {
		r.beginSection(d)
		return
	}
	if len(r.sections) == 0 {
		r.errorf(d, "%q stands before any section", kind)
		return
	}
	s := r.sections[len(r.sections)-1]
	if len(missing) > 0 {
		r.entries = append(r.entries, entry(d, s.title(), NotCarried, fmt.Sprintf("the environment variable %s is not known: give --env %s=VALUE",
			strings.Join(missing, ", "), missing[0])))
		return
	}
	s.body = append(s.body, d)
}

// beginSection parses a section header, KIND [NAME] [from DEFAULTS].
func (r *sectionReader) beginSection(d directive) {
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
		r.errorf(d, "unexpected %q behind the name of the section", rest[0])
	case proxySectionKinds[kind] && s.name == "":
		r.errorf(d, "a %s needs a name", kind)
	}
	r.sections = append(r.sections, s)
}

// errorf records an error for a malformed directive.
func (r *sectionReader) errorf(d directive, format string, args ...any) {
	r.errs = append(r.errs, malformed(d, format, args...))
}

// addEntry records the verdict on a directive that belongs to no section's body.
func (r *sectionReader) addEntry(d directive, v Verdict, reason string) {
	r.entries = append(r.entries, entry(d, r.currentSection(), v, reason))
}

func (s *section) title() string { return strings.TrimSpace(s.kind + " " + s.name) }

// origin returns the location of the section for a comment in the operator's file.
func (s *section) origin() string { return fmt.Sprintf("%s, %s:%d", s.title(), s.file, s.line) }

// isActive reports whether a directive is outside of skipped and unknown branches. Otherwise it adds an
// entry for the directive.
func (r *sectionReader) isActive(d directive) bool {
	for _, b := range r.blocks {
		switch b.state {
		case skippedBranch:
			r.addEntry(d, NotNeeded, "its condition does not hold")
			return false
		case unknownBranch:
			r.addEntry(d, NotCarried, "its condition ("+b.file+":"+strconv.Itoa(b.line)+") cannot be told here: give --define or --env")
			return false
		}
	}
	return true
}

// currentSection returns the title of the section being read.
func (r *sectionReader) currentSection() string {
	if len(r.sections) == 0 {
		return ""
	}
	return r.sections[len(r.sections)-1].title()
}

// handleConditional handles directives that begin with a dot: conditional blocks and messages.
func (r *sectionReader) handleConditional(d directive, bad error) {
	switch d.words[0] {
	case ".if":
		if bad != nil {
			r.errorf(d, "%s", bad.Error())
		}
		r.beginBlock(d)
	case ".elif", ".else":
		r.nextBranch(d)
	case ".endif":
		if len(r.blocks) == 0 {
			r.errorf(d, ".endif without .if")
			return
		}
		r.addEntry(d, NotNeeded, "the end of a condition")
		r.blocks = r.blocks[:len(r.blocks)-1]
	case ".notice", ".warning", ".diag", ".alert":
		if r.isActive(d) {
			r.addEntry(d, NotNeeded, "a message for whoever starts HAProxy")
		}
	default:
		r.errorf(d, "%s is unknown", d.words[0])
	}
}

// beginBlock handles .if.
func (r *sectionReader) beginBlock(d directive) {
	if n := len(r.blocks); n > 0 && r.blocks[n-1].state != takenBranch {
		r.addEntry(d, NotNeeded, "it stands in a block that does not count")
		r.blocks = append(r.blocks, conditionalBlock{directive: d, state: skippedBranch, branchTaken: true})
		return
	}
	s := r.evalBranch(d)
	r.blocks = append(r.blocks, conditionalBlock{directive: d, state: s, branchTaken: s == takenBranch, unknown: s == unknownBranch})
}

// nextBranch handles .elif and .else.
func (r *sectionReader) nextBranch(d directive) {
	last := len(r.blocks) - 1
	if last < 0 || r.blocks[last].sawElse {
		r.errorf(d, "%s without .if", d.words[0])
		return
	}
	b := &r.blocks[last]
	switch {
	case b.branchTaken:
		r.addEntry(d, NotNeeded, "an earlier branch counts")
		b.state = skippedBranch
	case b.unknown:
		r.addEntry(d, NotCarried, "whether it counts cannot be told: an earlier condition is not known")
		b.state = unknownBranch
	case d.words[0] == ".else":
		r.addEntry(d, NotNeeded, "evaluated: it holds")
		b.state, b.branchTaken = takenBranch, true
	default:
		b.state = r.evalBranch(d)
		b.branchTaken, b.unknown = b.state == takenBranch, b.state == unknownBranch
	}
	b.sawElse = d.words[0] == ".else"
}

// evalBranch evaluates the condition of .if or .elif and adds an entry with the result.
func (r *sectionReader) evalBranch(d directive) branchState {
	holds, known := r.evalCondition(strings.Join(d.words[1:], " "))
	switch {
	case !known:
		r.addEntry(d, NotCarried, "the condition cannot be told here: give --define or --env")
		return unknownBranch
	case holds:
		r.addEntry(d, NotNeeded, "evaluated: it holds")
		return takenBranch
	}
	r.addEntry(d, NotNeeded, "evaluated: it does not hold")
	return skippedBranch
}

// evalCondition evaluates a condition. It returns known as false if the options don't determine the result.
func (r *sectionReader) evalCondition(text string) (holds, known bool) {
	text = strings.TrimSpace(text)
	if a, b, ok := cutOutsideParens(text, "||"); ok {
		return r.evalOr(a, b)
	}
	if a, b, ok := cutOutsideParens(text, "&&"); ok {
		return r.evalAnd(a, b)
	}
	if rest, ok := strings.CutPrefix(text, "!"); ok {
		h, k := r.evalCondition(rest)
		return !h, k
	}
	if strings.HasPrefix(text, "(") && strings.HasSuffix(text, ")") {
		return r.evalCondition(text[1 : len(text)-1])
	}
	if n, err := strconv.Atoi(text); err == nil {
		return n != 0, true
	}
	return r.evalPredicate(text)
}

// evalPredicate evaluates defined(NAME), streq(A,B) and strneq(A,B).
func (r *sectionReader) evalPredicate(text string) (holds, known bool) {
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

// evalOr evaluates A || B. The result is known if one operand is known to hold or both are known.
func (r *sectionReader) evalOr(a, b string) (holds, known bool) {
	h1, k1 := r.evalCondition(a)
	h2, k2 := r.evalCondition(b)
	return h1 && k1 || h2 && k2, k1 && k2 || h1 && k1 || h2 && k2
}

// evalAnd evaluates A && B. The result is known if one operand is known not to hold or both are known.
func (r *sectionReader) evalAnd(a, b string) (holds, known bool) {
	h1, k1 := r.evalCondition(a)
	h2, k2 := r.evalCondition(b)
	return h1 && h2, k1 && k2 || k1 && !h1 || k2 && !h2
}

// cutOutsideParens cuts s around the first separator outside of parentheses.
func cutOutsideParens(s, sep string) (a, b string, ok bool) {
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

// split splits a line into words and returns the names of the environment variables that are not set.
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

// variable expands $NAME, ${NAME} or ${NAME-DEFAULT} at the start of s. It returns the value, the number of
// bytes read, and the name of the variable if it is not set and has no default.
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

// isNameByte reports whether a byte is allowed in the name of an environment variable.
func isNameByte(c byte) bool {
	return c == '_' || c >= '0' && c <= '9' || c >= 'A' && c <= 'Z' || c >= 'a' && c <= 'z'
}

// timeUnits are the suffixes of a time. A suffix that ends with another one precedes it, as "ms" precedes "s".
var timeUnits = []struct {
	suffix   string
	duration time.Duration
}{{"us", time.Microsecond}, {"ms", time.Millisecond}, {"s", time.Second}, {"m", time.Minute},
	{"h", time.Hour}, {"d", 24 * time.Hour}}

// parseDuration parses an integer with an optional unit. The default unit is milliseconds.
func parseDuration(s string) (time.Duration, error) {
	unit, digits := time.Millisecond, s
	for _, u := range timeUnits {
		if cut, ok := strings.CutSuffix(s, u.suffix); ok {
			unit, digits = u.duration, cut
			break
		}
	}
	v, err := strconv.ParseUint(digits, 10, 31)
	if err != nil {
		return 0, fmt.Errorf("%q is no time", s)
	}
	return time.Duration(v) * unit, nil
}
