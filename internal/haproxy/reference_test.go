package haproxy_test

import (
	"net"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// This file is a reference model of HAProxy written from its manual. It shares no code with the importer: it
// interprets the text of the configuration for each request.

type referenceRequest struct {
	method, path, query, host, src string
	headers                        [][2]string
}

type referenceConfig struct {
	env      map[string]string
	files    map[string]string
	sections []*referenceSection
}

type referenceSection struct {
	kind, name, from string
	lines            [][]string
}

type referenceResult struct {
	status          int    // status of a response by HAProxy itself; 0: a server responds
	location        string // Location of a redirect
	body            string
	backend         string
	servers         []string // addresses of the servers that may respond
	path            string   // path and query as sent to the server
	headers         map[string]string
	responseSection *referenceSection // section whose http-response lines apply
}

func referenceWords(line string, env map[string]string) (out []string) {
	cur, in := "", false
	for i := 0; i < len(line); {
		switch c := line[i]; {
		case c == '#' && !in:
			return out
		case c == ' ' || c == '\t':
			if in {
				out = append(out, cur)
			}
			cur, in = "", false
			i++
		case c == '"':
			end := strings.IndexByte(line[i+1:], '"') + i + 1
			cur, in = cur+referenceExpand(line[i+1:end], env), true
			i = end + 1
		default:
			cur, in = cur+string(c), true
			i++
		}
	}
	if in {
		out = append(out, cur)
	}
	return out
}

var referenceVar = regexp.MustCompile(`\$(\w+)|\$\{(\w+)(-([^}]*))?\}`)

func referenceExpand(s string, env map[string]string) string {
	return referenceVar.ReplaceAllStringFunc(s, func(m string) string {
		p := referenceVar.FindStringSubmatch(m)
		if v, ok := env[p[1]+p[2]]; ok {
			return v
		}
		return p[4]
	})
}

func loadReference(text string, env, files map[string]string) *referenceConfig {
	c := &referenceConfig{env: env, files: files}
	var skip []bool
	for _, line := range strings.Split(text, "\n") {
		t := referenceWords(line, env)
		if len(t) == 0 {
			continue
		}
		switch {
		case t[0] == ".if":
			name := strings.TrimSuffix(strings.TrimPrefix(t[1], "defined("), ")")
			_, has := env[name]
			skip = append(skip, !has)
		case t[0] == ".else":
			skip[len(skip)-1] = !skip[len(skip)-1]
		case t[0] == ".endif":
			skip = skip[:len(skip)-1]
		case slices.Contains(skip, true):
		case slices.Contains([]string{"global", "defaults", "frontend", "backend", "listen"}, t[0]):
			s := &referenceSection{kind: t[0]}
			rest := t[1:]
			if len(rest) > 0 && rest[0] != "from" {
				s.name, rest = rest[0], rest[1:]
			}
			if len(rest) == 2 {
				s.from = rest[1]
			}
			c.sections = append(c.sections, s)
		default:
			s := c.sections[len(c.sections)-1]
			s.lines = append(s.lines, t)
		}
	}
	return c
}

func (c *referenceConfig) find(kinds string, name string) *referenceSection {
	for _, s := range c.sections {
		if strings.Contains(kinds, s.kind) && s.name == name {
			return s
		}
	}
	return nil
}

// lines returns the lines of a section that begin with a word, preceded by those of its defaults section.
func (c *referenceConfig) lines(s *referenceSection, word string) (out [][]string) {
	var base *referenceSection
	if s.from != "" {
		base = c.find("defaults", s.from)
	} else {
		for _, d := range c.sections {
			if d == s {
				break
			}
			if d.kind == "defaults" {
				base = d
			}
		}
	}
	if base != nil && s.kind != "defaults" || s.from != "" && base != nil {
		out = c.lines(base, word)
	}
	for _, l := range s.lines {
		if l[0] == word {
			out = append(out, l)
		}
	}
	return out
}

func (q *referenceRequest) target() string {
	if q.query == "" {
		return q.path
	}
	return q.path + "?" + q.query
}

func (q *referenceRequest) deleteHeader(name string) {
	q.headers = slices.DeleteFunc(q.headers, func(h [2]string) bool { return strings.EqualFold(h[0], name) })
}

// rules applies the http-request lines of a section. It returns nil if none of them responds.
func (c *referenceConfig) rules(s *referenceSection, q *referenceRequest) *referenceResult {
	for _, l := range c.lines(s, "http-request") {
		act, cond := referenceCutCondition(l[1:])
		if !c.holds(s, cond, q) {
			continue
		}
		arg := func(name, fallback string) string {
			if i := slices.Index(act, name); i >= 0 {
				return act[i+1]
			}
			return fallback
		}
		switch act[0] {
		case "deny":
			n, _ := strconv.Atoi(arg("deny_status", "403"))
			return &referenceResult{status: n}
		case "return":
			n, _ := strconv.Atoi(arg("status", "200"))
			return &referenceResult{status: n, body: arg("string", "")}
		case "redirect":
			return c.redirect(act, q)
		case "set-header", "add-header":
			if act[0] == "set-header" {
				q.deleteHeader(act[1])
			}
			q.headers = append(q.headers, [2]string{act[1], c.format(act[2], q)})
		case "del-header":
			q.deleteHeader(act[1])
		case "replace-header":
			q.replaceHeader(act[1], act[2], act[3])
		case "set-path":
			q.path = c.format(act[1], q)
		case "set-query":
			q.query = c.format(act[1], q)
		case "replace-path":
			q.path = referenceReplace(act[1], q.path, act[2])
		}
	}
	return nil
}

func (q *referenceRequest) replaceHeader(name, pattern, to string) {
	for i, h := range q.headers {
		if strings.EqualFold(h[0], name) {
			q.headers[i][1] = referenceReplace(pattern, h[1], to)
		}
	}
}

// referenceReplace replaces all matches. \1 to \9 in the replacement refer to groups.
func referenceReplace(pattern, s, to string) string {
	return regexp.MustCompile(pattern).ReplaceAllString(s, regexp.MustCompile(`\\(\d)`).ReplaceAllString(to, "$${$1}"))
}

func (c *referenceConfig) redirect(act []string, q *referenceRequest) *referenceResult {
	a := &referenceResult{status: 302}
	for i := 1; i+1 < len(act); i += 2 {
		v := c.format(act[i+1], q)
		switch act[i] {
		case "code":
			a.status, _ = strconv.Atoi(v)
		case "location":
			a.location = v
		case "prefix":
			a.location = v + q.target()
		case "scheme":
			a.location = v + "://" + q.host + q.target()
		}
	}
	return a
}

// result returns the expected result of a request to a frontend or listen section.
func (c *referenceConfig) result(frontend string, q referenceRequest) *referenceResult {
	q.headers = slices.Clone(q.headers)
	s := c.find("frontend listen", frontend)
	for _, l := range c.lines(s, "monitor-uri") {
		if q.path == l[1] {
			return &referenceResult{status: 200}
		}
	}
	if a := c.rules(s, &q); a != nil {
		return a
	}
	for _, l := range c.lines(s, "redirect") {
		if act, cond := referenceCutCondition(l); c.holds(s, cond, &q) {
			return c.redirect(act, &q)
		}
	}
	name := c.backendOf(s, &q)
	b := c.find("backend listen", name)
	if b == nil {
		return &referenceResult{status: 503}
	}
	if b != s {
		if a := c.rules(b, &q); a != nil {
			return a
		}
	}
	a := &referenceResult{backend: name, path: q.target(), headers: q.headerMap(), responseSection: s}
	for _, l := range append(c.lines(s, "option"), c.lines(b, "option")...) {
		if l[1] == "forwardfor" {
			a.headers["x-forwarded-for"] = q.src
		}
	}
	a.servers = c.servers(b, &q, nil)
	if len(a.servers) == 0 {
		a.status = 503
	}
	return a
}

// backendOf returns the name of the backend that a frontend or listen section selects.
func (c *referenceConfig) backendOf(s *referenceSection, q *referenceRequest) string {
	name := ""
	if s.kind == "listen" {
		name = s.name
	}
	for _, l := range c.lines(s, "default_backend") {
		name = l[1]
	}
	for _, l := range c.lines(s, "use_backend") {
		act, cond := referenceCutCondition(l[1:])
		if !c.holds(s, cond, q) {
			continue
		}
		to := c.format(act[0], q)
		if c.find("backend listen", to) != nil {
			name = to
		}
		break
	}
	return name
}

// headerMap returns the values of the header fields by lower-case name, joined with commas.
func (q *referenceRequest) headerMap() map[string]string {
	out := map[string]string{}
	for _, h := range q.headers {
		if old, ok := out[strings.ToLower(h[0])]; ok {
			h[1] = old + "," + h[1]
		}
		out[strings.ToLower(h[0])] = h[1]
	}
	return out
}

// servers returns the addresses of the servers that a request may be sent to, excluding those that are down.
func (c *referenceConfig) servers(b *referenceSection, q *referenceRequest, down map[string]bool) (out []string) {
	var backups []string
	cookie := c.persistence(b, q)
	for _, l := range c.lines(b, "server") {
		if slices.Contains(l, "disabled") || down[l[2]] || !strings.Contains(l[2], ":") || strings.HasPrefix(l[2], ":") {
			continue
		}
		if i := slices.Index(l, "cookie"); i > 0 && cookie != "" && l[i+1] == cookie {
			return []string{l[2]}
		}
		if slices.Contains(l, "backup") {
			backups = append(backups, l[2])
		} else {
			out = append(out, l[2])
		}
	}
	for _, l := range c.lines(b, "server-template") {
		if net.ParseIP(strings.Split(l[3], ":")[0]) != nil { // host names are not resolved
			out = append(out, l[3])
		}
	}
	if len(out) == 0 && len(backups) > 0 {
		return backups[:1]
	}
	return out
}

// persistence returns the value of the persistence cookie of a request, or "" if there is none.
func (c *referenceConfig) persistence(b *referenceSection, q *referenceRequest) (cookie string) {
	for _, l := range c.lines(b, "cookie") {
		if got, _ := c.sample("cook("+l[1]+")", q); len(got) > 0 {
			cookie = got[0]
		}
	}
	return cookie
}

// weights returns the expected share of the requests of a backend by server address.
func (c *referenceConfig) weights(b *referenceSection) map[string]float64 {
	base := 1.0
	for _, l := range c.lines(b, "default-server") {
		if i := slices.Index(l, "weight"); i > 0 {
			base, _ = strconv.ParseFloat(l[i+1], 64)
		}
	}
	out, sum := map[string]float64{}, 0.0
	add := func(addr string, l []string, n float64) {
		w := base
		if i := slices.Index(l, "weight"); i > 0 {
			w, _ = strconv.ParseFloat(l[i+1], 64)
		}
		out[addr] += n * w
		sum += n * w
	}
	for _, l := range c.lines(b, "server") {
		if !slices.Contains(l, "backup") && !slices.Contains(l, "disabled") {
			add(l[2], l, 1)
		}
	}
	for _, l := range c.lines(b, "server-template") {
		if net.ParseIP(strings.Split(l[3], ":")[0]) != nil {
			n, _ := strconv.ParseFloat(l[2], 64)
			add(l[3], l, n)
		}
	}
	for a := range out {
		out[a] /= sum
	}
	return out
}

// response applies the http-response lines of a section to a response. It returns the status and the expected
// values of header fields, "" for removed ones.
func (c *referenceConfig) response(s *referenceSection, status int, softError bool) (int, map[string]string) {
	set := map[string]string{}
	for _, l := range c.lines(s, "http-response") {
		act, cond := referenceCutCondition(l[1:])
		holds := true
		for i, w := range cond {
			switch w {
			case "status":
				n, _ := strconv.Atoi(cond[i+1])
				holds = holds && status == n
			case "res.hdr(X-Soft)":
				holds = holds && softError
			}
		}
		if !holds {
			continue
		}
		switch act[0] {
		case "set-header":
			set[act[1]] = act[2]
		case "del-header":
			set[act[1]] = ""
		case "set-status":
			status, _ = strconv.Atoi(act[1])
		}
	}
	return status, set
}
