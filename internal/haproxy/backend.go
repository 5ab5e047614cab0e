package haproxy

import (
	"slices"
	"strconv"
	"strings"

	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/route"
)

// backend deals with a directive of a backend, and reports whether it is one.
func (b *builder) backend(w []string) bool {
	k := b.back
	two := w[0]
	if len(w) > 1 {
		two += " " + w[1]
	}
	time := func(to *float64, reason string) {
		if s, ok := b.seconds(w, 2); ok {
			*to = s
			b.note(Carried, "%s", reason)
		}
	}
	switch {
	case w[0] == "server":
		b.server(w)
	case w[0] == "server-template":
		b.template(w)
	case w[0] == "default-server":
		b.base = append(b.base, w[1:]...)
		if without, err := (&options{}).read(b, w[1:]); err != nil {
			b.fail("%v", err)
		} else {
			b.options(without, "for the servers that follow")
		}
	case w[0] == "balance":
		b.balance(w)
	case w[0] == "hash-type":
		if len(w) > 1 && w[1] == "consistent" {
			b.note(Carried, "rendezvous hashing")
		} else {
			b.note(Differently, "by rendezvous hashing: a server that leaves moves only its own")
		}
	case w[0] == "http-request":
		b.rule(w[1:], b.lists.ParseRequestRule, &k.Request, how(w))
	case w[0] == "http-response":
		b.rule(w[1:], b.lists.ParseResponseRule, &k.Response, "")
	case w[0] == "redirect":
		b.rule(w, b.lists.ParseRequestRule, &b.redirect, "")
	case w[0] == "cookie":
		b.cookie(w)
	case two == "option httpchk":
		b.httpchk(w[2:])
	case w[0] == "http-check":
		b.httpCheck(w[1:])
	case two == "option tcp-check":
		b.inter = true
		b.kind("tcp")
		b.note(Carried, "a check that connects")
	case slices.Contains([]string{"option ssl-hello-chk", "option mysql-check", "option pgsql-check", "option redis-check", "option smtpchk",
		"option ldap-check", "option spop-check"}, two):
		b.inter = true
		b.kind("tcp")
		b.note(Differently, "a check that only connects")
	case two == "option allbackups":
		k.AllBackups = true
		b.note(Carried, "")
	case two == "option forwardfor":
		k.ForwardFor = true
		if len(w) > 2 {
			b.note(Differently, "always added, without %s", strings.Join(w[2:], " "))
		} else {
			b.note(Carried, "")
		}
	case two == "option redispatch":
		b.note(Differently, "always so: each further try goes to another server")
	case w[0] == "retries":
		if len(w) != 2 {
			b.fail("retries takes a number")
			break
		}
		n, err := strconv.Atoi(w[1])
		if err != nil || n < 0 || n > 100 {
			b.fail("retries: %q is no number between 0 and 100", w[1])
			break
		}
		k.Retries = &n
		b.note(Carried, "")
	case w[0] == "retry-on":
		b.retryOn(w[1:])
	case two == "timeout connect":
		time(&k.ConnectTimeout, "")
	case two == "timeout server":
		time(&k.ServerTimeout, "until the head of an answer; a body may pause longer")
	case two == "timeout queue":
		time(&k.QueueTimeout, "")
	case two == "timeout check":
		if s, ok := b.seconds(w, 2); ok {
			b.kind("")
			b.check.Timeout = s
			b.note(Carried, "")
		}
	case w[0] == "fullconn":
		b.note(NotNeeded, "only for minconn, which is not carried over")
	default:
		return false
	}
	return true
}

// kind makes sure that there is a check, and says of which kind unless that is "".
func (b *builder) kind(kind string) {
	if b.check == nil {
		b.check = &dispatchconfig.WebCheck{Kind: "tcp"}
	}
	if kind != "" {
		b.check.Kind = kind
	}
}

func (b *builder) balance(w []string) {
	k := b.back
	if len(w) < 2 {
		b.fail("balance takes an algorithm")
		return
	}
	k.Balance, k.HashOn = "", ""
	name, arg, _ := strings.Cut(w[1], "(")
	hash := func(on, how string) {
		k.Balance, k.HashOn = "hash", on
		b.note(Differently, "by rendezvous hashing of %s%s: other servers than HAProxy's table has, one and the same for each value", on, how)
	}
	switch name {
	case "roundrobin":
		b.note(Carried, "")
	case "static-rr":
		b.note(Differently, "roundrobin")
	case "leastconn":
		k.Balance = "leastconn"
		b.note(Carried, "")
	case "first":
		k.Balance = "first"
		b.note(Carried, "")
	case "random":
		k.Balance = "random"
		b.note(Differently, "by weight alone, without a second draw")
	case "source":
		hash("src", "")
	case "uri":
		if len(w) > 2 {
			hash("path", ", without "+strings.Join(w[2:], " "))
		} else {
			hash("path", "")
		}
	case "url_param":
		if len(w) < 3 {
			b.fail("balance url_param takes a name")
			return
		}
		hash("urlp("+w[2]+")", "")
	case "hdr":
		hash("hdr("+strings.TrimSuffix(arg, ")")+")", "")
	case "hash":
		if len(w) < 3 {
			b.fail("balance hash takes an expression")
			return
		}
		if _, err := route.ParseFormat("%["+w[2]+"]", b.im.opt.Files); err != nil {
			b.took(err, "")
			return
		}
		hash(w[2], "")
	default:
		b.note(NotCarried, "balance %s: by turns instead", w[1])
	}
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
	b.back.Cookie = c
	if len(without) > 0 {
		b.note(Differently, "without %s", strings.Join(without, ", "))
	} else {
		b.note(Carried, "")
	}
}

func (b *builder) retryOn(words []string) {
	var without []string
	var on []string
	for _, w := range words {
		switch {
		case slices.Contains(dispatchconfig.RetryWords, w):
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
	b.back.RetryOn = slices.Compact(on)
	switch {
	case len(on) == 0:
		b.note(NotCarried, "%s: connections that fail are retried", strings.Join(without, ", "))
	case len(without) > 0:
		b.note(Differently, "without %s; only methods that may be repeated go out again", strings.Join(without, ", "))
	default:
		b.note(Differently, "only methods that may be repeated go out again once they may have run")
	}
}

// httpchk reads option httpchk: [METHOD] [URI] [VERSION], and the fields that some put
// behind the version.
func (b *builder) httpchk(w []string) {
	b.inter = true
	b.kind("http")
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
	if len(w) == 0 {
		b.fail("http-check lacks its rule")
		return
	}
	b.kind("http")
	c := b.check
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
	case "expect":
		for len(rest) > 1 && slices.Contains([]string{"min-recv", "comment", "ok-status", "error-status", "tout-status", "on-success", "on-error", "status-code"}, rest[0]) {
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
		value := strings.Join(rest[1:], " ")
		if !slices.Contains([]string{"status", "rstatus", "string", "rstring"}, rest[0]) {
			b.note(NotCarried, "expect %s", rest[0])
			return
		}
		c.Expect = append(c.Expect, not+route.Line([]string{rest[0], value}))
		b.note(Carried, "")
	default:
		b.note(NotCarried, "http-check %s", w[0])
	}
}
