package haproxy

import (
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"sedgevale/internal/dispatchconfig"
)

// isUnreadable reports whether the error is due to a missing or unreadable file.
func isUnreadable(err error) bool {
	return errors.Is(err, fs.ErrNotExist) || errors.Is(err, fs.ErrPermission)
}

// parsePositive parses an integer between 1 and 2^30.
func parsePositive(s string) (int, error) {
	n, err := strconv.Atoi(s)
	if err != nil || n <= 0 || n > 1<<30 {
		return 0, fmt.Errorf("%q is no positive number", s)
	}
	return n, nil
}

// options are the parsed options of a server or default-server directive.
type options struct {
	weight        *int // nil if not set
	backup        bool
	disabled      bool
	maxConn       int
	cookie        string
	check         bool
	checkOverride dispatchconfig.WebCheck // intervals and thresholds that override those of the backend's check
	port          int                     // port for checks; the server's port if 0
	addr          string                  // IP address for checks; the server's address if empty
	track         string
	slowStart     float64 // in seconds
}

// read parses options and returns those that are not carried over, each with its reason in parentheses.
func (o *options) read(w []string) (omitted []string, err error) {
	for i := 0; i < len(w); i++ {
		name := w[i]
		takesValue, known := serverOptions[name]
		if !known {
			omitted = append(omitted, name+" ("+reasonUnknown+")")
			continue
		}
		value := ""
		if takesValue {
			if i++; i == len(w) {
				return omitted, fmt.Errorf("%s lacks its value", name)
			}
			value = w[i]
		}
		if set := serverOptionSetters[name]; set != nil {
			if e := set(o, value); e != nil {
				err = errors.Join(err, fmt.Errorf("%s: %w", name, e))
			}
		} else if reason := omittedOptionReasons[name]; reason != "" {
			omitted = append(omitted, name+" ("+reason+")")
		}
	}
	return omitted, err
}

// serverOptionSetters parse and store the value of a server option by its name. The value is "" for an
// option that takes none.
var serverOptionSetters = map[string]func(o *options, value string) error{
	"weight": func(o *options, v string) error {
		o.weight = new(int)
		return setNumber(o.weight, v, 0, 256)
	},
	"backup":    func(o *options, _ string) error { o.backup = true; return nil },
	"no-backup": func(o *options, _ string) error { o.backup = false; return nil },
	"disabled":  func(o *options, _ string) error { o.disabled = true; return nil },
	"enabled":   func(o *options, _ string) error { o.disabled = false; return nil },
	"check":     func(o *options, _ string) error { o.check = true; return nil },
	"no-check":  func(o *options, _ string) error { o.check = false; return nil },
	"cookie":    func(o *options, v string) error { o.cookie = v; return nil },
	"addr":      func(o *options, v string) error { o.addr = v; return nil },
	"track":     func(o *options, v string) error { o.track = v; return nil },
	"maxconn":   func(o *options, v string) error { return setNumber(&o.maxConn, v, 0, 1<<30) },
	"rise":      func(o *options, v string) error { return setNumber(&o.checkOverride.Rise, v, 1, 1000) },
	"fall":      func(o *options, v string) error { return setNumber(&o.checkOverride.Fall, v, 1, 1000) },
	"port":      func(o *options, v string) error { return setNumber(&o.port, v, 1, 65535) },
	"inter":     func(o *options, v string) error { return setSeconds(&o.checkOverride.Interval, v) },
	"fastinter": func(o *options, v string) error { return setSeconds(&o.checkOverride.FastInterval, v) },
	"downinter": func(o *options, v string) error { return setSeconds(&o.checkOverride.DownInterval, v) },
	"slowstart": func(o *options, v string) error { return setSeconds(&o.slowStart, v) },
}

func setNumber(to *int, value string, minValue, maxValue int) error {
	n, err := strconv.Atoi(value)
	if err != nil || n < minValue || n > maxValue {
		return fmt.Errorf("%q is no number between %d and %d", value, minValue, maxValue)
	}
	*to = n
	return nil
}

func setSeconds(to *float64, value string) error {
	d, err := parseDuration(value)
	if err != nil {
		return err
	}
	*to = d.Seconds()
	return nil
}

// reportOptions records that the current directive is carried over except for the omitted options.
func (b *builder) reportOptions(omitted []string, reason string) {
	if len(omitted) > 0 {
		b.addEntry(CarriedDifferently, "without %s", strings.Join(omitted, ", "))
	} else {
		b.addEntry(Carried, "%s", reason)
	}
}

// unsupportedTransports are the options that change the protocol spoken to the server, with the reason why
// a server that has one is not imported. The first match determines the reason. The value h1 of proto is
// supported.
var unsupportedTransports = []struct{ option, reason string }{
	{"ssl", "servers are spoken to without TLS"},
	{"send-proxy", "the PROXY protocol is not spoken"},
	{"send-proxy-v2", "the PROXY protocol is not spoken"},
	{"send-proxy-v2-ssl", "the PROXY protocol is not spoken"},
	{"proto", "servers are spoken to in HTTP/1.1"},
}

func (b *builder) server(w []string) {
	if len(w) < 3 {
		b.errorf("server takes a name and an address")
		return
	}
	if slices.ContainsFunc(b.backend.Servers, func(s dispatchconfig.WebServer) bool { return s.Name == w[1] }) {
		b.errorf("server %q is there twice", w[1])
		return
	}
	addr, reason, err := b.parseServerAddress(w[2])
	if err != nil {
		b.errorf("server %s: %v", w[1], err)
		return
	}
	b.addServer(w[1], addr, reason, w[3:])
}

// addServer adds a server to the backend. A non-empty reason states why the server cannot be imported.
func (b *builder) addServer(name, addr, reason string, rest []string) {
	o := &options{}
	if _, err := o.read(b.defaults); err != nil {
		return // already reported at the default-server directive
	}
	omitted, err := o.read(rest)
	if err != nil {
		b.errorf("server %s: %v", name, err)
		return
	}
	if reason == "" {
		reason = unsupportedTransport(slices.Concat(b.defaults, rest))
	}
	if reason != "" {
		b.addEntry(NotCarried, "%s", reason)
		return
	}
	s := dispatchconfig.WebServer{Name: name, Addr: addr, Backup: o.backup, Disabled: o.disabled, MaxConn: o.maxConn, Cookie: o.cookie}
	if o.weight != nil && *o.weight != 1 {
		s.Weight = o.weight
	}
	b.setCheck(&s, o)
	if o.slowStart > 0 {
		b.backend.SlowStart = max(b.backend.SlowStart, o.slowStart)
	}
	b.backend.Servers = append(b.backend.Servers, s)
	b.reportOptions(omitted, "")
}

// unsupportedTransport returns the reason why a server with these options cannot be imported, or "" if it
// can.
func unsupportedTransport(options []string) string {
	for _, unsupported := range unsupportedTransports {
		i := slices.Index(options, unsupported.option)
		if i >= 0 && (unsupported.option != "proto" || i+1 < len(options) && options[i+1] != "h1") {
			return unsupported.reason
		}
	}
	return ""
}

// setCheck sets the source of the server's health: the health of a tracked server, its own checks, or none.
func (b *builder) setCheck(s *dispatchconfig.WebServer, o *options) {
	switch {
	case o.track != "":
		s.Track = o.track
		if !strings.Contains(s.Track, "/") {
			s.Track = b.backend.Name + "/" + s.Track
		}
	case o.check:
		b.ensureCheck("")
		if c := &o.checkOverride; c.Interval != 0 || c.FastInterval != 0 || c.DownInterval != 0 || c.Rise != 0 || c.Fall != 0 {
			s.Check = c
		}
		s.CheckAddr = checkAddr(s.Addr, o)
	default:
		s.NoCheck = true
	}
}

// checkAddr returns the address for the checks of a server, or "" for the server's own address.
func checkAddr(addr string, o *options) string {
	if o.port == 0 && o.addr == "" {
		return ""
	}
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return ""
	}
	if a, err := netip.ParseAddr(o.addr); err == nil {
		ap = netip.AddrPortFrom(a, ap.Port())
	}
	if o.port != 0 {
		ap = netip.AddrPortFrom(ap.Addr(), uint16(o.port))
	}
	return ap.String()
}

// serverTemplate parses server-template PREFIX NUMBER|FROM-TO ADDRESS [OPTIONS].
func (b *builder) serverTemplate(w []string) {
	if len(w) < 4 {
		b.errorf("server-template takes a prefix, a number and an address")
		return
	}
	lo, hi, isRange := strings.Cut(w[2], "-")
	if !isRange {
		lo, hi = "1", w[2]
	}
	from, err1 := parsePositive(lo)
	to, err2 := parsePositive(hi)
	if err1 != nil || err2 != nil || to < from || to-from > 1000 {
		b.errorf("server-template: %q is no number or range of at most 1000", w[2])
		return
	}
	addr, reason, err := b.parseServerAddress(w[3])
	if err != nil {
		b.errorf("server-template: %v", err)
		return
	}
	for n := from; n <= to; n++ {
		b.addServer(w[1]+strconv.Itoa(n), addr, reason, w[4:])
	}
}

// parseServerAddress parses the address of a server. A non-empty reason states why a well-formed address
// is not supported.
func (b *builder) parseServerAddress(s string) (addr, reason string, err error) {
	family, rest := cutFamily(s)
	switch family {
	case "", "ipv4", "ipv6", "tcp", "tcp4", "tcp6":
	case "unix", "abns", "abnsz", "fd", "sockpair", "udp", "udp4", "udp6", "quic4", "quic6", "uxst", "uxdg", "rhttp", "mptcp", "mptcp4", "mptcp6":
		return "", "only TCP addresses are used", nil
	default:
		return "", "", fmt.Errorf("unknown family of the address %q", s)
	}
	if strings.HasPrefix(rest, "/") {
		return "", "only TCP addresses are used", nil
	}
	colon := strings.LastIndexByte(rest, ':')
	if colon < 0 || strings.HasSuffix(rest, "]") {
		return "", "no port: the client's would be used, which differs by frontend; give one", nil
	}
	host, port := strings.Trim(rest[:colon], "[]"), rest[colon+1:]
	if strings.HasPrefix(port, "+") || strings.HasPrefix(port, "-") {
		return "", "a port relative to the client's; give it", nil
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil || n == 0 {
		return "", "", fmt.Errorf("%q has no port that can be used", s)
	}
	ip, reason, err := b.resolveHost(s, host)
	if err != nil || reason != "" {
		return "", reason, err
	}
	return netip.AddrPortFrom(ip, uint16(n)).String(), "", nil
}

// resolveHost parses the host of an address: an IP address or a name that Options.Hosts resolves. A
// non-empty reason states why a well-formed host is not supported.
func (b *builder) resolveHost(address, host string) (ip netip.Addr, reason string, err error) {
	if ip, err := netip.ParseAddr(host); err == nil {
		return ip, "", nil
	}
	if known, ok := b.importer.opt.Hosts[host]; ok {
		if ip, err = netip.ParseAddr(known); err != nil {
			return ip, "", fmt.Errorf("--host %s=%s is no address", host, known)
		}
		return ip, "", nil
	}
	if host == "" || strings.Trim(host, "0123456789.") == "" || strings.ContainsAny(host, " :/") {
		return ip, "", fmt.Errorf("%q is no address", address)
	}
	return ip, "names are not looked up: give --host " + host + "=ADDRESS", nil
}

// cutFamily splits an address into its family, which may be empty, and the rest.
func cutFamily(s string) (family, rest string) {
	if family, rest, ok := strings.Cut(s, "@"); ok {
		return family, rest
	}
	return "", s
}

// parsePortRange parses a port or a range of ports, FROM-TO.
func parsePortRange(s string) (from, to uint64, ok bool) {
	lo, hi, isRange := strings.Cut(s, "-")
	if !isRange {
		hi = lo
	}
	from, err1 := strconv.ParseUint(lo, 10, 16)
	to, err2 := strconv.ParseUint(hi, 10, 16)
	return from, to, err1 == nil && err2 == nil && from > 0 && to >= from
}

// bind parses the listen addresses of a frontend.
func (b *builder) bind(w []string) {
	if len(w) < 2 {
		b.errorf("bind takes an address")
		return
	}
	omitted, ok := b.readBindOptions(w[2:])
	if !ok {
		return
	}
	var listen []string
	for _, a := range strings.Split(w[1], ",") {
		all, reason, err := bindAddress(a)
		if err != nil {
			b.errorf("bind: %v", err)
			return
		}
		if reason != "" {
			omitted = append(omitted, a+" ("+reason+")")
		}
		listen = append(listen, all...)
	}
	if len(listen) == 0 {
		b.addEntry(NotCarried, "%s", strings.Join(omitted, ", "))
		return
	}
	for _, a := range listen {
		if !slices.Contains(b.frontend.Listen, a) {
			b.frontend.Listen = append(b.frontend.Listen, a)
		}
	}
	b.reportOptions(omitted, "")
}

// readBindOptions returns the unknown options of a bind directive. It reports whether the directive can be
// imported without them. Otherwise it adds an entry or an error.
func (b *builder) readBindOptions(w []string) (omitted []string, ok bool) {
	for i := 0; i < len(w); i++ {
		takesValue, known := bindOptions[w[i]]
		switch {
		case w[i] == "ssl":
			b.addEntry(NotCarried, "TLS is not spoken: put it in front, or bind another port")
			return nil, false
		case w[i] == "accept-proxy" || w[i] == "accept-netscaler-cip":
			b.addEntry(NotCarried, "the PROXY protocol is not spoken")
			return nil, false
		case w[i] == "proto" && i+1 < len(w) && w[i+1] != "h1":
			b.addEntry(NotCarried, "clients are spoken to in HTTP/1.1")
			return nil, false
		case !known:
			omitted = append(omitted, w[i]+" ("+reasonUnknown+")")
		}
		if takesValue {
			if i++; i == len(w) {
				b.errorf("bind: %s lacks its value", w[i-1])
				return nil, false
			}
		}
	}
	return omitted, true
}

// maxBindPorts is the maximum number of ports in the range of one listen address.
const maxBindPorts = 64

// bindAddress parses a listen address with a port or a range of ports. It returns one address per port. A
// non-empty reason states why a well-formed address is not supported.
func bindAddress(s string) (listen []string, reason string, err error) {
	family, rest := cutFamily(s)
	if strings.HasPrefix(rest, "/") || !slices.Contains([]string{"", "ipv4", "ipv6", "tcp", "tcp4", "tcp6"}, family) {
		return nil, "only TCP addresses are listened on", nil
	}
	colon := strings.LastIndexByte(rest, ':')
	if colon < 0 {
		return nil, "", fmt.Errorf("%q has no port", s)
	}
	host, port := strings.Trim(rest[:colon], "[]"), rest[colon+1:]
	if host == "" || host == "*" {
		host = "0.0.0.0"
		if family == "ipv6" || family == "tcp6" {
			host = "::"
		}
	}
	ip, err := netip.ParseAddr(host)
	if err != nil {
		return nil, "", fmt.Errorf("%q is no address to listen on", s)
	}
	from, to, ok := parsePortRange(port)
	if !ok {
		return nil, "", fmt.Errorf("%q has no port that can be used", s)
	}
	if to-from >= maxBindPorts {
		return nil, "more than 64 ports", nil
	}
	for p := from; p <= to; p++ {
		listen = append(listen, netip.AddrPortFrom(ip, uint16(p)).String())
	}
	return listen, "", nil
}
