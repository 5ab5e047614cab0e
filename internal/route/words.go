package route

import (
	"errors"
	"strconv"
	"strings"
)

var (
	errQuote = errors.New("a quote is not closed")
	errSlash = errors.New("a backslash at the end")
)

// Words cuts a line into words by the rules of HAProxy's configuration: blanks part
// words, quotes of both kinds and backslashes take their meaning away.
func Words(line string) (words []string, err error) {
	var word strings.Builder
	in, quote := false, byte(0)
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
				return nil, errSlash
			}
			in = true
			b, n := Unescape(line[i+1:])
			word.WriteString(b)
			i += n
		case quote == '"':
			if c == '"' {
				quote = 0
			} else {
				word.WriteByte(c)
			}
		case c == '"' || c == '\'':
			quote, in = c, true
		case c == ' ' || c == '\t':
			if in {
				words = append(words, word.String())
			}
			word.Reset()
			in = false
		default:
			in = true
			word.WriteByte(c)
		}
	}
	if quote != 0 {
		return nil, errQuote
	}
	if in {
		words = append(words, word.String())
	}
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
