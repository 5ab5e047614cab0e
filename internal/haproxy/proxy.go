package haproxy

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/route"
)

// builder converts a frontend, backend or listen section. A listen section yields both a frontend and a
// backend.
type builder struct {
	importer    *importer
	section     *section
	frontend    *dispatchconfig.WebFrontend // nil for a backend section
	backend     *dispatchconfig.WebBackend  // nil for a frontend section
	backends    map[string]bool             // names of the imported backends, shared by all builders
	acls        *route.ACLSet
	droppedACLs map[string]bool // names of the access lists that could not be imported
	defaults    []string        // options of default-server, applied before those of each server
	check       *dispatchconfig.WebCheck
	redirect    []string        // redirect rules, appended to the http-request rules by finish
	current     scopedDirective // the directive being handled
}

// handler converts one directive of a section and adds its report entry.
type handler func(b *builder, words []string)

// reportOnly returns a handler that only adds a report entry with a fixed verdict.
func reportOnly(v Verdict, reason string) handler {
	return func(b *builder, _ []string) { b.addEntry(v, "%s", reason) }
}

// handle calls the handler that a table has for a directive and reports whether it has one.
func (b *builder) handle(table map[string]handler, words []string) bool {
	for _, key := range lookupKeys(words) {
		if h := table[key]; h != nil {
			h(b, words)
			return true
		}
	}
	return false
}

// lookupKeys returns the keys under which a directive may be in a table: its first two words and its first
// word. It returns none if the first word was quoted and contains a blank, since that is not a keyword.
func lookupKeys(words []string) []string {
	if strings.Contains(words[0], " ") {
		return nil
	}
	if len(words) == 1 {
		return words[:1]
	}
	return []string{words[0] + " " + words[1], words[0]}
}

// importProxy imports a frontend, backend or listen section.
func (im *importer) importProxy(s *section, backends map[string]bool) {
	items := im.effectiveDirectives(s)
	if v, reason, skip := skipSection(s, items); skip {
		im.addEntry(s.directive, s, v, reason)
		for _, d := range s.body {
			im.addEntry(d, s, v, reason)
		}
		return
	}
	if im.isDuplicate(s) {
		im.errorf(s.directive, "%s is there twice", s.title())
		return
	}
	b := &builder{importer: im, section: s, backends: backends, acls: route.NewACLSet(im.opt.Files), droppedACLs: map[string]bool{}}
	if s.kind != "backend" {
		b.frontend = &dispatchconfig.WebFrontend{Name: s.name}
	}
	if s.kind != "frontend" {
		b.backend = &dispatchconfig.WebBackend{Name: s.name}
	}
	for _, it := range items { // access lists first: a rule may use one that is declared after it
		if it.words[0] == "acl" {
			b.current = it
			b.addACL(it.words)
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

// isDuplicate reports whether an already imported frontend or backend has the name of the section. A listen
// section counts as both.
func (im *importer) isDuplicate(s *section) bool {
	return s.kind != "backend" && slices.ContainsFunc(im.web.Frontends, func(f dispatchconfig.WebFrontend) bool { return f.Name == s.name }) ||
		s.kind != "frontend" && slices.ContainsFunc(im.web.Backends, func(b dispatchconfig.WebBackend) bool { return b.Name == s.name })
}

// skipSection reports whether the whole section is skipped, with the verdict and reason for its entries.
func skipSection(s *section, items []scopedDirective) (v Verdict, reason string, skip bool) {
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

// addEntry records the verdict on the current directive.
func (b *builder) addEntry(v Verdict, format string, args ...any) {
	b.importer.addEntry(b.current.directive, b.current.in, v, fmt.Sprintf(format, args...))
}

// errorf records an error for the current directive.
func (b *builder) errorf(format string, args ...any) {
	b.importer.errorf(b.current.directive, format, args...)
}

// ruleSpec returns the Spec that receives the rules of the section. A listen section uses the Spec of its
// frontend, where the rules apply to the same requests.
func (b *builder) ruleSpec() *route.Spec {
	if b.frontend != nil {
		return &b.frontend.Spec
	}
	return &b.backend.Spec
}

// reportOutcome records the outcome of parsing the current directive: carried over, not supported or
// malformed. It reports whether the directive is carried over.
func (b *builder) reportOutcome(err error, reason string) bool {
	var unsupported *route.UnsupportedError
	switch {
	case err == nil:
		b.addEntry(Carried, "%s", reason)
	case errors.As(err, &unsupported):
		b.addEntry(NotCarried, "%s", unsupported.Error())
	case isUnreadable(err):
		b.addEntry(NotCarried, "%v", err)
	default:
		b.errorf("%v", err)
	}
	return err == nil
}

// addACL parses an acl directive and adds it to the Spec of the section.
func (b *builder) addACL(words []string) {
	if len(words) < 3 {
		b.errorf("acl takes a name and a condition")
		return
	}
	if b.reportOutcome(b.acls.Add(words[1], words[2:]), "") {
		spec := b.ruleSpec()
		spec.ACL = append(spec.ACL, route.JoinWords(words[1:]))
	} else {
		b.droppedACLs[words[1]] = true
	}
}

// droppedACL returns the first access list in a condition that could not be imported, or "" if there is
// none.
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
		if !anonymous && b.droppedACLs[strings.TrimLeft(w, "!")] {
			return strings.TrimLeft(w, "!")
		}
	}
	return ""
}

// addRule parses a rule, adds its report entry and appends it to lines if it is supported.
func (b *builder) addRule(words []string, parse func([]string) (*route.Rule, error), lines *[]string, reason string) {
	if len(words) == 0 {
		b.errorf("%s lacks its action", b.current.words[0])
		return
	}
	if name := b.droppedACL(words); name != "" {
		b.addEntry(NotCarried, "it asks acl %s, which is not carried over", name)
		return
	}
	if _, err := parse(words); b.reportOutcome(err, reason) {
		*lines = append(*lines, route.JoinWords(words))
	}
}

// directive converts one directive other than acl.
func (b *builder) directive(w []string) {
	if b.frontend != nil && b.handle(frontendDirectives, w) || b.backend != nil && b.handle(backendDirectives, w) {
		return
	}
	if v, reason := lookupDisposition(sharedDirectives, w); reason != reasonUnknown {
		b.addEntry(v, "%s", reason)
		return
	}
	// Inherited directives that apply only to the other kind of section need no entry here.
	if b.current.in != b.section && (b.frontend == nil && containsDirective(frontendOnlyDirectives, w) || b.backend == nil && containsDirective(backendOnlyDirectives, w)) {
		return
	}
	b.addEntry(NotCarried, reasonUnknown)
}

// frontendOnlyDirectives are the directives that apply to frontends only, by their first two words or the
// first.
var frontendOnlyDirectives = []string{"bind", "use_backend", "default_backend", "monitor-uri", "monitor", "maxconn", "timeout client", "timeout client-fin",
	"timeout http-request", "timeout http-keep-alive", "capture", "unique-id-format", "unique-id-header", "declare"}

// backendOnlyDirectives are the directives that apply to backends only, by their first two words or the
// first.
var backendOnlyDirectives = []string{"server", "server-template", "default-server", "balance", "hash-type", "hash-balance-factor", "cookie", "http-check",
	"tcp-check", "retries", "retry-on", "timeout server", "timeout connect", "timeout queue", "timeout check", "timeout tunnel",
	"timeout server-fin", "fullconn", "http-reuse", "dispatch", "option httpchk", "option redispatch", "option allbackups", "option tcp-check",
	"option abortonclose", "option persist", "option prefer-last-server", "option log-health-checks", "option http-server-close",
	"load-server-state-from-file", "source", "http-send-name-header", "email-alert"}

// containsDirective reports whether a list has a directive by its first two words or its first word.
func containsDirective(all, w []string) bool {
	return slices.ContainsFunc(lookupKeys(w), func(key string) bool { return slices.Contains(all, key) })
}

// parseSeconds parses the time of a directive with a two-word name, such as timeout connect, in seconds. It
// records an error if the time is malformed.
func (b *builder) parseSeconds(w []string) (float64, bool) {
	name := strings.Join(w[:min(2, len(w))], " ")
	if len(w) != 3 {
		b.errorf("%s takes a time", name)
		return 0, false
	}
	d, err := parseDuration(w[2])
	if err != nil {
		b.errorf("%s: %v", name, err)
		return 0, false
	}
	return d.Seconds(), true
}

// setTimeout parses a timeout directive that is carried over unchanged.
func (b *builder) setTimeout(w []string, to *float64, reason string) {
	if s, ok := b.parseSeconds(w); ok {
		*to = s
		b.addEntry(Carried, "%s", reason)
	}
}

// frontendDirectives maps the directives of a frontend, keyed by their first two words or by the first,
// to their handlers.
var frontendDirectives = map[string]handler{
	"bind":              (*builder).bind,
	"default_backend":   (*builder).defaultBackend,
	"use_backend":       (*builder).useBackend,
	"http-request":      (*builder).requestRule,
	"http-response":     (*builder).responseRule,
	"redirect":          (*builder).redirectRule,
	"option forwardfor": (*builder).forwardFor,
	"timeout http-request": func(b *builder, w []string) {
		b.setTimeout(w, &b.frontend.RequestTimeout, "request_timeout, for the head and for a body of up to 64 KiB")
	},
	"timeout http-keep-alive": func(b *builder, w []string) { b.setTimeout(w, &b.frontend.IdleTimeout, "idle_timeout") },
	"timeout client":          (*builder).clientTimeout,
	"monitor-uri":             (*builder).monitorURI,
	"maxconn":                 reportOnly(CarriedDifferently, "connections are bounded for all frontends together, by limits.sockets"),
}

func (b *builder) requestRule(w []string) {
	reason := ""
	if len(w) > 1 && w[1] == "tarpit" {
		reason = "answered at once, not held back"
	}
	b.addRule(w[1:], b.acls.ParseRequestRule, &b.ruleSpec().Request, reason)
}

func (b *builder) responseRule(w []string) {
	b.addRule(w[1:], b.acls.ParseResponseRule, &b.ruleSpec().Response, "")
}

func (b *builder) redirectRule(w []string) {
	b.addRule(w, b.acls.ParseRequestRule, &b.redirect, "")
}

func (b *builder) forwardFor(w []string) {
	if b.frontend != nil {
		b.frontend.ForwardFor = true
	} else {
		b.backend.ForwardFor = true
	}
	if len(w) > 2 {
		b.addEntry(CarriedDifferently, "always added, without %s", strings.Join(w[2:], " "))
	} else {
		b.addEntry(Carried, "")
	}
}

func (b *builder) clientTimeout(w []string) {
	s, ok := b.parseSeconds(w)
	if !ok {
		return
	}
	if b.frontend.IdleTimeout == 0 {
		b.frontend.IdleTimeout = s
	}
	b.addEntry(CarriedDifferently, "idle_timeout; a body may pause for 60 s")
}

func (b *builder) monitorURI(w []string) {
	if len(w) != 2 {
		b.errorf("monitor-uri takes a path")
		return
	}
	line := route.JoinWords([]string{"return", "status", "200", "content-type", "text/plain", "string", "OK", "if", "{", "path", w[1], "}"})
	b.frontend.Request = append([]string{line}, b.frontend.Request...)
	b.addEntry(CarriedDifferently, "a rule that returns 200")
}

func (b *builder) defaultBackend(w []string) {
	if len(w) != 2 {
		b.errorf("default_backend takes a name")
	} else if b.checkBackend(w[1]) {
		b.frontend.Default = w[1]
		b.addEntry(Carried, "")
	}
}

// checkBackend reports whether the named backend is imported. Otherwise it adds an entry or an error.
func (b *builder) checkBackend(name string) bool {
	if b.backends[name] {
		return true
	}
	if !slices.ContainsFunc(b.importer.sections, func(s *section) bool { return (s.kind == "backend" || s.kind == "listen") && s.name == name }) {
		b.errorf("no backend is called %q", name)
		return false
	}
	b.addEntry(NotCarried, "backend %s is not carried over", name)
	return false
}

func (b *builder) useBackend(w []string) {
	w = w[1:]
	if len(w) < 1 {
		b.errorf("use_backend takes a name and a condition")
		return
	}
	if name := b.droppedACL(w); name != "" {
		b.addEntry(NotCarried, "it asks acl %s, which is not carried over", name)
		return
	}
	if !strings.Contains(w[0], "%") && !b.checkBackend(w[0]) {
		return
	}
	if _, err := b.acls.ParseUseRule(w); b.reportOutcome(err, "") {
		b.frontend.Use = append(b.frontend.Use, route.JoinWords(w))
	}
}

// finish adds the frontend and the backend to the result, with an entry for the section itself.
func (b *builder) finish() {
	im, s := b.importer, b.section
	spec := b.ruleSpec()
	spec.Request = append(spec.Request, b.redirect...)
	if b.backend != nil {
		b.finishBackend()
	}
	v, reason := b.sectionVerdict()
	im.addEntry(s.directive, s, v, reason)
	if b.frontend != nil && len(b.frontend.Listen) > 0 {
		im.web.Frontends = append(im.web.Frontends, *b.frontend)
		im.result.origin["f "+s.name] = s.origin()
	}
}

// finishBackend adds the backend to the result. The backend of a listen section without servers is
// omitted.
func (b *builder) finishBackend() {
	if b.frontend != nil { // the rules of a listen section are in its frontend
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

// finishCheck sets the health check of the backend if at least one of its servers uses it.
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

// sectionVerdict returns the verdict on the section header.
func (b *builder) sectionVerdict() (Verdict, string) {
	switch {
	case b.frontend == nil && len(b.backend.Servers) == 0:
		return CarriedDifferently, "without servers it answers 503"
	case b.frontend != nil && len(b.frontend.Listen) == 0 && b.backend != nil && len(b.backend.Servers) > 0:
		return CarriedDifferently, "as a backend: it listens nowhere"
	case b.frontend != nil && len(b.frontend.Listen) == 0:
		return NotCarried, "none of its addresses can be listened on"
	}
	return Carried, ""
}
