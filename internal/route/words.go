package route

import (
	"errors"
	"strconv"
	"strings"
)

var (
	errOpenQuote         = errors.New("a quote is not closed")
	errTrailingBackslash = errors.New("a backslash at the end of the line")
)

// SplitWords splits a line into words by the quoting rules of HAProxy's configuration: blanks separate words
// unless they are quoted or escaped.
func SplitWords(line string) ([]string, error) { return Splitter{}.Split(line) }

// Splitter splits lines of an HAProxy configuration into words.
type Splitter struct {
	Comments bool // whether an unquoted # starts a comment
	// Variable expands the environment variable at the start of s, which begins with a dollar sign inside
	// double quotes. It returns the value and the number of bytes read. If Variable is nil, dollar signs are
	// literal.
	Variable func(s string) (value string, n int)
}

// Split splits a line into words. With an error it also returns the complete words before the error.
func (s Splitter) Split(line string) (words []string, err error) {
	p := splitState{}
	for i := 0; i < len(line); {
		n, done, err := s.step(&p, line[i:])
		if err != nil || done {
			return p.words, err
		}
		i += n
	}
	if p.quote != 0 {
		return p.words, errOpenQuote
	}
	p.end()
	return p.words, nil
}

// splitState is the state of Split between two steps.
type splitState struct {
	words  []string        // complete words
	word   strings.Builder // the current word, without its quotes
	inWord bool            // there is a current word; a quoted word may be empty
	quote  byte            // the open quote; 0 outside of quotes
}

// end completes the current word, if any.
func (p *splitState) end() {
	if p.inWord {
		p.words = append(p.words, p.word.String())
	}
	p.word.Reset()
	p.inWord = false
}

// step processes the start of rest. It returns the number of bytes read and whether the rest of the line is
// a comment.
func (s Splitter) step(p *splitState, rest string) (n int, done bool, err error) {
	c := rest[0]
	switch {
	case c == '\\' && p.quote != '\'':
		n, err = p.escape(rest)
		return n, false, err
	case p.quote != 0:
		return s.quoted(p, rest), false, nil
	case c == '"' || c == '\'':
		p.quote, p.inWord = c, true
	case c == '#' && s.Comments:
		p.end()
		return 1, true, nil
	case c == ' ' || c == '\t' || c == '\r':
		p.end()
	default:
		p.inWord = true
		p.word.WriteByte(c)
	}
	return 1, false, nil
}

// quoted processes the start of rest inside quotes, except for escapes, which step handles. It returns the
// number of bytes read.
func (s Splitter) quoted(p *splitState, rest string) int {
	switch c := rest[0]; {
	case c == p.quote:
		p.quote = 0
	case c == '$' && p.quote == '"' && s.Variable != nil:
		value, n := s.Variable(rest)
		p.word.WriteString(value)
		return n
	default:
		p.word.WriteByte(c)
	}
	return 1
}

// escape processes a backslash and the escape sequence that it starts.
func (p *splitState) escape(rest string) (n int, err error) {
	if len(rest) == 1 {
		return 0, errTrailingBackslash
	}
	p.inWord = true
	text, n := Unescape(rest[1:])
	p.word.WriteString(text)
	return 1 + n, nil
}

// Unescape decodes the escape sequence s, whose backslash is removed, and returns the number of bytes read.
// An unknown sequence keeps its backslash, since regular expressions need it.
func Unescape(s string) (out string, n int) {
	switch s[0] {
	case 'n':
		return "\n", 1
	case 'r':
		return "\r", 1
	case 't':
		return "\t", 1
	case ' ', '\\', '#', '"', '\'', '$':
		return s[:1], 1
	case 'x':
		if len(s) >= 3 {
			if v, err := strconv.ParseUint(s[1:3], 16, 8); err == nil {
				return string([]byte{byte(v)}), 3
			}
		}
	}
	return "\\" + s[:1], 1
}

// JoinWords joins words into a line and quotes them as needed, so that SplitWords returns the same words.
func JoinWords(words []string) string {
	var b strings.Builder
	for i, w := range words {
		if i > 0 {
			b.WriteByte(' ')
		}
		if w != "" && !strings.ContainsAny(w, " \t\"'\\\n\r") {
			b.WriteString(w)
			continue
		}
		b.WriteByte('\'')
		for j := range len(w) {
			switch w[j] {
			case '\'':
				b.WriteString(`'\''`)
			default:
				b.WriteByte(w[j])
			}
		}
		b.WriteByte('\'')
	}
	return b.String()
}
