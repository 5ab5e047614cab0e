package haproxy_test

import (
	"net"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

func (q *referenceRequest) values(name string) (out []string) {
	for _, h := range q.headers {
		if strings.EqualFold(h[0], name) {
			for _, v := range strings.Split(h[1], ",") {
				out = append(out, strings.TrimSpace(v))
			}
		}
	}
	if strings.EqualFold(name, "host") {
		out = append(out, q.host)
	}
	return out
}

// sample evaluates a sample expression with its converters.
func (c *referenceConfig) sample(expr string, q *referenceRequest) (out []string, ok bool) {
	parts := referenceSplit(expr)
	name, arg, _ := strings.Cut(strings.TrimSuffix(parts[0], ")"), "(")
	switch name {
	case "path":
		out = []string{q.path}
	case "method":
		out = []string{q.method}
	case "src":
		out = []string{q.src}
	case "hdr", "req.hdr":
		out = q.values(arg)
	case "hdr_cnt":
		out = []string{strconv.Itoa(len(q.values(arg)))}
	case "cook":
		out = q.cookies(arg)
	case "url_param", "urlp":
		out = q.params(arg)
	case "always_true":
		out = []string{"1"}
	case "ssl_fc", "sc_http_req_rate": // the test uses neither TLS nor high request rates
		out = []string{"0"}
	default:
		return nil, false
	}
	for _, conv := range parts[1:] {
		name, arg, _ := strings.Cut(strings.TrimSuffix(conv, ")"), "(")
		for i := range out {
			switch name {
			case "lower":
				out[i] = strings.ToLower(out[i])
			case "map":
				file, fallback, _ := strings.Cut(arg, ",")
				out[i] = c.lookup(file, out[i], fallback)
			}
		}
	}
	return out, true
}

func (q *referenceRequest) cookies(name string) (out []string) {
	for _, v := range q.headers {
		if strings.EqualFold(v[0], "cookie") {
			for _, p := range strings.Split(v[1], ";") {
				if k, x, _ := strings.Cut(strings.TrimSpace(p), "="); k == name {
					out = append(out, x)
				}
			}
		}
	}
	return out
}

func (q *referenceRequest) params(name string) (out []string) {
	for _, p := range strings.Split(q.query, "&") {
		if k, x, _ := strings.Cut(p, "="); k == name && p != "" {
			out = append(out, x)
		}
	}
	return out
}

// lookup returns the value of a key in a map file, or the fallback.
func (c *referenceConfig) lookup(file, key, fallback string) string {
	for _, l := range strings.Split(c.files[file], "\n") {
		if f := strings.Fields(l); len(f) == 2 && f[0] == key {
			return f[1]
		}
	}
	return fallback
}

func referenceSplit(s string) (out []string) {
	depth, from := 0, 0
	for i, r := range s {
		switch {
		case r == '(':
			depth++
		case r == ')':
			depth--
		case r == ',' && depth == 0:
			out = append(out, s[from:i])
			from = i + 1
		}
	}
	return append(out, s[from:])
}

// test evaluates the criterion of an access list.
func (c *referenceConfig) test(t []string, q *referenceRequest) bool {
	expr, how := referenceMethod(t[0])
	how, fold, rest := referenceFlags(how, t[1:])
	got, ok := c.sample(expr, q)
	if !ok {
		return false
	}
	for _, v := range got {
		if expr == "always_true" || expr == "ssl_fc" {
			return v == "1"
		}
		op := ""
		for _, p := range rest {
			if slices.Contains([]string{"ge", "gt", "le", "lt", "eq"}, p) {
				op = p
				continue
			}
			a, b := v, p
			if fold {
				a, b = strings.ToLower(a), strings.ToLower(b)
			}
			if op != "" && referenceCompare(op, a, b) || op == "" && referenceMatch(expr, how, a, b) {
				return true
			}
		}
	}
	return false
}

// referenceMethod splits the name of a sample into the fetch and the match method.
func referenceMethod(sample string) (expr, how string) {
	expr = sample
	name, _, _ := strings.Cut(expr, "(")
	for _, m := range []string{"_beg", "_end", "_reg", "_dir", "_sub", "_dom"} {
		if strings.HasSuffix(name, m) {
			how = m[1:]
			expr = strings.Replace(expr, m, "", 1)
		}
	}
	return expr, how
}

// referenceFlags parses the flags before the patterns.
func referenceFlags(method string, words []string) (how string, fold bool, rest []string) {
	how, rest = method, words
	for len(rest) > 0 && strings.HasPrefix(rest[0], "-") {
		if rest[0] == "-i" {
			fold = true
		}
		if rest[0] == "-m" {
			how = rest[1]
			rest = rest[1:]
		}
		rest = rest[1:]
	}
	return how, fold, rest
}

func referenceCompare(op, a, b string) bool {
	x, _ := strconv.Atoi(a)
	y, _ := strconv.Atoi(b)
	return op == "ge" && x >= y || op == "gt" && x > y || op == "le" && x <= y || op == "lt" && x < y || op == "eq" && x == y
}

func referenceMatch(expr, how, a, b string) bool {
	switch {
	case expr == "src":
		ip := net.ParseIP(a)
		if _, n, err := net.ParseCIDR(b); err == nil {
			return n.Contains(ip)
		}
		return ip.Equal(net.ParseIP(b))
	case how == "beg":
		return strings.HasPrefix(a, b)
	case how == "end":
		return strings.HasSuffix(a, b)
	case how == "sub":
		return strings.Contains(a, b)
	case how == "reg":
		return regexp.MustCompile(b).MatchString(a)
	case how == "dir":
		return slices.Contains(strings.Split(a, "/"), b)
	}
	return a == b
}

// holds evaluates a condition, whose first word is "if" or "unless".
func (c *referenceConfig) holds(s *referenceSection, words []string, q *referenceRequest) bool {
	if len(words) == 0 {
		return true
	}
	holds := false
	all := true
	for i := 1; i < len(words); i++ {
		w := words[i]
		if w == "or" || w == "||" {
			holds = holds || all
			all = true
			continue
		}
		not := strings.HasPrefix(w, "!")
		w = strings.TrimPrefix(w, "!")
		termHolds := false
		switch w {
		case "{":
			end := slices.Index(words[i:], "}") + i
			termHolds = c.test(words[i+1:end], q)
			i = end
		case "METH_POST":
			termHolds = q.method == "POST"
		case "METH_GET":
			termHolds = q.method == "GET" || q.method == "HEAD"
		default:
			for _, a := range c.lines(s, "acl") {
				if a[1] == w && c.test(a[2:], q) {
					termHolds = true
				}
			}
		}
		if termHolds == not {
			all = false
		}
	}
	holds = holds || all
	return holds == (words[0] == "if")
}

func referenceCutCondition(words []string) (act, cond []string) {
	for i, w := range words {
		if w == "if" || w == "unless" {
			return words[:i], words[i:]
		}
	}
	return words, nil
}

// format expands the %[...] of a format string.
func (c *referenceConfig) format(s string, q *referenceRequest) string {
	return regexp.MustCompile(`%\[([^\]]*)\]`).ReplaceAllStringFunc(s, func(m string) string {
		got, _ := c.sample(m[2:len(m)-1], q)
		if len(got) == 0 {
			return ""
		}
		return got[len(got)-1]
	})
}
