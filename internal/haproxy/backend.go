package haproxy

import (
	"slices"
	"strconv"
	"strings"

	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/route"
)

// backendDirectives are the handlers of a backend's directives, by their first two words or the first.
var backendDirectives = map[string]handler{
	"server":               (*builder).server,
	"server-template":      (*builder).template,
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
	"option redispatch":    reportOnly(Differently, "always so: each further try goes to another server"),
	"retries":              (*builder).retries,
	"retry-on":             (*builder).retryOn,
	"timeout connect":      func(b *builder, w []string) { b.timeout(w, &b.backend.ConnectTimeout, "") },
	"timeout server": func(b *builder, w []string) {
		b.timeout(w, &b.backend.ServerTimeout, "until the head of an answer; a body may pause longer")
	},
	"timeout queue": func(b *builder, w []string) { b.timeout(w, &b.backend.QueueTimeout, "") },
	"timeout check": (*builder).checkTimeout,
	"fullconn":      reportOnly(NotNeeded, "only for minconn, which is not carried over"),
}

func (b *builder) defaultServer(w []string) {
	b.defaults = append(b.defaults, w[1:]...)
	if without, err := (&options{}).read(w[1:]); err != nil {
		b.fail("%v", err)
	} else {
		b.reportOptions(without, "for the servers that follow")
	}
}

func (b *builder) hashType(w []string) {
	if len(w) > 1 && w[1] == "consistent" {
		b.note(Carried, "rendezvous hashing")
	} else {
		b.note(Differently, "by rendezvous hashing: a server that leaves moves only its own")
	}
}

func (b *builder) tcpCheck([]string) {
	b.ensureCheck("tcp")
	b.note(Carried, "a check that connects")
}

// connectCheck handles checks in protocols that are not supported: they only connect.
func (b *builder) connectCheck([]string) {
	b.ensureCheck("tcp")
	b.note(Differently, "a check that only connects")
}

func (b *builder) allBackups([]string) {
	b.backend.AllBackups = true
	b.note(Carried, "")
}

func (b *builder) retries(w []string) {
	if len(w) != 2 {
		b.fail("retries takes a number")
		return
	}
	n, err := strconv.Atoi(w[1])
	if err != nil || n < 0 || n > 100 {
		b.fail("retries: %q is no number between 0 and 100", w[1])
		return
	}
	b.backend.Retries = &n
	b.note(Carried, "")
}

func (b *builder) checkTimeout(w []string) {
	if s, ok := b.seconds(w); ok {
		b.ensureCheck("")
		b.check.Timeout = s
		b.note(Carried, "")
	}
}

// ensureCheck makes a check if there is none, and sets its kind unless that is "".
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
		b.fail("balance takes an algorithm")
		return
	}
	k.Balance, k.HashOn = "", ""
	name, arg, _ := strings.Cut(w[1], "(")
	switch name {
	case "roundrobin":
		b.note(Carried, "")
	case "static-rr":
		b.note(Differently, "roundrobin")
	case "leastconn", "first":
		k.Balance = name
		b.note(Carried, "")
	case "random":
		k.Balance = "random"
		b.note(Differently, "by weight alone, without a second draw")
	case "source":
		b.hash("src", "")
	case "uri":
		how := ""
		if len(w) > 2 {
			how = ", without " + strings.Join(w[2:], " ")
		}
		b.hash("path", how)
	case "url_param":
		if len(w) < 3 {
			b.fail("balance url_param takes a name")
			return
		}
		b.hash("urlp("+w[2]+")", "")
	case "hdr":
		b.hash("hdr("+strings.TrimSuffix(arg, ")")+")", "")
	case "hash":
		b.hashExpression(w[2:])
	default:
		b.note(NotCarried, "balance %s: by turns instead", w[1])
	}
}

// hash balances by hashing an expression. The report has how after it.
func (b *builder) hash(on, how string) {
	b.backend.Balance, b.backend.HashOn = "hash", on
	b.note(Differently, "by rendezvous hashing of %s%s: other servers than HAProxy's table has, one and the same for each value", on, how)
}

func (b *builder) hashExpression(w []string) {
	if len(w) == 0 {
		b.fail("balance hash takes an expression")
		return
	}
	if _, err := route.ParseFormat("%["+w[0]+"]", b.importer.opt.Files); err != nil {
		b.reportOutcome(err, "")
		return
	}
	b.hash(w[0], "")
}

func (b *builder) cookie(w []string) {
	if len(w) < 2 {
		b.fail("cookie takes a name")
		return
	}
	c := &dispatchconfig.WebCookie{Name: w[1]}
	var without []string
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
				b.fail("cookie: domain lacks its value")
				return
			}
			c.Domain = w[i]
		case "maxidle", "maxlife", "attr":
			if i++; i == len(w) {
				b.fail("cookie: %s lacks its value", w[i-1])
				return
			}
			without = append(without, w[i-1])
		default:
			without = append(without, w[i])
		}
	}
	if !c.Insert {
		b.note(NotCarried, "only a cookie that is inserted ties clients to servers")
		return
	}
	b.backend.Cookie = c
	b.reportOptions(without, "")
}

func (b *builder) retryOn(w []string) {
	words := w[1:]
	var without []string
	var on []string
	for _, w := range words {
		switch {
		case slices.Contains(dispatchconfig.RetryConditions, w):
			on = append(on, w)
		case w == "all-retryable-errors":
			on = append(on, "conn-failure", "empty-response", "junk-response", "response-timeout", "500", "502", "503", "504")
		default:
			without = append(without, w)
		}
	}
	if len(words) == 0 {
		b.fail("retry-on takes what to retry on")
		return
	}
	slices.Sort(on)
	b.backend.RetryOn = slices.Compact(on)
	switch {
	case len(on) == 0:
		b.note(NotCarried, "%s: connections that fail are retried", strings.Join(without, ", "))
	case len(without) > 0:
		b.note(Differently, "without %s; only methods that may be repeated go out again", strings.Join(without, ", "))
	default:
		b.note(Differently, "only methods that may be repeated go out again once they may have run")
	}
}

// optionHTTPCheck reads option httpchk: [METHOD] [URI] [VERSION], and the header fields that may
// follow the version.
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
	b.note(Carried, "")
}

// httpCheck reads http-check expect and send; other rules are not carried over.
func (b *builder) httpCheck(w []string) {
	w = w[1:]
	if len(w) == 0 {
		b.fail("http-check lacks its rule")
		return
	}
	b.ensureCheck("http")
	rest := w[1:]
	switch w[0] {
	case "disable-on-404":
		b.note(NotCarried, "a server that answers 404 counts as down")
	case "send-state":
		b.note(NotCarried, "servers are not told how they stand")
	case "connect":
		if len(rest) == 0 {
			b.note(NotNeeded, "always so")
		} else {
			b.note(NotCarried, "a check connects once, to the server's address: see port and addr of the server")
		}
	case "send":
		b.checkSend(rest)
	case "expect":
		b.checkExpect(rest)
	default:
		b.note(NotCarried, "http-check %s", w[0])
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
			b.note(NotCarried, "%s of a check", rest[0])
			return
		}
		rest = rest[n:]
	}
	b.note(Carried, "")
}

// Keywords of http-check expect: options that are left out, each with its value, and kinds of expectations.
var (
	expectOptions = []string{"min-recv", "comment", "ok-status", "error-status", "tout-status", "on-success", "on-error", "status-code"}
	expectations  = []string{"status", "rstatus", "string", "rstring"}
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
		b.fail("http-check expect takes what and a value")
		return
	}
	if !slices.Contains(expectations, rest[0]) {
		b.note(NotCarried, "expect %s", rest[0])
		return
	}
	value := strings.Join(rest[1:], " ")
	b.check.Expect = append(b.check.Expect, not+route.JoinWords([]string{rest[0], value}))
	b.note(Carried, "")
}
