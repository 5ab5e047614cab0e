package route

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"sedgevale/internal/http1"
)

// Files reads a pattern or map file that a rule refers to.
type Files func(path string) ([]byte, error)

// NoFiles is a Files without any file.
func NoFiles(path string) ([]byte, error) { return nil, fmt.Errorf("%s: %w", path, os.ErrNotExist) }

// fetch extracts samples from a request. A fetch has several samples if, for example, a header field is
// repeated.
type fetch struct {
	text       string // expression as written; identifies the fetch in the index
	kind       kind
	get        func(q *Request) []string
	converters []converter
}

// kind is the type of a sample.
type kind uint8

const (
	kindStr kind = iota
	kindInt
	kindIP
	kindBool
)

type converter func(string) (string, bool)

// samples returns the samples of a request. They are cached until a rule edits the request.
func (f *fetch) samples(q *Request) []string {
	if got, ok := q.sampleCache[f]; ok {
		return got
	}
	got := f.get(q)
	if len(f.converters) > 0 {
		out := make([]string, 0, len(got))
		for _, s := range got {
			ok := true
			for _, c := range f.converters {
				if s, ok = c(s); !ok {
					break
				}
			}
			if ok {
				out = append(out, s)
			}
		}
		got = out
	}
	if q.sampleCache == nil {
		q.sampleCache = map[*fetch][]string{}
	}
	q.sampleCache[f] = got
	return got
}

func singleSample(s string) []string { return []string{s} }

func boolSample(b bool) []string {
	if b {
		return singleSample("1")
	}
	return singleSample("0")
}

// UnsupportedError reports a well-formed element of a rule that is not supported.
type UnsupportedError struct{ What string }

func (e *UnsupportedError) Error() string { return e.What + " is not supported" }

func unsupported(format string, args ...any) error {
	return &UnsupportedError{fmt.Sprintf(format, args...)}
}

// parseFetch parses a sample expression: a fetch with its arguments, followed by converters separated by
// commas.
func parseFetch(text string, files Files) (*fetch, error) {
	call, rest := text, ""
	if i := endOfCall(text); i < len(text) {
		call, rest = text[:i], text[i:]
	}
	f := &fetch{text: text}
	name, args, err := parseCall(call)
	if err != nil {
		return nil, err
	}
	if err := f.resolve(name, args); err != nil {
		return nil, err
	}
	for rest != "" {
		rest = rest[1:] // the comma
		i := endOfCall(rest)
		name, args, err := parseCall(rest[:i])
		if err != nil {
			return nil, err
		}
		c, k, err := parseConverter(name, args, files)
		if err != nil {
			return nil, err
		}
		f.converters, f.kind = append(f.converters, c), k
		rest = rest[i:]
	}
	return f, nil
}

// endOfCall returns the index of the first comma outside of parentheses, or the length of s.
func endOfCall(s string) int {
	depth := 0
	for i := range len(s) {
		switch s[i] {
		case '(':
			depth++
		case ')':
			depth--
		case ',':
			if depth == 0 {
				return i
			}
		}
	}
	return len(s)
}

// parseCall parses NAME or NAME(ARG,...).
func parseCall(s string) (name string, args []string, err error) {
	name, rest, ok := strings.Cut(s, "(")
	if !ok {
		return s, nil, nil
	}
	if !strings.HasSuffix(rest, ")") {
		return "", nil, fmt.Errorf("%q lacks its closing parenthesis", s)
	}
	if rest = rest[:len(rest)-1]; rest == "" {
		return name, nil, nil
	}
	return name, strings.Split(rest, ","), nil
}

func requireArgs(name string, args []string, n int) error {
	if len(args) < n {
		return fmt.Errorf("%s needs %d arguments in parentheses", name, n)
	}
	return nil
}

// fetchFunc implements a sample fetch that takes no arguments.
type fetchFunc struct {
	kind kind
	get  func(q *Request) []string
}

// fetchesWithoutArgs are the sample fetches that take no arguments, by name. Arguments given to them are
// ignored.
var fetchesWithoutArgs = map[string]fetchFunc{
	"path":         {kindStr, func(q *Request) []string { return singleSample(q.Path()) }},
	"pathq":        {kindStr, func(q *Request) []string { return singleSample(q.Target) }},
	"url":          {kindStr, func(q *Request) []string { return singleSample(q.Target) }},
	"query":        {kindStr, func(q *Request) []string { return singleSample(q.Query()) }},
	"base":         {kindStr, func(q *Request) []string { return singleSample(q.Header("Host") + q.Path()) }},
	"method":       {kindStr, func(q *Request) []string { return singleSample(q.Method) }},
	"req.ver":      {kindStr, func(q *Request) []string { return singleSample(q.Version) }},
	"req_ver":      {kindStr, func(q *Request) []string { return singleSample(q.Version) }},
	"src":          {kindIP, func(q *Request) []string { return singleSample(q.Src.Unmap().String()) }},
	"dst_port":     {kindInt, func(q *Request) []string { return singleSample(strconv.Itoa(q.DstPort)) }},
	"fc_dst_port":  {kindInt, func(q *Request) []string { return singleSample(strconv.Itoa(q.DstPort)) }},
	"ssl_fc":       {kindBool, func(q *Request) []string { return boolSample(q.TLS) }},
	"always_true":  {kindBool, func(*Request) []string { return boolSample(true) }},
	"always_false": {kindBool, func(*Request) []string { return boolSample(false) }},
	"status":       {kindInt, func(q *Request) []string { return singleSample(strconv.Itoa(q.Status)) }},
}

// fetchesWithArg are the sample fetches that require an argument, by name.
var fetchesWithArg = map[string]func(f *fetch, arg string){
	"url_param": (*fetch).param,
	"urlp":      (*fetch).param,
	"cook":      (*fetch).cookie,
	"req.cook":  (*fetch).cookie,
	"var":       (*fetch).variable,
	"nbsrv":     (*fetch).servers,
	"str":       func(f *fetch, arg string) { f.get = func(*Request) []string { return singleSample(arg) } },
}

func (f *fetch) param(name string) {
	f.get = func(q *Request) []string { return q.param(name) }
}

func (f *fetch) cookie(name string) {
	f.get = func(q *Request) []string { return q.cookie(name) }
}

func (f *fetch) variable(name string) {
	f.get = func(q *Request) []string {
		if v, ok := q.vars[name]; ok {
			return singleSample(v)
		}
		return nil
	}
}

// servers fetches the number of serving servers of a backend.
func (f *fetch) servers(backend string) {
	f.kind = kindInt
	f.get = func(q *Request) []string {
		if q.ServingServers == nil {
			return singleSample("0")
		}
		return singleSample(strconv.Itoa(q.ServingServers(backend)))
	}
}

// resolve sets up f as the sample fetch of a name.
func (f *fetch) resolve(name string, args []string) error {
	if s, ok := fetchesWithoutArgs[name]; ok {
		f.kind, f.get = s.kind, s.get
		return nil
	}
	if set, ok := fetchesWithArg[name]; ok {
		if err := requireArgs(name, args, 1); err != nil {
			return err
		}
		set(f, args[0])
		return nil
	}
	switch name {
	case "hdr", "req.hdr", "req.fhdr", "hdr_cnt", "req.hdr_cnt", "res.hdr", "res.fhdr", "res.hdr_cnt":
		return f.header(name, args)
	case "rand":
		return f.random(args)
	}
	return unsupported("the sample %s", name)
}

// random fetches a random integer in [0, n). The default of n is 2^32.
func (f *fetch) random(args []string) error {
	n := uint64(1 << 32)
	if len(args) > 0 {
		v, err := strconv.ParseUint(args[0], 10, 32)
		if err != nil || v == 0 {
			return fmt.Errorf("rand(%s): no positive number", args[0])
		}
		n = v
	}
	f.kind = kindInt
	f.get = func(q *Request) []string { return singleSample(strconv.FormatUint(q.Rand%n, 10)) }
	return nil
}

// header fetches the values of a header field, split at commas unless the fetch is an fhdr. An optional
// second argument selects the value at a position, counted from the end if it is negative.
func (f *fetch) header(name string, args []string) error {
	if err := requireArgs(name, args, 1); err != nil {
		return err
	}
	field, at := args[0], 0
	if len(args) > 1 {
		n, err := strconv.Atoi(args[1])
		if err != nil {
			return fmt.Errorf("%s(%s): no number", name, strings.Join(args, ","))
		}
		at = n
	}
	unsplit, response := strings.HasSuffix(name, "fhdr"), strings.HasPrefix(name, "res.")
	values := func(q *Request) []string {
		if response {
			return headerValues(q.Response, field, unsplit)
		}
		return headerValues(q.Fields, field, unsplit)
	}
	if strings.HasSuffix(name, "_cnt") {
		f.kind = kindInt
		f.get = func(q *Request) []string { return singleSample(strconv.Itoa(len(values(q)))) }
		return nil
	}
	f.get = func(q *Request) []string {
		got := values(q)
		switch {
		case at == 0:
			return got
		case at > 0 && at <= len(got):
			return got[at-1 : at]
		case at < 0 && -at <= len(got):
			return got[len(got)+at : len(got)+at+1]
		}
		return nil
	}
	return nil
}

// headerValues returns the values of all fields of a name, split at commas unless unsplit is set.
func headerValues(fields []http1.Field, name string, unsplit bool) (out []string) {
	for i := range fields {
		if !strings.EqualFold(fields[i].Name, name) {
			continue
		}
		if unsplit || !strings.Contains(fields[i].Value, ",") {
			out = append(out, fields[i].Value)
			continue
		}
		for value := range strings.SplitSeq(fields[i].Value, ",") {
			out = append(out, strings.TrimSpace(value))
		}
	}
	return out
}

// matchers compile patterns by match method. The functions they return report whether a sample matches any
// pattern.
var matchers = map[string]func(patterns []string, foldCase bool) (func(string) bool, error){
	"str": matchExact,
	"beg": matchAny(strings.HasPrefix),
	"end": matchAny(strings.HasSuffix),
	"sub": matchAny(strings.Contains),
	"dir": matchAny(func(s, p string) bool { return containsDelimited(s, p, "/?") }),
	"dom": matchAny(func(s, p string) bool { return containsDelimited(s, p, "/?.:") }),
	"reg": matchRegexp,
	"int": matchInt,
	"ip":  matchIP,
	"len": func(patterns []string, _ bool) (func(string) bool, error) {
		test, err := matchInt(patterns, false)
		if err != nil {
			return nil, err
		}
		return func(s string) bool { return test(strconv.Itoa(len(s))) }, nil
	},
	"found": func([]string, bool) (func(string) bool, error) { return func(string) bool { return true }, nil },
	"bool": func(patterns []string, _ bool) (func(string) bool, error) {
		if len(patterns) == 0 {
			return func(s string) bool { return s != "0" && s != "" }, nil
		}
		return matchInt(patterns, false)
	},
}
