package route

import (
	"fmt"
	"slices"
	"strings"

	"sedgevale/internal/http1"
)

func headerFields(q *Request, request bool) *[]http1.Field {
	if request {
		return &q.Fields
	}
	return &q.Response
}

// framingHeaders are the header fields that determine message framing or connection handling. Rules must
// not change them, since that would allow request smuggling.
var framingHeaders = []string{"content-length", "transfer-encoding", "connection", "upgrade", "te", "trailer"}

// checkHeaderName returns an error for a header field that rules must not set.
func checkHeaderName(s string) error {
	if slices.Contains(framingHeaders, strings.ToLower(s)) {
		return unsupported("changing %s, which frames the message,", s)
	}
	if s == "" || strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r >= 0x7f || strings.ContainsRune("():;,/=\"", r) }) {
		return fmt.Errorf("%q is no name of a header field", s)
	}
	return nil
}

func headerAction(request bool, change func([]http1.Field, string, string) []http1.Field) actionParser {
	return func(args []string, files Files) (func(*Request) (*Answer, bool), error) {
		if len(args) != 2 {
			return nil, fmt.Errorf("needs a name and a value")
		}
		if err := checkHeaderName(args[0]); err != nil {
			return nil, err
		}
		value, err := ParseFormat(args[1], files)
		if err != nil {
			return nil, err
		}
		return func(q *Request) (*Answer, bool) {
			f := headerFields(q, request)
			*f = change(*f, args[0], sanitizeField(value.Expand(q)))
			q.invalidateSamples()
			return nil, false
		}, nil
	}
}

func parseDelHeader(request bool) actionParser {
	return func(args []string, _ Files) (func(*Request) (*Answer, bool), error) {
		if len(args) != 1 && len(args) != 3 {
			return nil, fmt.Errorf("needs a name")
		}
		matches := func(n string) bool { return strings.EqualFold(n, args[0]) }
		if len(args) == 3 {
			m, ok := matchers[args[2]]
			if args[1] != "-m" || !ok {
				return nil, unsupported("the arguments %s", strings.Join(args[1:], " "))
			}
			test, err := m([]string{strings.ToLower(args[0])}, false)
			if err != nil {
				return nil, err
			}
			matches = func(n string) bool { return test(strings.ToLower(n)) }
		} else if err := checkHeaderName(args[0]); err != nil {
			return nil, err
		}
		return func(q *Request) (*Answer, bool) {
			f := headerFields(q, request)
			var out []http1.Field
			for _, field := range *f {
				if !matches(field.Name) || slices.Contains(framingHeaders, strings.ToLower(field.Name)) {
					out = append(out, field)
				}
			}
			*f = out
			q.invalidateSamples()
			return nil, false
		}, nil
	}
}

// parseReplaceHeader parses replace-header or, if splitValues is set, replace-value, which applies the replacement
// to each comma-separated value.
func parseReplaceHeader(request, splitValues bool) actionParser {
	return func(args []string, files Files) (func(*Request) (*Answer, bool), error) {
		if len(args) != 3 {
			return nil, fmt.Errorf("needs a name, a regular expression and a replacement")
		}
		if err := checkHeaderName(args[0]); err != nil {
			return nil, err
		}
		change, err := parseReplacement(args[1], args[2], files)
		if err != nil {
			return nil, err
		}
		return func(q *Request) (*Answer, bool) {
			f := headerFields(q, request)
			out := slices.Clone(*f)
			for i := range out {
				if !strings.EqualFold(out[i].Name, args[0]) {
					continue
				}
				if !splitValues {
					out[i].Value = sanitizeField(change(q, out[i].Value))
					continue
				}
				values := strings.Split(out[i].Value, ",")
				for j, v := range values {
					values[j] = change(q, strings.TrimSpace(v))
				}
				out[i].Value = sanitizeField(strings.Join(values, ", "))
			}
			*f = out
			q.invalidateSamples()
			return nil, false
		}, nil
	}
}

// parseReplacement parses a regular expression and a format whose \1 to \9 refer to its groups.
func parseReplacement(pattern, format string, files Files) (func(*Request, string) string, error) {
	re, err := compileRegexp(pattern, false)
	if err != nil {
		return nil, err
	}
	f, err := ParseFormat(format, files)
	if err != nil {
		return nil, err
	}
	if s, fixed := f.Literal(); fixed {
		to := convertBackrefs(s)
		return func(_ *Request, s string) string { return replace(re, s, to, false) }, nil
	}
	return func(q *Request, s string) string { return replace(re, s, convertBackrefs(f.Expand(q)), false) }, nil
}

func parseReplace(get func(*Request) string, set func(*Request, string)) actionParser {
	return func(args []string, files Files) (func(*Request) (*Answer, bool), error) {
		if len(args) != 2 {
			return nil, fmt.Errorf("needs a regular expression and a replacement")
		}
		change, err := parseReplacement(args[0], args[1], files)
		if err != nil {
			return nil, err
		}
		return func(q *Request) (*Answer, bool) {
			if s := change(q, get(q)); isValidTarget(s) {
				set(q, s)
			}
			return nil, false
		}, nil
	}
}

// isValidTarget reports whether s is valid as a method or target in a request line.
func isValidTarget(s string) bool {
	return s != "" && strings.IndexFunc(s, func(r rune) bool { return r <= ' ' || r == 0x7f }) < 0
}

func formatAction(set func(*Request, string)) actionParser {
	return func(args []string, files Files) (func(*Request) (*Answer, bool), error) {
		if len(args) != 1 {
			return nil, fmt.Errorf("needs one value")
		}
		f, err := ParseFormat(args[0], files)
		if err != nil {
			return nil, err
		}
		return func(q *Request) (*Answer, bool) {
			if s := f.Expand(q); isValidTarget(s) {
				set(q, s)
			}
			return nil, false
		}, nil
	}
}
