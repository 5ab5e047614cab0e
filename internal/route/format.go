package route

import (
	"fmt"
	"strings"
)

// Format is a compiled format string. It supports sample expressions, %[EXPRESSION], and some of the
// aliases of HAProxy's log formats, such as %ci.
type Format struct {
	parts []formatPart
}

// formatPart is a literal text or, if fetch is not nil, a sample expression.
type formatPart struct {
	text  string
	fetch *fetch
}

// logFormatAliases are the supported log format aliases with their sample expressions.
var logFormatAliases = map[string]string{"ci": "src", "HM": "method", "HU": "url", "HP": "path", "HQ": "query"}

// ParseFormat parses a format string.
func ParseFormat(s string, files Files) (*Format, error) {
	f := &Format{}
	var text strings.Builder
	flush := func() {
		if text.Len() > 0 {
			f.parts = append(f.parts, formatPart{text: text.String()})
			text.Reset()
		}
	}
	for i := 0; i < len(s); i++ {
		if s[i] != '%' {
			text.WriteByte(s[i])
			continue
		}
		rest := s[i+1:]
		switch {
		case strings.HasPrefix(rest, "%"):
			text.WriteByte('%')
			i++
		case strings.HasPrefix(rest, "["):
			end := strings.IndexByte(rest, ']')
			if end < 0 {
				return nil, fmt.Errorf("%q lacks a closing bracket", s)
			}
			expr, err := parseFetch(strings.TrimSpace(rest[1:end]), files)
			if err != nil {
				return nil, err
			}
			flush()
			f.parts = append(f.parts, formatPart{fetch: expr})
			i += end + 1
		case len(rest) >= 2 && logFormatAliases[rest[:2]] != "":
			expr, err := parseFetch(logFormatAliases[rest[:2]], files)
			if err != nil {
				return nil, err
			}
			flush()
			f.parts = append(f.parts, formatPart{fetch: expr})
			i += 2
		default:
			return nil, unsupported("%q in a format", "%"+rest[:min(2, len(rest))])
		}
	}
	flush()
	return f, nil
}

// Literal returns the text of a format without samples. It reports false for other formats.
func (f *Format) Literal() (string, bool) {
	switch {
	case len(f.parts) == 0:
		return "", true
	case len(f.parts) == 1 && f.parts[0].fetch == nil:
		return f.parts[0].text, true
	}
	return "", false
}

// Expand evaluates the format for a request. It uses the last sample of a fetch that has several.
func (f *Format) Expand(q *Request) string {
	if s, ok := f.Literal(); ok {
		return s
	}
	var b strings.Builder
	for _, p := range f.parts {
		if p.fetch == nil {
			b.WriteString(p.text)
		} else if got := p.fetch.samples(q); len(got) > 0 {
			b.WriteString(got[len(got)-1])
		}
	}
	return b.String()
}
