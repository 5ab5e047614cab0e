package haproxy

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/route"
)

// builder builds a frontend, a backend or, from a listen section, both.
type builder struct {
	importer *importer
	section  *section
	frontend *dispatchconfig.WebFrontend // nil: not one
	backend  *dispatchconfig.WebBackend
	backends map[string]bool // those carried over
	lists    *route.ACLSet
	dropped  map[string]bool // access lists that are not carried over
	defaults []string        // options of default-server, which come before each server's own
	check    *dispatchconfig.WebCheck
	redirect []string // redirect rules, which apply after http-request rules
	current  item     // the directive that is being handled
}

// handler handles one directive of a section.
type handler func(b *builder, words []string)

// reportOnly returns a handler that only notes a verdict.
func reportOnly(v Verdict, reason string) handler {
	return func(b *builder, _ []string) { b.note(v, "%s", reason) }
}

// handle calls the handler of a directive and reports whether there is one.
func (b *builder) handle(table map[string]handler, words []string) bool {
	for _, key := range directiveKeys(words) {
		if h := table[key]; h != nil {
			h(b, words)
			return true
		}
	}
	return false
}

// directiveKeys returns the keys of a directive in tables of directives: its first two words, and the first. A first word with
// a blank in it, which was quoted, is no keyword, and has none.
func directiveKeys(words []string) []string {
	if strings.Contains(words[0], " ") {
		return nil
	}
	if len(words) == 1 {
		return words[:1]
	}
	return []string{words[0] + " " + words[1], words[0]}
}

// proxy maps a frontend, backend or listen section.
func (im *importer) proxy(s *section, backends map[string]bool) {
	items := im.inherited(s)
	if v, reason, skip := skipped(s, items); skip {
		im.note(s.directive, s, v, reason)
		for _, d := range s.body {
			im.note(d, s, v, reason)
		}
		return
	}
	if im.nameTaken(s) {
		im.fail(s.directive, "%s is there twice", s.title())
		return
	}
	b := &builder{importer: im, section: s, backends: backends, lists: route.NewACLSet(im.opt.Files), dropped: map[string]bool{}}
	if s.kind != "backend" {
		b.frontend = &dispatchconfig.WebFrontend{Name: s.name}
	}
	if s.kind != "frontend" {
		b.backend = &dispatchconfig.WebBackend{Name: s.name}
	}
	for _, it := range items { // rules may name an access list that follows them
		if it.words[0] == "acl" {
			b.current = it
			b.acl(it.words)
		}
	}
	for _, it := range items {
		if it.words[0] != "acl" {
			b.current = it
			b.directive(it.words)
		}
	}
	b.finish()
}

// nameTaken reports whether a frontend or backend of that name was carried over before; a listen section is both.
func (im *importer) nameTaken(s *section) bool {
	return s.kind != "backend" && slices.ContainsFunc(im.web.Frontends, func(f dispatchconfig.WebFrontend) bool { return f.Name == s.name }) ||
		s.kind != "frontend" && slices.ContainsFunc(im.web.Backends, func(b dispatchconfig.WebBackend) bool { return b.Name == s.name })
}

// skipped reports whether a complete section is left out, and why.
func skipped(s *section, items []item) (v Verdict, reason string, skip bool) {
	mode := "tcp"
	for _, it := range items {
		if it.in == s && len(it.words) == 1 && it.words[0] == "disabled" {
			return NotNeeded, "the section is disabled", true
		}
		if it.words[0] == "mode" && len(it.words) == 2 {
			mode = it.words[1]
		}
	}
	return NotCarried, "in mode " + mode + ": only HTTP is relayed", mode != "http"
}

// note adds the verdict on the directive that is being handled.
func (b *builder) note(v Verdict, format string, args ...any) {
	b.importer.note(b.current.directive, b.current.in, v, fmt.Sprintf(format, args...))
}

// fail notes that the directive that is being handled is malformed.
func (b *builder) fail(format string, args ...any) {
	b.importer.fail(b.current.directive, format, args...)
}

// spec returns the Spec that the section's rules are added to: of a listen section its frontend's, where they
// apply to the same requests.
func (b *builder) spec() *route.Spec {
	if b.frontend != nil {
		return &b.frontend.Spec
	}
	return &b.backend.Spec
}

// reportOutcome notes how reading a rule ended: carried over, not supported, or malformed. It reports
// whether it is carried over.
func (b *builder) reportOutcome(err error, how string) bool {
	var unsupported *route.UnsupportedError
	switch {
	case err == nil:
		b.note(Carried, "%s", how)
	case errors.As(err, &unsupported):
		b.note(NotCarried, "%s", unsupported.Error())
	case isUnreadable(err):
		b.note(NotCarried, "%v", err)
	default:
		b.fail("%v", err)
	}
	return err == nil
}

// acl adds an access list to the section's rules.
func (b *builder) acl(words []string) {
	if len(words) < 3 {
		b.fail("acl takes a name and a condition")
		return
	}
	if b.reportOutcome(b.lists.Add(words[1], words[2:]), "") {
		spec := b.spec()
		spec.ACL = append(spec.ACL, route.JoinWords(words[1:]))
	} else {
		b.dropped[words[1]] = true
	}
}

// droppedACL returns the first access list that a condition names and that is not carried over, ""
// for none.
func (b *builder) droppedACL(words []string) string {
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
		b.fail("%s lacks its action", b.current.words[0])
		return
	}
	if name := b.droppedACL(words); name != "" {
		b.note(NotCarried, "it asks acl %s, which is not carried over", name)
		return
	}
	if _, err := parse(words); b.reportOutcome(err, how) {
		*to = append(*to, route.JoinWords(words))
	}
}

// directive handles one directive that is not an access list.
func (b *builder) directive(w []string) {
	if b.frontend != nil && b.handle(frontendDirectives, w) || b.backend != nil && b.handle(backendDirectives, w) {
		return
	}
	if v, reason := lookup(sharedDirectives, w); reason != unknownDirective {
		b.note(v, "%s", reason)
		return
	}
	// A defaults section also has directives for sections of the other kind.
	if b.current.in != b.section && (b.frontend == nil && hasDirective(frontendOnlyDirectives, w) || b.backend == nil && hasDirective(backendOnlyDirectives, w)) {
		return
	}
	b.note(NotCarried, unknownDirective)
}

// frontendOnlyDirectives and backWords are the directives that apply only to frontends and only to backends, by
// their first two words or the first.
var frontendOnlyDirectives = []string{"bind", "use_backend", "default_backend", "monitor-uri", "monitor", "maxconn", "timeout client", "timeout client-fin",
	"timeout http-request", "timeout http-keep-alive", "capture", "unique-id-format", "unique-id-header", "declare"}

var backendOnlyDirectives = []string{"server", "server-template", "default-server", "balance", "hash-type", "hash-balance-factor", "cookie", "http-check",
	"tcp-check", "retries", "retry-on", "timeout server", "timeout connect", "timeout queue", "timeout check", "timeout tunnel",
	"timeout server-fin", "fullconn", "http-reuse", "dispatch", "option httpchk", "option redispatch", "option allbackups", "option tcp-check",
	"option abortonclose", "option persist", "option prefer-last-server", "option log-health-checks", "option http-server-close",
	"load-server-state-from-file", "source", "http-send-name-header", "email-alert"}

// hasDirective reports whether a list of directives has one, by its first two words or the first.
func hasDirective(all, w []string) bool {
	return slices.ContainsFunc(directiveKeys(w), func(key string) bool { return slices.Contains(all, key) })
}

// seconds reads the time of a directive of two words, such as timeout connect.
func (b *builder) seconds(w []string) (float64, bool) {
	name := strings.Join(w[:min(2, len(w))], " ")
	if len(w) != 3 {
		b.fail("%s takes a time", name)
		return 0, false
	}
	d, err := duration(w[2])
	if err != nil {
		b.fail("%s: %v", name, err)
		return 0, false
	}
	return d.Seconds(), true
}

// timeout reads a time-out, which is carried over as it is.
func (b *builder) timeout(w []string, to *float64, reason string) {
	if s, ok := b.seconds(w); ok {
		*to = s
		b.note(Carried, "%s", reason)
	}
}

// frontendDirectives are the handlers of a frontend's directives, by their first two words or the first.
var frontendDirectives = map[string]handler{
	"bind":              (*builder).bind,
	"default_backend":   (*builder).defaultBackend,
	"use_backend":       (*builder).useBackend,
	"http-request":      (*builder).requestRule,
	"http-response":     (*builder).responseRule,
	"redirect":          (*builder).redirectRule,
	"option forwardfor": (*builder).forwardFor,
	"timeout http-request": func(b *builder, w []string) {
		b.timeout(w, &b.frontend.RequestTimeout, "request_timeout, for the head and for a body of up to 64 KiB")
	},
	"timeout http-keep-alive": func(b *builder, w []string) { b.timeout(w, &b.frontend.IdleTimeout, "idle_timeout") },
	"timeout client":          (*builder).clientTimeout,
	"monitor-uri":             (*builder).monitorURI,
	"maxconn":                 reportOnly(Differently, "connections are bounded for all frontends together, by limits.sockets"),
}

func (b *builder) requestRule(w []string) {
	reason := ""
	if len(w) > 1 && w[1] == "tarpit" {
		reason = "answered at once, not held back"
	}
	b.rule(w[1:], b.lists.ParseRequestRule, &b.spec().Request, reason)
}

func (b *builder) responseRule(w []string) {
	b.rule(w[1:], b.lists.ParseResponseRule, &b.spec().Response, "")
}

func (b *builder) redirectRule(w []string) {
	b.rule(w, b.lists.ParseRequestRule, &b.redirect, "")
}

func (b *builder) forwardFor(w []string) {
	if b.frontend != nil {
		b.frontend.ForwardFor = true
	} else {
		b.backend.ForwardFor = true
	}
	if len(w) > 2 {
		b.note(Differently, "always added, without %s", strings.Join(w[2:], " "))
	} else {
		b.note(Carried, "")
	}
}

func (b *builder) clientTimeout(w []string) {
	s, ok := b.seconds(w)
	if !ok {
		return
	}
	if b.frontend.IdleTimeout == 0 {
		b.frontend.IdleTimeout = s
	}
	b.note(Differently, "idle_timeout; a body may pause for 60 s")
}

func (b *builder) monitorURI(w []string) {
	if len(w) != 2 {
		b.fail("monitor-uri takes a path")
		return
	}
	line := route.JoinWords([]string{"return", "status", "200", "content-type", "text/plain", "string", "OK", "if", "{", "path", w[1], "}"})
	b.frontend.Request = append([]string{line}, b.frontend.Request...)
	b.note(Differently, "a rule that returns 200")
}

func (b *builder) defaultBackend(w []string) {
	if len(w) != 2 {
		b.fail("default_backend takes a name")
	} else if b.isCarried(w[1]) {
		b.frontend.Default = w[1]
		b.note(Carried, "")
	}
}

// isCarried reports whether a backend is carried over, and notes it if not.
func (b *builder) isCarried(name string) bool {
	if b.backends[name] {
		return true
	}
	if !slices.ContainsFunc(b.importer.sections, func(s *section) bool { return (s.kind == "backend" || s.kind == "listen") && s.name == name }) {
		b.fail("no backend is called %q", name)
		return false
	}
	b.note(NotCarried, "backend %s is not carried over", name)
	return false
}

func (b *builder) useBackend(w []string) {
	w = w[1:]
	if len(w) < 1 {
		b.fail("use_backend takes a name and a condition")
		return
	}
	if name := b.droppedACL(w); name != "" {
		b.note(NotCarried, "it asks acl %s, which is not carried over", name)
		return
	}
	if !strings.Contains(w[0], "%") && !b.isCarried(w[0]) {
		return
	}
	if _, err := b.lists.ParseUse(w); b.reportOutcome(err, "") {
		b.frontend.Use = append(b.frontend.Use, route.JoinWords(w))
	}
}

// finish adds the frontend and the backend to the result.
func (b *builder) finish() {
	im, s := b.importer, b.section
	spec := b.spec()
	spec.Request = append(spec.Request, b.redirect...)
	if b.backend != nil {
		b.finishBackend()
	}
	v, reason := b.verdict()
	im.note(s.directive, s, v, reason)
	if b.frontend != nil && len(b.frontend.Listen) > 0 {
		im.web.Frontends = append(im.web.Frontends, *b.frontend)
		im.result.origin["f "+s.name] = s.origin()
	}
}

// finishBackend adds the backend to the result, unless it is that of a listen section without
// servers.
func (b *builder) finishBackend() {
	if b.frontend != nil { // its rules are the frontend's
		b.backend.Spec = route.Spec{}
		if b.frontend.Default == "" && len(b.backend.Servers) > 0 {
			b.frontend.Default = b.backend.Name
		}
	}
	b.finishCheck()
	b.backend.Servers = slices.Clip(b.backend.Servers)
	if b.backend.Cookie != nil && !slices.ContainsFunc(b.backend.Servers, func(x dispatchconfig.WebServer) bool { return x.Cookie != "" }) {
		b.backend.Cookie = nil
	}
	if b.frontend == nil || len(b.backend.Servers) > 0 {
		b.importer.web.Backends = append(b.importer.web.Backends, *b.backend)
		b.backends[b.section.name] = true
		b.importer.result.origin["b "+b.section.name] = b.section.origin()
	}
}

// finishCheck sets the backend's check, if any of its servers is checked by it.
func (b *builder) finishCheck() {
	if b.check != nil && b.check.Kind == "http" && b.check.Version == "" && len(b.check.Headers) > 0 {
		b.check.Version = "1.1"
	}
	if b.check != nil && slices.ContainsFunc(b.backend.Servers, func(x dispatchconfig.WebServer) bool { return !x.NoCheck && x.Track == "" }) {
		b.backend.Check = b.check
		return
	}
	for i := range b.backend.Servers {
		b.backend.Servers[i].NoCheck = false
	}
}

// verdict returns the verdict on the section itself.
func (b *builder) verdict() (Verdict, string) {
	switch {
	case b.frontend == nil && len(b.backend.Servers) == 0:
		return Differently, "without servers it answers 503"
	case b.frontend != nil && len(b.frontend.Listen) == 0 && b.backend != nil && len(b.backend.Servers) > 0:
		return Differently, "as a backend: it listens nowhere"
	case b.frontend != nil && len(b.frontend.Listen) == 0:
		return NotCarried, "none of its addresses can be listened on"
	}
	return Carried, ""
}
