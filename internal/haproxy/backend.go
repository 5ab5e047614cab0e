package haproxy

import (
	"slices"
	"strconv"
	"strings"

	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/route"
)

// backendDirectives maps the directives of a backend, keyed by their first two words or by the first,
// to their handlers.
var backendDirectives = map[string]handler{
	"server":               (*builder).server,
	"server-template":      (*builder).serverTemplate,
	"default-server":       (*builder).defaultServer,
	"balance":              (*builder).balance,
	"hash-type":            (*builder).hashType,
	"http-request":         (*builder).requestRule,
	"http-response":        (*builder).responseRule,
	"redirect":             (*builder).redirectRule,
	"cookie":               (*builder).cookie,
	"option httpchk":       (*builder).optionHTTPCheck,
	"http-check":           (*builder).httpCheck,
	"option tcp-check":     (*builder).tcpCheck,
	"option ssl-hello-chk": (*builder).connectCheck,
	"option mysql-check":   (*builder).connectCheck,
	"option pgsql-check":   (*builder).connectCheck,
	"option redis-check":   (*builder).connectCheck,
	"option smtpchk":       (*builder).connectCheck,
	"option ldap-check":    (*builder).connectCheck,
	"option spop-check":    (*builder).connectCheck,
	"option allbackups":    (*builder).allBackups,
	"option forwardfor":    (*builder).forwardFor,
	"option redispatch":    reportOnly(CarriedDifferently, "always so: each further try goes to another server"),
	"retries":              (*builder).retries,
	"retry-on":             (*builder).retryOn,
	"timeout connect":      func(b *builder, w []string) { b.setTimeout(w, &b.backend.ConnectTimeout, "") },
	"timeout server": func(b *builder, w []string) {
		b.setTimeout(w, &b.backend.ServerTimeout, "until the head of an answer; a body may pause longer")
	},
	"timeout queue": func(b *builder, w []string) { b.setTimeout(w, &b.backend.QueueTimeout, "") },
	"timeout check": (*builder).checkTimeout,
	"fullconn":      reportOnly(NotNeeded, "only for minconn, which is not carried over"),
}

func (b *builder) defaultServer(w []string) {
	b.defaults = append(b.defaults, w[1:]...)
	if omitted, err := (&options{}).read(w[1:]); err != nil {
		b.errorf("%v", err)
	} else {
		b.reportOptions(omitted, "for the servers that follow")
	}
}

func (b *builder) hashType(w []string) {
	if len(w) > 1 && w[1] == "consistent" {
		b.addEntry(Carried, "rendezvous hashing")
	} else {
		b.addEntry(CarriedDifferently, "by rendezvous hashing: a server that leaves moves only its own")
	}
}

func (b *builder) tcpCheck([]string) {
	b.ensureCheck("tcp")
	b.addEntry(Carried, "a check that connects")
}

// connectCheck replaces a check in an unsupported protocol by a check that opens a TCP connection.
func (b *builder) connectCheck([]string) {
	b.ensureCheck("tcp")
	b.addEntry(CarriedDifferently, "a check that only connects")
}

func (b *builder) allBackups([]string) {
	b.backend.AllBackups = true
	b.addEntry(Carried, "")
}

func (b *builder) retries(w []string) {
	if len(w) != 2 {
		b.errorf("retries takes a number")
		return
	}
	n, err := strconv.Atoi(w[1])
	if err != nil || n < 0 || n > 100 {
		b.errorf("retries: %q is no number between 0 and 100", w[1])
		return
	}
	b.backend.Retries = &n
	b.addEntry(Carried, "")
}

func (b *builder) checkTimeout(w []string) {
	if s, ok := b.parseSeconds(w); ok {
		b.ensureCheck("")
		b.check.Timeout = s
		b.addEntry(Carried, "")
	}
}

// ensureCheck creates the health check of the backend if it has none. A kind other than "" replaces the
// kind of the check.
func (b *builder) ensureCheck(kind string) {
	if b.check == nil {
		b.check = &dispatchconfig.WebCheck{Kind: "tcp"}
	}
	if kind != "" {
		b.check.Kind = kind
	}
}

func (b *builder) balance(w []string) {
	k := b.backend
	if len(w) < 2 {
		b.errorf("balance takes an algorithm")
		return
	}
	k.Balance, k.HashOn = "", ""
	name, arg, _ := strings.Cut(w[1], "(")
	switch name {
	case "roundrobin":
		b.addEntry(Carried, "")
	case "static-rr":
		b.addEntry(CarriedDifferently, "roundrobin")
	case "leastconn", "first":
		k.Balance = name
		b.addEntry(Carried, "")
	case "random":
		k.Balance = "random"
		b.addEntry(CarriedDifferently, "by weight alone, without a second draw")
	case "source":
		b.balanceByHash("src", "")
	case "uri":
		suffix := ""
		if len(w) > 2 {
			suffix = ", without " + strings.Join(w[2:], " ")
		}
		b.balanceByHash("path", suffix)
	case "url_param":
		if len(w) < 3 {
			b.errorf("balance url_param takes a name")
			return
		}
		b.balanceByHash("urlp("+w[2]+")", "")
	case "hdr":
		b.balanceByHash("hdr("+strings.TrimSuffix(arg, ")")+")", "")
	case "hash":
		b.hashExpression(w[2:])
	default:
		b.addEntry(NotCarried, "balance %s: by turns instead", w[1])
	}
}

// balanceByHash selects hash balancing on a sample expression. The suffix follows the expression in the
// reason of the report entry.
func (b *builder) balanceByHash(expr, suffix string) {
	b.backend.Balance, b.backend.HashOn = "hash", expr
	b.addEntry(CarriedDifferently, "by rendezvous hashing of %s%s: other servers than HAProxy's table has, one and the same for each value", expr, suffix)
}

func (b *builder) hashExpression(w []string) {
	if len(w) == 0 {
		b.errorf("balance hash takes an expression")
		return
	}
	if _, err := route.ParseFormat("%["+w[0]+"]", b.importer.opt.Files); err != nil {
		b.reportOutcome(err, "")
		return
	}
	b.balanceByHash(w[0], "")
}

func (b *builder) cookie(w []string) {
	if len(w) < 2 {
		b.errorf("cookie takes a name")
		return
	}
	c := &dispatchconfig.WebCookie{Name: w[1]}
	var omitted []string
	for i := 2; i < len(w); i++ {
		switch w[i] {
		case "insert":
			c.Insert = true
		case "indirect":
			c.Indirect = true
		case "nocache":
			c.NoCache = true
		case "httponly":
			c.HTTPOnly = true
		case "secure":
			c.Secure = true
		case "domain":
			if i++; i == len(w) {
				b.errorf("cookie: domain lacks its value")
				return
			}
			c.Domain = w[i]
		case "maxidle", "maxlife", "attr":
			if i++; i == len(w) {
				b.errorf("cookie: %s lacks its value", w[i-1])
				return
			}
			omitted = append(omitted, w[i-1])
		default:
			omitted = append(omitted, w[i])
		}
	}
	if !c.Insert {
		b.addEntry(NotCarried, "only a cookie that is inserted ties clients to servers")
		return
	}
	b.backend.Cookie = c
	b.reportOptions(omitted, "")
}

func (b *builder) retryOn(w []string) {
	words := w[1:]
	var omitted []string
	var on []string
	for _, w := range words {
		switch {
		case slices.Contains(dispatchconfig.RetryConditions, w):
			on = append(on, w)
		case w == "all-retryable-errors":
			on = append(on, "conn-failure", "empty-response", "junk-response", "response-timeout", "500", "502", "503", "504")
		default:
			omitted = append(omitted, w)
		}
	}
	if len(words) == 0 {
		b.errorf("retry-on takes what to retry on")
		return
	}
	slices.Sort(on)
	b.backend.RetryOn = slices.Compact(on)
	switch {
	case len(on) == 0:
		b.addEntry(NotCarried, "%s: connections that fail are retried", strings.Join(omitted, ", "))
	case len(omitted) > 0:
		b.addEntry(CarriedDifferently, "without %s; only methods that may be repeated go out again", strings.Join(omitted, ", "))
	default:
		b.addEntry(CarriedDifferently, "only methods that may be repeated go out again once they may have run")
	}
}

// optionHTTPCheck parses option httpchk [METHOD] [URI] [VERSION]. Header fields may follow the version,
// separated by CRLF.
func (b *builder) optionHTTPCheck(w []string) {
	w = w[2:]
	b.ensureCheck("http")
	c := b.check
	switch len(w) {
	case 0:
	case 1:
		c.URI = w[0]
	default:
		c.Method, c.URI = w[0], w[1]
	}
	if len(w) > 2 {
		version, rest, _ := strings.Cut(w[2], "\r\n")
		c.Version = strings.TrimPrefix(version, "HTTP/")
		for line := range strings.SplitSeq(strings.Join(append([]string{rest}, w[3:]...), " "), "\r\n") {
			if line = strings.TrimSpace(line); line != "" {
				c.Headers = append(c.Headers, line)
			}
		}
	}
	b.addEntry(Carried, "")
}

// httpCheck parses the http-check directives. Only send, expect and connect without arguments are imported.
func (b *builder) httpCheck(w []string) {
	w = w[1:]
	if len(w) == 0 {
		b.errorf("http-check lacks its rule")
		return
	}
	b.ensureCheck("http")
	rest := w[1:]
	switch w[0] {
	case "disable-on-404":
		b.addEntry(NotCarried, "a server that answers 404 counts as down")
	case "send-state":
		b.addEntry(NotCarried, "servers are not told how they stand")
	case "connect":
		if len(rest) == 0 {
			b.addEntry(NotNeeded, "always so")
		} else {
			b.addEntry(NotCarried, "a check connects once, to the server's address: see port and addr of the server")
		}
	case "send":
		b.checkSend(rest)
	case "expect":
		b.checkExpect(rest)
	default:
		b.addEntry(NotCarried, "http-check %s", w[0])
	}
}

// checkSend parses the arguments of http-check send.
func (b *builder) checkSend(rest []string) {
	c := b.check
	for len(rest) > 0 {
		n := 2
		switch {
		case rest[0] == "meth" && len(rest) > 1:
			c.Method = rest[1]
		case rest[0] == "uri" && len(rest) > 1:
			c.URI = rest[1]
		case rest[0] == "ver" && len(rest) > 1:
			c.Version = strings.TrimPrefix(rest[1], "HTTP/")
		case rest[0] == "hdr" && len(rest) > 2:
			c.Headers = append(c.Headers, rest[1]+": "+rest[2])
			n = 3
		default:
			b.addEntry(NotCarried, "%s of a check", rest[0])
			return
		}
		rest = rest[n:]
	}
	b.addEntry(Carried, "")
}

var (
	// expectOptions are the options of http-check expect that are ignored. Each takes a value.
	expectOptions = []string{"min-recv", "comment", "ok-status", "error-status", "tout-status", "on-success", "on-error", "status-code"}
	// expectations are the supported kinds of http-check expect.
	expectations = []string{"status", "rstatus", "string", "rstring"}
)

// checkExpect parses the arguments of http-check expect.
func (b *builder) checkExpect(rest []string) {
	for len(rest) > 1 && slices.Contains(expectOptions, rest[0]) {
		rest = rest[2:]
	}
	not := ""
	if len(rest) > 0 && rest[0] == "!" {
		not, rest = "! ", rest[1:]
	}
	if len(rest) < 2 {
		b.errorf("http-check expect takes what and a value")
		return
	}
	if !slices.Contains(expectations, rest[0]) {
		b.addEntry(NotCarried, "expect %s", rest[0])
		return
	}
	value := strings.Join(rest[1:], " ")
	b.check.Expect = append(b.check.Expect, not+route.JoinWords([]string{rest[0], value}))
	b.addEntry(Carried, "")
}
