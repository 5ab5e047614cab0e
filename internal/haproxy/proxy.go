package haproxy

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/route"
)

// builder makes a frontend, a backend, or, of a listen section, both.
type builder struct {
	im       *importer
	s        *section
	front    *dispatchconfig.WebFrontend // nil: not one
	back     *dispatchconfig.WebBackend
	backends map[string]bool // those carried over
	lists    *route.Lists
	dropped  map[string]bool // access lists that are not carried over
	base     []string        // options of default-server
	check    *dispatchconfig.WebCheck
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
		b.front = &dispatchconfig.WebFrontend{Name: s.name}
	}
	if s.kind != "frontend" {
		b.back = &dispatchconfig.WebBackend{Name: s.name}
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
		if b.check != nil && slices.ContainsFunc(b.back.Servers, func(x dispatchconfig.WebServer) bool { return !x.NoCheck && x.Track == "" }) {
			b.back.Check = b.check
		} else {
			for i := range b.back.Servers {
				b.back.Servers[i].NoCheck = false
			}
		}
		b.back.Servers = slices.Clip(b.back.Servers)
		if b.back.Cookie != nil && !slices.ContainsFunc(b.back.Servers, func(x dispatchconfig.WebServer) bool { return x.Cookie != "" }) {
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
