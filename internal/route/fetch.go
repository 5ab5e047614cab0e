package route

import (
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"strconv"
	"strings"
)

// Files gives the content of a file that a pattern or a map names.
type Files func(path string) ([]byte, error)

// NoFiles is for rules that name none.
func NoFiles(path string) ([]byte, error) { return nil, fmt.Errorf("%s: %w", path, os.ErrNotExist) }

// fetch gives samples of a request: none, one, or several, as a header that comes twice.
type fetch struct {
	text  string // as it was written, for index and messages
	kind  kind
	get   func(q *Request) []string
	after []converter
}

// kind is what samples are.
type kind uint8

const (
	kindStr kind = iota
	kindInt
	kindIP
	kindBool
)

type converter func(string) (string, bool)

// samples returns what a fetch finds, and keeps it until the request is edited.
func (f *fetch) samples(q *Request) []string {
	if got, ok := q.memo[f]; ok {
		return got
	}
	got := f.get(q)
	if len(f.after) > 0 {
		out := make([]string, 0, len(got))
		for _, s := range got {
			ok := true
			for _, c := range f.after {
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
	if q.memo == nil {
		q.memo = map[*fetch][]string{}
	}
	q.memo[f] = got
	return got
}

func one(s string) []string { return []string{s} }

func flag(b bool) []string {
	if b {
		return one("1")
	}
	return one("0")
}

// ErrUnsupported is wrapped by errors that say what is not known here though it may be
// well formed.
type ErrUnsupported struct{ What string }

func (e *ErrUnsupported) Error() string { return e.What + " is not supported" }

func unsupported(format string, args ...any) error {
	return &ErrUnsupported{fmt.Sprintf(format, args...)}
}

// parseFetch reads an expression: a fetch with its arguments, and converters behind commas.
func parseFetch(text string, files Files) (*fetch, error) {
	name, rest := text, ""
	if i := endOfCall(text); i < len(text) {
		name, rest = text[:i], text[i:]
	}
	f := &fetch{text: text}
	word, args, err := call(name)
	if err != nil {
		return nil, err
	}
	if err := f.base(word, args); err != nil {
		return nil, err
	}
	for rest != "" {
		rest = rest[1:] // the comma
		i := endOfCall(rest)
		word, args, err := call(rest[:i])
		if err != nil {
			return nil, err
		}
		c, k, err := parseConverter(word, args, files)
		if err != nil {
			return nil, err
		}
		f.after, f.kind = append(f.after, c), k
		rest = rest[i:]
	}
	return f, nil
}

// endOfCall returns where the first comma stands that is not within parentheses.
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

// call reads name(a,b).
func call(s string) (name string, args []string, err error) {
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

func need(name string, args []string, n int) error {
	if len(args) < n {
		return fmt.Errorf("%s needs %d arguments in parentheses", name, n)
	}
	return nil
}

// base sets the fetch that a name stands for.
func (f *fetch) base(name string, args []string) error {
	switch name {
	case "path", "pathq":
		if name == "pathq" {
			f.get = func(q *Request) []string { return one(q.Target) }
		} else {
			f.get = func(q *Request) []string { return one(q.Path()) }
		}
	case "url":
		f.get = func(q *Request) []string { return one(q.Target) }
	case "query":
		f.get = func(q *Request) []string { return one(q.Query()) }
	case "base":
		f.get = func(q *Request) []string { return one(q.Header("Host") + q.Path()) }
	case "method":
		f.get = func(q *Request) []string { return one(q.Method) }
	case "req.ver", "req_ver":
		f.get = func(q *Request) []string { return one(q.Version) }
	case "src":
		f.kind = kindIP
		f.get = func(q *Request) []string { return one(q.Src.Unmap().String()) }
	case "dst_port", "fc_dst_port":
		f.kind = kindInt
		f.get = func(q *Request) []string { return one(strconv.Itoa(q.DstPort)) }
	case "ssl_fc":
		f.kind = kindBool
		f.get = func(q *Request) []string { return flag(q.TLS) }
	case "always_true", "always_false":
		f.kind = kindBool
		f.get = func(*Request) []string { return flag(name == "always_true") }
	case "status":
		f.kind = kindInt
		f.get = func(q *Request) []string { return one(strconv.Itoa(q.Status)) }
	case "hdr", "req.hdr", "req.fhdr", "hdr_cnt", "req.hdr_cnt", "res.hdr", "res.fhdr", "res.hdr_cnt":
		return f.header(name, args)
	case "url_param", "urlp":
		if err := need(name, args, 1); err != nil {
			return err
		}
		f.get = func(q *Request) []string { return q.param(args[0]) }
	case "cook", "req.cook":
		if err := need(name, args, 1); err != nil {
			return err
		}
		f.get = func(q *Request) []string { return q.cookie(args[0]) }
	case "var":
		if err := need(name, args, 1); err != nil {
			return err
		}
		f.get = func(q *Request) []string {
			if v, ok := q.vars[args[0]]; ok {
				return one(v)
			}
			return nil
		}
	case "rand":
		n := uint64(1 << 32)
		if len(args) > 0 {
			v, err := strconv.ParseUint(args[0], 10, 32)
			if err != nil || v == 0 {
				return fmt.Errorf("rand(%s): no positive number", args[0])
			}
			n = v
		}
		f.kind = kindInt
		f.get = func(q *Request) []string { return one(strconv.FormatUint(q.Rand%n, 10)) }
	case "nbsrv":
		if err := need(name, args, 1); err != nil {
			return err
		}
		f.kind = kindInt
		f.get = func(q *Request) []string {
			if q.Alive == nil {
				return one("0")
			}
			return one(strconv.Itoa(q.Alive(args[0])))
		}
	case "str":
		if err := need(name, args, 1); err != nil {
			return err
		}
		f.get = func(*Request) []string { return one(args[0]) }
	default:
		return unsupported("the sample %s", name)
	}
	return nil
}

// header fetches header fields: the values parted at commas, or, with fhdr, whole; all,
// or the one of a number, from the end if that is negative.
func (f *fetch) header(name string, args []string) error {
	if err := need(name, args, 1); err != nil {
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
	whole, answer := strings.HasSuffix(name, "fhdr"), strings.HasPrefix(name, "res.")
	values := func(q *Request) (out []string) {
		fields := q.Fields
		if answer {
			fields = q.Response
		}
		for i := range fields {
			if !strings.EqualFold(fields[i].Name, field) {
				continue
			}
			if whole || !strings.Contains(fields[i].Value, ",") {
				out = append(out, fields[i].Value)
				continue
			}
			for part := range strings.SplitSeq(fields[i].Value, ",") {
				out = append(out, strings.TrimSpace(part))
			}
		}
		return out
	}
	if strings.HasSuffix(name, "_cnt") {
		f.kind = kindInt
		f.get = func(q *Request) []string { return one(strconv.Itoa(len(values(q)))) }
		return nil
	}
	f.get = func(q *Request) []string {
		all := values(q)
		switch {
		case at == 0:
			return all
		case at > 0 && at <= len(all):
			return all[at-1 : at]
		case at < 0 && -at <= len(all):
			return all[len(all)+at : len(all)+at+1]
		}
		return nil
	}
	return nil
}

func parseConverter(name string, args []string, files Files) (converter, kind, error) {
	switch name {
	case "lower":
		return func(s string) (string, bool) { return strings.ToLower(s), true }, kindStr, nil
	case "upper":
		return func(s string) (string, bool) { return strings.ToUpper(s), true }, kindStr, nil
	case "length":
		return func(s string) (string, bool) { return strconv.Itoa(len(s)), true }, kindInt, nil
	case "host_only", "port_only":
		return func(s string) (string, bool) {
			host, port := s, ""
			if i := strings.LastIndexByte(s, ':'); i >= 0 && !strings.HasSuffix(s, "]") {
				host, port = s[:i], s[i+1:]
			}
			if name == "host_only" {
				return host, true
			}
			return port, port != ""
		}, kindStr, nil
	case "field", "word":
		if err := need(name, args, 2); err != nil {
			return nil, 0, err
		}
		n, err := strconv.Atoi(args[0])
		if err != nil || n == 0 || args[1] == "" {
			return nil, 0, fmt.Errorf("%s(%s): want a number and delimiters", name, strings.Join(args, ","))
		}
		delimiters := args[1]
		return func(s string) (string, bool) {
			parts := strings.FieldsFunc(s, func(r rune) bool { return strings.ContainsRune(delimiters, r) })
			if name == "field" {
				parts = cutAll(s, delimiters)
			}
			i := n - 1
			if n < 0 {
				i = len(parts) + n
			}
			if i < 0 || i >= len(parts) {
				return "", false
			}
			return parts[i], true
		}, kindStr, nil
	case "regsub":
		if err := need(name, args, 2); err != nil {
			return nil, 0, err
		}
		re, err := compileRegexp(args[0], len(args) > 2 && strings.Contains(args[2], "i"))
		if err != nil {
			return nil, 0, err
		}
		to, every := backrefs(args[1]), len(args) > 2 && strings.Contains(args[2], "g")
		return func(s string) (string, bool) { return replace(re, s, to, every), true }, kindStr, nil
	}
	if match, ok := strings.CutPrefix(name, "map"); ok {
		return parseMap(strings.TrimPrefix(match, "_"), args, files)
	}
	return nil, 0, unsupported("the converter %s", name)
}

func cutAll(s, delimiters string) (parts []string) {
	for {
		i := strings.IndexAny(s, delimiters)
		if i < 0 {
			return append(parts, s)
		}
		parts, s = append(parts, s[:i]), s[i+1:]
	}
}

// parseMap reads map_MATCH(FILE[,DEFAULT]): lines of a key and a value.
func parseMap(match string, args []string, files Files) (converter, kind, error) {
	if err := need("map", args, 1); err != nil {
		return nil, 0, err
	}
	if match == "" {
		match = "str"
	}
	if match == "str_str" {
		match = "str"
	}
	m, ok := methods[match]
	if !ok {
		return nil, 0, unsupported("the converter map_%s", match)
	}
	b, err := files(args[0])
	if err != nil {
		return nil, 0, fmt.Errorf("map: %w", err)
	}
	exact := map[string]string{}
	type entry struct {
		test  func(string) bool
		value string
	}
	var list []entry
	for _, line := range fileLines(b) {
		key, value, _ := strings.Cut(line, " ")
		if i := strings.IndexAny(line, " \t"); i >= 0 {
			key, value = line[:i], strings.TrimSpace(line[i:])
		}
		if match == "str" {
			if _, twice := exact[key]; !twice { // the first counts
				exact[key] = value
			}
			continue
		}
		test, err := m([]string{key}, false)
		if err != nil {
			return nil, 0, fmt.Errorf("map %s: %w", args[0], err)
		}
		list = append(list, entry{test, value})
	}
	return func(s string) (string, bool) {
		if v, ok := exact[s]; ok {
			return v, true
		}
		for i := range list {
			if list[i].test(s) {
				return list[i].value, true
			}
		}
		if len(args) > 1 {
			return args[1], true
		}
		return "", false
	}, kindStr, nil
}

func fileLines(b []byte) (out []string) {
	for line := range strings.Lines(string(b)) {
		if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") {
			out = append(out, line)
		}
	}
	return out
}

func compileRegexp(s string, fold bool) (*regexp.Regexp, error) {
	if fold {
		s = "(?i)" + s
	}
	re, err := regexp.Compile(s)
	if err != nil {
		return nil, unsupported("the regular expression %q (%v)", s, err)
	}
	return re, nil
}

// backrefs turns \1 into Go's ${1}.
func backrefs(s string) string {
	var b strings.Builder
	for i := 0; i < len(s); i++ {
		switch {
		case s[i] == '$':
			b.WriteString("$$")
		case s[i] == '\\' && i+1 < len(s) && s[i+1] >= '0' && s[i+1] <= '9':
			i++
			b.WriteString("${" + string(s[i]) + "}")
		case s[i] == '\\' && i+1 < len(s):
			i++
			b.WriteByte(s[i])
		default:
			b.WriteByte(s[i])
		}
	}
	return b.String()
}

// replace replaces the first match, or every one.
func replace(re *regexp.Regexp, s, to string, every bool) string {
	if every {
		return re.ReplaceAllString(s, to)
	}
	at := re.FindStringSubmatchIndex(s)
	if at == nil {
		return s
	}
	out := append([]byte(nil), s[:at[0]]...)
	out = re.ExpandString(out, to, s, at)
	return string(append(out, s[at[1]:]...))
}

// methods are the ways to match a sample against patterns.
var methods = map[string]func(patterns []string, fold bool) (func(string) bool, error){
	"str": matchExact,
	"beg": matchAny(strings.HasPrefix),
	"end": matchAny(strings.HasSuffix),
	"sub": matchAny(strings.Contains),
	"dir": matchAny(func(s, p string) bool { return within(s, p, "/?") }),
	"dom": matchAny(func(s, p string) bool { return within(s, p, "/?.:") }),
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

func matchExact(patterns []string, fold bool) (func(string) bool, error) {
	if len(patterns) == 1 && !fold {
		p := patterns[0]
		return func(s string) bool { return s == p }, nil
	}
	set := make(map[string]bool, len(patterns))
	for _, p := range patterns {
		if fold {
			p = strings.ToLower(p)
		}
		set[p] = true
	}
	return func(s string) bool {
		if fold {
			s = strings.ToLower(s)
		}
		return set[s]
	}, nil
}

func matchAny(test func(s, p string) bool) func([]string, bool) (func(string) bool, error) {
	return func(patterns []string, fold bool) (func(string) bool, error) {
		if fold {
			lower := make([]string, len(patterns))
			for i, p := range patterns {
				lower[i] = strings.ToLower(p)
			}
			patterns = lower
		}
		return func(s string) bool {
			if fold {
				s = strings.ToLower(s)
			}
			for _, p := range patterns {
				if test(s, p) {
					return true
				}
			}
			return false
		}, nil
	}
}

// within reports whether p stands in s between delimiters, or its ends.
func within(s, p, delimiters string) bool {
	p = strings.Trim(p, delimiters)
	for at := 0; ; {
		i := strings.Index(s[at:], p)
		if i < 0 || p == "" {
			return false
		}
		from, to := at+i, at+i+len(p)
		if (from == 0 || strings.IndexByte(delimiters, s[from-1]) >= 0) && (to == len(s) || strings.IndexByte(delimiters, s[to]) >= 0) {
			return true
		}
		at = from + 1
	}
}

func matchRegexp(patterns []string, fold bool) (func(string) bool, error) {
	var all []*regexp.Regexp
	for _, p := range patterns {
		re, err := compileRegexp(p, fold)
		if err != nil {
			return nil, err
		}
		all = append(all, re)
	}
	return func(s string) bool {
		for _, re := range all {
			if re.MatchString(s) {
				return true
			}
		}
		return false
	}, nil
}

// matchInt takes numbers, ranges as 1:10, and an operator before them.
func matchInt(patterns []string, _ bool) (func(string) bool, error) {
	type span struct{ from, to int64 }
	var spans []span
	op := "eq"
	for _, p := range patterns {
		switch p {
		case "eq", "ge", "gt", "le", "lt":
			op = p
			continue
		}
		lo, hi, isRange := strings.Cut(p, ":")
		if !isRange {
			hi = lo
		}
		const least, most = -1 << 62, 1 << 62
		from, err := number(lo, least)
		if err != nil {
			return nil, err
		}
		to, err := number(hi, most)
		if err != nil {
			return nil, err
		}
		switch op {
		case "ge":
			to = most
		case "gt":
			from, to = to+1, most
		case "le":
			from = least
		case "lt":
			from, to = least, from-1
		}
		spans = append(spans, span{from, to})
	}
	return func(s string) bool {
		v, err := strconv.ParseInt(s, 10, 64)
		if err != nil {
			return false
		}
		for _, p := range spans {
			if v >= p.from && v <= p.to {
				return true
			}
		}
		return false
	}, nil
}

func number(s string, absent int64) (int64, error) {
	if s == "" {
		return absent, nil
	}
	v, err := strconv.ParseInt(s, 10, 62)
	if err != nil {
		return 0, fmt.Errorf("%q is no number", s)
	}
	return v, nil
}

// matchIP takes addresses and networks.
func matchIP(patterns []string, _ bool) (func(string) bool, error) {
	var nets []netip.Prefix
	for _, p := range patterns {
		if a, err := netip.ParseAddr(p); err == nil {
			nets = append(nets, netip.PrefixFrom(a, a.BitLen()))
			continue
		}
		n, err := netip.ParsePrefix(p)
		if err != nil {
			// HAProxy takes a mask in place of a length, too.
			addr, mask, ok := strings.Cut(p, "/")
			a, err1 := netip.ParseAddr(addr)
			m, err2 := netip.ParseAddr(mask)
			if !ok || err1 != nil || err2 != nil || !a.Is4() || !m.Is4() {
				return nil, fmt.Errorf("%q is no address or network", p)
			}
			bits, b := 0, m.As4()
			for _, x := range b {
				for ; x&0x80 != 0; x <<= 1 {
					bits++
				}
			}
			n = netip.PrefixFrom(a, bits)
		}
		nets = append(nets, n.Masked())
	}
	return func(s string) bool {
		a, err := netip.ParseAddr(s)
		if err != nil {
			return false
		}
		for _, n := range nets {
			if n.Contains(a) {
				return true
			}
		}
		return false
	}, nil
}
