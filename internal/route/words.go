package route

import (
	"errors"
	"strconv"
	"strings"
)

var (
	errQuote = errors.New("a quote is not closed")
	errSlash = errors.New("a backslash at the end of the line")
)

// Words cuts a line into words by the rules of HAProxy's configuration: blanks part
// words, quotes of both kinds and backslashes take their meaning away.
func Words(line string) ([]string, error) { return Splitter{}.Split(line) }

// Splitter cuts lines as they stand in a configuration of HAProxy.
type Splitter struct {
	Comments bool // an unquoted # ends the line
	// Variable reads an environment variable at the start of s, which begins with a dollar
	// sign within double quotes, and how many bytes of it that are; nil: it is a text.
	Variable func(s string) (value string, n int)
}

// Split cuts a line into words. With an error the words before the fault are returned.
func (s Splitter) Split(line string) (words []string, err error) {
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
			if i+1 == len(line) {
				return words, errSlash
			}
			in = true
			b, n := Unescape(line[i+1:])
			word.WriteString(b)
			i += n
		case quote == '"' && c == '"':
			quote = 0
		case quote == '"' && c == '$' && s.Variable != nil:
			value, n := s.Variable(line[i:])
			word.WriteString(value)
			i += n - 1
		case quote == '"':
			word.WriteByte(c)
		case c == '"' || c == '\'':
			quote, in = c, true
		case c == '#' && s.Comments:
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
		return words, errQuote
	}
	end()
	return words, nil
}

// Unescape reads what stands behind a backslash, and how many bytes of it that are. What
// is no escape sequence keeps its backslash, as regular expressions need.
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

// Line puts words into a line that Words cuts into the same.
func Line(words []string) string {
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
