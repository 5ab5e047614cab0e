package haproxy

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"sedgevale/internal/config"
	"sedgevale/internal/route"
)

// builder makes a frontend, a backend, or, of a listen section, both.
type builder struct {
	im       *importer
	s        *section
	front    *config.WebFrontend // nil: not one
	back     *config.WebBackend
	backends map[string]bool // those carried over
	lists    *route.Lists
	dropped  map[string]bool // access lists that are not carried over
	base     []string        // options of default-server
	check    *config.WebCheck
	inter    bool     // option httpchk or tcp-check was given
	redirect []string // redirect rules, which count behind http-request rules
	cur      item
}

// proxy maps a frontend, backend or listen section.
func (im *importer) proxy(s *section, backends map[string]bool) {
	items := im.inherited(s)
	mode := "tcp"
	for _, it := range items {
		if it.words[0] == "mode" && len(it.words) == 2 {
			mode = it.words[1]
		}
	}
	off := slices.ContainsFunc(items, func(it item) bool { return it.in == s && len(it.words) == 1 && it.words[0] == "disabled" })
	if mode != "http" || off {
		why := "in mode " + mode + ": only HTTP is relayed"
		if off {
			why = "the section is disabled"
		}
		v := NotCarried
		if off {
			v = NotNeeded
		}
		im.note(s.directive, s, v, why)
		for _, d := range s.body {
			im.note(d, s, v, why)
		}
		return
	}
	b := &builder{im: im, s: s, backends: backends, lists: route.NewLists(im.opt.Files), dropped: map[string]bool{}}
	if s.kind != "backend" {
		b.front = &config.WebFrontend{Name: s.name}
	}
	if s.kind != "frontend" {
		b.back = &config.WebBackend{Name: s.name}
	}
	for _, it := range items { // rules may name an access list that stands behind them
		if it.words[0] == "acl" {
			b.cur = it
			b.acl(it.words)
		}
	}
	for _, it := range items {
		if it.words[0] != "acl" {
			b.cur = it
			b.directive(it.words)
		}
	}
	b.finish()
}

func (b *builder) note(v Verdict, format string, args ...any) {
	b.im.note(b.cur.directive, b.cur.in, v, fmt.Sprintf(format, args...))
}

func (b *builder) fail(format string, args ...any) { b.im.fail(b.cur.directive, format, args...) }

// spec is where the section's rules go: a listen section's to its frontend, in which they
// count for the same requests.
func (b *builder) spec() *route.Spec {
	if b.front != nil {
		return &b.front.Spec
	}
	return &b.back.Spec
}

// took notes how a rule fared: carried over, not supported, or malformed.
func (b *builder) took(err error, how string) bool {
	var no *route.ErrUnsupported
	switch {
	case err == nil:
		b.note(Carried, "%s", how)
	case errors.As(err, &no):
		b.note(NotCarried, "%s", no.Error())
	case isMissing(err):
		b.note(NotCarried, "%v", err)
	default:
		b.fail("%v", err)
	}
	return err == nil
}

func (b *builder) acl(words []string) {
	if len(words) < 3 {
		b.fail("acl takes a name and a condition")
		return
	}
	if b.took(b.lists.Add(words[1], words[2:]), "") {
		spec := b.spec()
		spec.ACL = append(spec.ACL, route.Line(words[1:]))
	} else {
		b.dropped[words[1]] = true
	}
}

// uses reports whether a condition names an access list that is not carried over.
func (b *builder) uses(words []string) string {
	at := slices.IndexFunc(words, func(w string) bool { return w == "if" || w == "unless" })
	if at < 0 {
		return ""
	}
	anonymous := false
	for _, w := range words[at+1:] {
		switch w {
		case "{":
			anonymous = true
		case "}":
			anonymous = false
		}
		if !anonymous && b.dropped[strings.TrimLeft(w, "!")] {
			return strings.TrimLeft(w, "!")
		}
	}
	return ""
}

// rule notes a rule and adds it to a list, unless it is not carried over.
func (b *builder) rule(words []string, parse func([]string) (*route.Rule, error), to *[]string, how string) {
	if len(words) == 0 {
		b.fail("%s lacks its action", b.cur.words[0])
		return
	}
	if name := b.uses(words); name != "" {
		b.note(NotCarried, "it asks acl %s, which is not carried over", name)
		return
	}
	if _, err := parse(words); b.took(err, how) {
		*to = append(*to, route.Line(words))
	}
}

func (b *builder) directive(w []string) {
	if b.front != nil && b.frontend(w) || b.back != nil && b.backend(w) {
		return
	}
	table := shared
	if v, reason := lookup(table, w); reason != "not known here" {
		b.note(v, "%s", reason)
		return
	}
	// In defaults stand also lines for sections of the other kind.
	if b.cur.in != b.s {
		if b.front == nil && frontOnly(w) || b.back == nil && backOnly(w) {
			return
		}
	}
	b.note(NotCarried, "not known here")
}

var frontWords = []string{"bind", "use_backend", "default_backend", "monitor-uri", "monitor", "maxconn", "timeout client", "timeout client-fin",
	"timeout http-request", "timeout http-keep-alive", "capture", "unique-id-format", "unique-id-header", "declare"}

var backWords = []string{"server", "server-template", "default-server", "balance", "hash-type", "hash-balance-factor", "cookie", "http-check",
	"tcp-check", "retries", "retry-on", "timeout server", "timeout connect", "timeout queue", "timeout check", "timeout tunnel",
	"timeout server-fin", "fullconn", "http-reuse", "dispatch", "option httpchk", "option redispatch", "option allbackups", "option tcp-check",
	"option abortonclose", "option persist", "option prefer-last-server", "option log-health-checks", "option http-server-close",
	"load-server-state-from-file", "source", "http-send-name-header", "email-alert"}

func frontOnly(w []string) bool { return among(frontWords, w) }
func backOnly(w []string) bool  { return among(backWords, w) }

func among(all, w []string) bool {
	return slices.Contains(all, w[0]) || len(w) > 1 && slices.Contains(all, w[0]+" "+w[1])
}

// seconds reads the time of a directive.
func (b *builder) seconds(w []string, at int) (float64, bool) {
	if len(w) != at+1 {
		b.fail("%s takes a time", strings.Join(w[:min(at, len(w))], " "))
		return 0, false
	}
	d, err := duration(w[at])
	if err != nil {
		b.fail("%s: %v", strings.Join(w[:at], " "), err)
		return 0, false
	}
	return d.Seconds(), true
}

// frontend deals with a directive of a frontend, and reports whether it is one.
func (b *builder) frontend(w []string) bool {
	f := b.front
	two := w[0]
	if len(w) > 1 {
		two += " " + w[1]
	}
	switch {
	case w[0] == "bind":
		b.bind(w)
	case w[0] == "default_backend":
		if len(w) != 2 {
			b.fail("default_backend takes a name")
		} else if b.leads(w[1]) {
			f.Default = w[1]
			b.note(Carried, "")
		}
	case w[0] == "use_backend":
		b.use(w[1:])
	case w[0] == "http-request":
		b.rule(w[1:], b.lists.ParseRequestRule, &f.Request, how(w))
	case w[0] == "http-response":
		b.rule(w[1:], b.lists.ParseResponseRule, &f.Response, "")
	case w[0] == "redirect":
		b.rule(w, b.lists.ParseRequestRule, &b.redirect, "")
	case two == "option forwardfor":
		f.ForwardFor = true
		if len(w) > 2 {
			b.note(Differently, "always added, without %s", strings.Join(w[2:], " "))
		} else {
			b.note(Carried, "")
		}
	case two == "timeout http-request":
		if s, ok := b.seconds(w, 2); ok {
			f.RequestTimeout = s
			b.note(Carried, "request_timeout, for the head and for a body of up to 64 KiB")
		}
	case two == "timeout http-keep-alive":
		if s, ok := b.seconds(w, 2); ok {
			f.IdleTimeout = s
			b.note(Carried, "idle_timeout")
		}
	case two == "timeout client":
		if s, ok := b.seconds(w, 2); ok {
			if f.IdleTimeout == 0 {
				f.IdleTimeout = s
			}
			b.note(Differently, "idle_timeout; a body may pause for 60 s")
		}
	case w[0] == "monitor-uri":
		if len(w) != 2 {
			b.fail("monitor-uri takes a path")
			break
		}
		line := route.Line([]string{"return", "status", "200", "content-type", "text/plain", "string", "OK", "if", "{", "path", w[1], "}"})
		f.Request = append([]string{line}, f.Request...)
		b.note(Differently, "a rule that returns 200")
	case w[0] == "maxconn":
		b.note(Differently, "connections are bounded for all frontends together, by limits.sockets")
	default:
		return false
	}
	return true
}

func how(w []string) string {
	if len(w) > 1 && w[1] == "tarpit" {
		return "answered at once, not held back"
	}
	return ""
}

// leads reports whether a backend is carried over, and notes it if not.
func (b *builder) leads(name string) bool {
	if b.backends[name] {
		return true
	}
	if !slices.ContainsFunc(b.im.all, func(s *section) bool { return (s.kind == "backend" || s.kind == "listen") && s.name == name }) {
		b.fail("no backend is called %q", name)
		return false
	}
	b.note(NotCarried, "backend %s is not carried over", name)
	return false
}

func (b *builder) use(w []string) {
	if len(w) < 1 {
		b.fail("use_backend takes a name and a condition")
		return
	}
	if name := b.uses(w); name != "" {
		b.note(NotCarried, "it asks acl %s, which is not carried over", name)
		return
	}
	if !strings.Contains(w[0], "%") && !b.leads(w[0]) {
		return
	}
	if _, err := b.lists.ParseUse(w); b.took(err, "") {
		b.front.Use = append(b.front.Use, route.Line(w))
	}
}

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
		b.check = &config.WebCheck{Kind: "tcp"}
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
	c := &config.WebCookie{Name: w[1]}
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
		case slices.Contains(config.RetryWords, w):
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

// finish adds what was made to the result.
func (b *builder) finish() {
	im, s := b.im, b.s
	spec := b.spec()
	spec.Request = append(spec.Request, b.redirect...)
	if b.check != nil && b.check.Kind == "http" && b.check.Version == "" && len(b.check.Headers) > 0 {
		b.check.Version = "1.1"
	}
	if b.back != nil {
		if b.front != nil { // its rules stand with the frontend
			b.back.Spec = route.Spec{}
			if b.front.Default == "" && len(b.back.Servers) > 0 {
				b.front.Default = b.back.Name
			}
		}
		if b.check != nil && slices.ContainsFunc(b.back.Servers, func(x config.WebServer) bool { return !x.NoCheck && x.Track == "" }) {
			b.back.Check = b.check
		} else {
			for i := range b.back.Servers {
				b.back.Servers[i].NoCheck = false
			}
		}
		b.back.Servers = slices.Clip(b.back.Servers)
		if b.back.Cookie != nil && !slices.ContainsFunc(b.back.Servers, func(x config.WebServer) bool { return x.Cookie != "" }) {
			b.back.Cookie = nil
		}
		if b.front == nil || len(b.back.Servers) > 0 {
			im.web.Backends = append(im.web.Backends, *b.back)
			b.backends[s.name] = true
			im.result.origin["b "+s.name] = fmt.Sprintf("%s, %s:%d", s.title(), s.file, s.line)
		}
	}
	why := ""
	v := Carried
	switch {
	case b.front == nil && len(b.back.Servers) == 0:
		v, why = Differently, "without servers it answers 503"
	case b.front != nil && len(b.front.Listen) == 0 && b.back != nil && len(b.back.Servers) > 0:
		v, why = Differently, "as a backend: it listens nowhere"
	case b.front != nil && len(b.front.Listen) == 0:
		v, why = NotCarried, "none of its addresses can be listened on"
	}
	im.note(s.directive, s, v, why)
	if b.front != nil && len(b.front.Listen) > 0 {
		im.web.Frontends = append(im.web.Frontends, *b.front)
		im.result.origin["f "+s.name] = fmt.Sprintf("%s, %s:%d", s.title(), s.file, s.line)
	}
}
