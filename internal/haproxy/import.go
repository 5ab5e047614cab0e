package haproxy

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"sedgevale/internal/config"
	"sedgevale/internal/discovery"
)

// Options say what a configuration of HAProxy does not tell.
type Options struct {
	Frontend string // which one; empty: the first that leads to servers
	Class    string // the name of the class of its requests, the first part of their path
}

// Note is a directive that was not taken over.
type Note struct {
	Line      int
	Section   string
	Directive string
	Reason    string
}

func (n Note) String() string {
	return fmt.Sprintf("line %d: %s: %s: %s", n.Line, n.Section, n.Directive, n.Reason)
}

// defaultLimit stands in for a server time-out that is not set.
const defaultLimit = 30 * time.Second

// importer maps the sections that belong to one frontend.
type importer struct {
	opt   Options
	file  config.File
	notes []Note
	class *config.Class
	limit time.Duration
	base  server // from default-server
}

type server struct {
	weight   float64
	disabled bool
}

// Import maps a configuration. The notes are in the order of their lines.
func Import(r io.Reader, opt Options) (*config.File, []Note, error) {
	all, err := parse(r)
	if err != nil {
		return nil, nil, err
	}
	front, back, err := choose(all, opt.Frontend)
	if err != nil {
		return nil, nil, err
	}
	im := &importer{opt: opt, limit: defaultLimit}
	im.begin(front)
	used := map[*section]bool{front: true, back: true}
	for _, d := range []*section{defaultsOf(all, back), defaultsOf(all, front)} {
		if d != nil {
			used[d] = true
		}
	}
	for _, s := range all {
		used[s] = used[s] || s.kind == "global"
	}
	// The defaults first, so that the sections' own words count over them. What a
	// frontend has from its defaults the backend may have from others.
	for _, s := range inOrder(all, used, front, back) {
		if err := im.section(s); err != nil {
			return nil, nil, err
		}
	}
	for _, s := range all {
		if !used[s] {
			im.pass(s)
		}
	}
	if err := im.finish(back); err != nil {
		return nil, nil, err
	}
	slices.SortStableFunc(im.notes, func(a, b Note) int { return cmp.Compare(a.Line, b.Line) })
	return &im.file, im.notes, nil
}

func inOrder(all []*section, used map[*section]bool, front, back *section) (order []*section) {
	for _, s := range all {
		if used[s] && holders[s.kind] {
			order = append(order, s)
		}
	}
	order = append(order, front)
	if back != front {
		order = append(order, back)
	}
	return order
}

// choose finds the frontend and the section that holds its servers.
func choose(all []*section, name string) (front, back *section, err error) {
	for _, s := range all {
		if s.kind != "frontend" && s.kind != "listen" || name != "" && s.name != name || len(s.all("bind")) == 0 {
			continue
		}
		back = s
		ds := s.all("default_backend")
		if len(ds) == 0 {
			if d := defaultsOf(all, s); d != nil {
				ds = d.all("default_backend")
			}
		}
		if len(ds) > 0 {
			d := ds[len(ds)-1]
			if len(d.words) != 2 {
				return nil, nil, wrong(d, "default_backend takes a name")
			}
			back = nil
			for _, b := range all {
				if (b.kind == "backend" || b.kind == "listen") && b.name == d.words[1] {
					back = b
				}
			}
			if back == nil {
				return nil, nil, wrong(d, "no backend is called %q", d.words[1])
			}
		}
		if len(back.all("server")) > 0 {
			return s, back, nil
		}
	}
	if name != "" {
		return nil, nil, fmt.Errorf("no frontend %q with a bind that leads to servers", name)
	}
	return nil, nil, errors.New("no frontend or listen section with a bind leads to servers")
}

func (s *section) all(name string) (ds []directive) {
	for _, d := range s.body {
		if d.words[0] == name {
			ds = append(ds, d)
		}
	}
	return ds
}

// defaultsOf returns the defaults section that counts for s: the one it names,
// or the last before it.
func defaultsOf(all []*section, s *section) (found *section) {
	for _, d := range all {
		if s.from == "" && d == s {
			break
		}
		if d.kind == "defaults" && (s.from == "" || d.name == s.from) {
			found = d
		}
	}
	return found
}

func (im *importer) begin(front *section) {
	im.base = server{weight: 1}
	f := &im.file
	f.Name = front.name
	s := &f.Settings
	s.Bounds.Cancel = true
	s.Bounds.RetryAfter = true
	s.Bounds.MaxRetryAfter = 2
	s.Bounds.MaxAttempts = 4 // HAProxy's default of 3 retries
	s.PeersTotal = 1
	s.Zones, s.Kinds = []string{"haproxy"}, []string{"server"}
	s.Weights = "nominal"
	// HAProxy sends again only what never reached a server, unless retry-on says more.
	s.Classes = []config.Class{{Name: cmp.Or(im.opt.Class, front.name), Effect: "single_shot"}}
	im.class = &s.Classes[0]
}

func (im *importer) finish(back *section) error {
	im.class.HardLimit = im.limit.Seconds()
	im.class.Promise = im.limit.Seconds()
	if strings.ContainsAny(im.class.Name, "/ ?:") {
		return fmt.Errorf("%q cannot be the first part of a path; name the class", im.class.Name)
	}
	if im.file.Listen == "" {
		return errors.New("no bind that can be listened on")
	}
	if len(im.file.Workers) == 0 {
		return wrong(back.directive, "no server of %s can be used", back.name)
	}
	return nil
}

func (im *importer) note(s *section, d directive, reason string) {
	im.notes = append(im.notes, Note{d.line, strings.TrimSpace(s.kind + " " + s.name), d.String(), reason})
}

// pass reports a section that is not taken over at all.
func (im *importer) pass(s *section) {
	reason := "a section that nothing here corresponds to"
	if proxies[s.kind] || s.kind == "defaults" {
		reason = "not part of the frontend that is imported"
	}
	im.note(s, s.directive, reason)
	for _, d := range s.body {
		im.note(s, d, reason)
	}
}

func (im *importer) section(s *section) error {
	for _, d := range s.body {
		var err error
		switch name := d.words[0]; name {
		case "bind":
			err = im.bind(s, d)
		case "server":
			err = im.server(s, d)
		case "default-server":
			_, err = im.options(s, d, d.words[1:], &im.base)
		case "timeout":
			err = im.timeout(s, d)
		case "retries":
			err = im.whole(d, &im.file.Settings.Bounds.MaxAttempts)
			im.file.Settings.Bounds.MaxAttempts++
		case "ulimit-n":
			err = im.whole(d, &im.file.Limits.Sockets)
		case "retry-on":
			err = im.retryOn(d)
		case "mode":
			err = im.mode(d)
		case "default_backend": // see choose
		default:
			reason, known := reasons[d.name()]
			if !known {
				reason, known = reasons[name]
			}
			if !known {
				reason = "not known here"
			}
			im.note(s, d, reason)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (im *importer) mode(d directive) error {
	if len(d.words) != 2 {
		return wrong(d, "mode takes one word")
	}
	switch d.words[1] {
	case "http":
		return nil
	case "tcp", "log", "spop", "haterm":
		return wrong(d, "mode %s: only HTTP can be scheduled", d.words[1])
	}
	return wrong(d, "unknown mode %q", d.words[1])
}

func (im *importer) whole(d directive, to *int) error {
	if len(d.words) != 2 {
		return wrong(d, "%s takes a number", d.words[0])
	}
	v, err := strconv.ParseUint(d.words[1], 10, 16)
	if err != nil {
		return wrong(d, "%s: %q is no number that can be used", d.words[0], d.words[1])
	}
	*to = int(v)
	return nil
}

// retryOn tells whether what may have run may run again.
func (im *importer) retryOn(d directive) error {
	if len(d.words) < 2 {
		return wrong(d, "retry-on takes at least one word")
	}
	im.class.Effect = "single_shot"
	for _, w := range d.words[1:] {
		switch w {
		case "none", "conn-failure":
		case "empty-response", "junk-response", "response-timeout", "0rtt-rejected", "all-retryable-errors",
			"401", "403", "404", "408", "421", "425", "429", "500", "501", "502", "503", "504":
			im.class.Effect = "free"
		default:
			return wrong(d, "unknown condition %q", w)
		}
	}
	return nil
}

func (im *importer) timeout(s *section, d directive) error {
	if len(d.words) != 3 {
		return wrong(d, "timeout takes a name and a time")
	}
	v, err := duration(d.words[2])
	if err != nil {
		return wrong(d, "%v", err)
	}
	switch d.words[1] {
	case "connect":
		if v <= 0 {
			return wrong(d, "a connection needs some time")
		}
		im.file.Settings.Bounds.DialTimeout = v.Seconds()
	case "server":
		if v <= 0 {
			return wrong(d, "an answer needs some time")
		}
		im.limit = v
	case "client", "client-fin", "server-fin", "http-keep-alive", "http-request", "queue", "tunnel", "check", "tarpit":
		im.note(s, d, reasons[d.name()])
	default:
		return wrong(d, "unknown timeout %q", d.words[1])
	}
	return nil
}

func (im *importer) bind(s *section, d directive) error {
	if len(d.words) < 2 {
		return wrong(d, "bind takes an address")
	}
	for addr := range strings.SplitSeq(d.words[1], ",") {
		got, reason, err := address(addr, true)
		switch {
		case err != nil:
			return wrong(d, "%v", err)
		case reason == "" && im.file.Listen != "":
			reason = "one address is listened on, and an earlier bind has it"
		}
		if reason != "" {
			im.note(s, directive{d.line, []string{"bind", addr}}, reason)
			continue
		}
		im.file.Listen = got
	}
	for _, w := range d.words[2:] {
		if w == "ssl" || w == "crt" {
			im.note(s, directive{d.line, []string{"bind", w}}, "TLS ends before this scheduler")
			return nil
		}
	}
	if len(d.words) > 2 {
		im.note(s, directive{d.line, append([]string{"bind"}, d.words[2:]...)}, "options of a bind have no counterpart")
	}
	return nil
}

func (im *importer) server(s *section, d directive) error {
	if len(d.words) < 3 {
		return wrong(d, "server takes a name and an address")
	}
	addr, reason, err := address(d.words[2], false)
	if err != nil {
		return wrong(d, "%v", err)
	}
	for _, w := range im.file.Workers {
		if w.ID == d.words[1] {
			return wrong(d, "server %q is there twice", w.ID)
		}
	}
	v := im.base
	backup, err := im.options(s, d, d.words[3:], &v)
	if err != nil {
		return err
	}
	if backup {
		reason = "a backup server: all workers here are used alike"
	}
	if reason != "" {
		im.note(s, directive{d.line, d.words[:3]}, reason)
		return nil
	}
	m := discovery.Member{ID: d.words[1], HostPort: addr, Locality: "haproxy", Flavor: "server", Phase: "ready",
		Size: v.weight}
	if v.disabled || v.weight == 0 {
		m.Phase, m.Size = "draining", max(1, v.weight)
	}
	im.file.Workers = append(im.file.Workers, m)
	return nil
}

// options reads what follows a server's address.
func (im *importer) options(s *section, d directive, words []string, v *server) (backup bool, err error) {
	for i := 0; i < len(words); i++ {
		name := words[i]
		takes, known := serverOptions[name]
		if !known {
			return false, wrong(d, "unknown option %q of a server", name)
		}
		value := ""
		if takes {
			if i++; i == len(words) {
				return false, wrong(d, "option %s of a server needs a value", name)
			}
			value = words[i]
		}
		switch name {
		case "weight":
			w, err := strconv.ParseUint(value, 10, 16)
			if err != nil || w > 256 {
				return false, wrong(d, "weight %q is not between 0 and 256", value)
			}
			v.weight = float64(w)
		case "disabled":
			v.disabled = true
		case "enabled":
			v.disabled = false
		case "backup":
			backup = true
		case "no-backup":
			backup = false
		default:
			text := strings.TrimSpace(d.words[0] + " ... " + name + " " + value)
			im.note(s, directive{d.line, strings.Fields(text)}, optionReason(name))
		}
	}
	return backup, nil
}

func optionReason(name string) string {
	switch {
	case slices.Contains([]string{"check", "no-check", "inter", "fastinter", "downinter", "rise", "fall", "port", "addr",
		"agent-check", "agent-inter", "agent-port", "agent-addr", "observe", "on-error", "on-marked-down", "on-marked-up",
		"error-limit", "check-ssl", "check-sni", "check-alpn", "check-proto", "check-send-proxy", "track", "init-state"}, name):
		return "no health checks: a worker is judged by how its attempts end"
	case slices.Contains([]string{"maxconn", "minconn", "maxqueue"}, name):
		return "the limit of each worker is learnt from outcomes"
	case strings.HasPrefix(name, "ssl") || slices.Contains([]string{"verify", "ca-file", "crt", "sni", "alpn", "no-ssl"}, name):
		return "workers are spoken to in plain HTTP"
	case name == "slowstart":
		return "a static list tells no starts; warm-up is for lists from discovery"
	}
	return "no counterpart"
}

// address reads HAProxy's form of an address. A reason says why it cannot be
// used although it is well formed.
func address(s string, bind bool) (addr, reason string, err error) {
	family, rest, ok := strings.Cut(s, "@")
	if !ok {
		family, rest = "", s
	}
	switch family {
	case "", "ipv4", "ipv6", "tcp", "tcp4", "tcp6":
	case "unix", "abns", "abnsz", "fd", "sockpair", "udp", "udp4", "udp6", "quic4", "quic6", "uxst", "uxdg", "rhttp",
		"mptcp", "mptcp4", "mptcp6":
		return "", "only TCP addresses are used", nil
	default:
		return "", "", fmt.Errorf("unknown family of the address %q", s)
	}
	if strings.HasPrefix(rest, "/") {
		return "", "only TCP addresses are used", nil
	}
	colon := strings.LastIndexByte(rest, ':')
	if colon < 0 {
		if bind {
			return "", "", fmt.Errorf("%q has no port", s)
		}
		return "", "no port: the client's would be used, which is not known here", nil
	}
	host, port := strings.Trim(rest[:colon], "[]"), rest[colon+1:]
	if from, to, isRange := strings.Cut(port, "-"); isRange && from != "" {
		if _, err := strconv.ParseUint(to, 10, 16); err == nil {
			return "", "a range of ports", nil
		}
	}
	if strings.HasPrefix(port, "+") || strings.HasPrefix(port, "-") {
		return "", "a port relative to the client's, which is not known here", nil
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil || n == 0 {
		return "", "", fmt.Errorf("%q has no port that can be used", s)
	}
	if bind && (host == "" || host == "*") {
		host = "0.0.0.0"
		if family == "ipv6" || family == "tcp6" {
			host = "::"
		}
	}
	ip, err := netip.ParseAddr(host)
	if err != nil {
		if host == "" || strings.Trim(host, "0123456789.") == "" || strings.ContainsAny(host, " :/") {
			return "", "", fmt.Errorf("%q is no address", s)
		}
		return "", "a host name: addresses are used as they are, and names are not looked up", nil
	}
	return netip.AddrPortFrom(ip, uint16(n)).String(), "", nil
}
