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

// isUnreadable reports whether a file that a rule names cannot be read.
func isUnreadable(err error) bool {
	return errors.Is(err, fs.ErrNotExist) || errors.Is(err, fs.ErrPermission)
}

// positive parses an integer from 1 to 2^30.
func positive(s string) (int, error) {
	n, err := strconv.Atoi(s)
	if err != nil || n <= 0 || n > 1<<30 {
		return 0, fmt.Errorf("%q is no positive number", s)
	}
	return n, nil
}

// options are the options of a server's line, which follow its address.
type options struct {
	weight    *int // nil: not given
	backup    bool
	disabled  bool
	maxConn   int
	cookie    string
	check     bool
	override  dispatchconfig.WebCheck // times and thresholds of this server's check
	port      int                     // where to check; 0: the server's
	addr      string                  // where to check; "": the server's
	track     string
	slowStart float64 // seconds
}

// read parses options and returns those that are not carried over, each with its reason.
func (o *options) read(w []string) (without []string, err error) {
	for i := 0; i < len(w); i++ {
		name := w[i]
		takes, known := serverOptions[name]
		if !known {
			without = append(without, name+" ("+unknownDirective+")")
			continue
		}
		value := ""
		if takes {
			if i++; i == len(w) {
				return without, fmt.Errorf("%s lacks its value", name)
			}
			value = w[i]
		}
		if set := setOptions[name]; set != nil {
			if e := set(o, value); e != nil {
				err = errors.Join(err, fmt.Errorf("%s: %w", name, e))
			}
		} else if reason := optionReasons[name]; reason != "" {
			without = append(without, name+" ("+reason+")")
		}
	}
	return without, err
}

// setOptions set an option, by its name, to a value; "" where it takes none.
var setOptions = map[string]func(o *options, value string) error{
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
	"rise":      func(o *options, v string) error { return setNumber(&o.override.Rise, v, 1, 1000) },
	"fall":      func(o *options, v string) error { return setNumber(&o.override.Fall, v, 1, 1000) },
	"port":      func(o *options, v string) error { return setNumber(&o.port, v, 1, 65535) },
	"inter":     func(o *options, v string) error { return setSeconds(&o.override.Interval, v) },
	"fastinter": func(o *options, v string) error { return setSeconds(&o.override.FastInterval, v) },
	"downinter": func(o *options, v string) error { return setSeconds(&o.override.DownInterval, v) },
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
	d, err := duration(value)
	if err != nil {
		return err
	}
	*to = d.Seconds()
	return nil
}

// reportOptions notes a line that is carried over but for some of its options.
func (b *builder) reportOptions(without []string, how string) {
	if len(without) > 0 {
		b.note(Differently, "without %s", strings.Join(without, ", "))
	} else {
		b.note(Carried, "%s", how)
	}
}

// unsupportedTransports are options that change the protocol to the server, so that a server with them cannot be carried over,
// and the reasons; of several the first counts. Proto with the value h1 is supported.
var unsupportedTransports = []struct{ option, reason string }{
	{"ssl", "servers are spoken to without TLS"},
	{"send-proxy", "the PROXY protocol is not spoken"},
	{"send-proxy-v2", "the PROXY protocol is not spoken"},
	{"send-proxy-v2-ssl", "the PROXY protocol is not spoken"},
	{"proto", "servers are spoken to in HTTP/1.1"},
}

func (b *builder) server(w []string) {
	if len(w) < 3 {
		b.fail("server takes a name and an address")
		return
	}
	if slices.ContainsFunc(b.backend.Servers, func(s dispatchconfig.WebServer) bool { return s.Name == w[1] }) {
		b.fail("server %q is there twice", w[1])
		return
	}
	addr, reason, err := b.address(w[2])
	if err != nil {
		b.fail("server %s: %v", w[1], err)
		return
	}
	b.add(w[1], addr, reason, w[3:])
}

// add adds a server, unless there is a reason that it cannot be carried over.
func (b *builder) add(name, addr, reason string, rest []string) {
	o := &options{}
	if _, err := o.read(b.defaults); err != nil {
		return // reported at default-server
	}
	without, err := o.read(rest)
	if err != nil {
		b.fail("server %s: %v", name, err)
		return
	}
	if reason == "" {
		reason = unsupportedTransport(slices.Concat(b.defaults, rest))
	}
	if reason != "" {
		b.note(NotCarried, "%s", reason)
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
	b.reportOptions(without, "")
}

// unsupportedTransport returns why a server with such options cannot be spoken to, "" if it can.
func unsupportedTransport(options []string) string {
	for _, unsupported := range unsupportedTransports {
		i := slices.Index(options, unsupported.option)
		if i >= 0 && (unsupported.option != "proto" || i+1 < len(options) && options[i+1] != "h1") {
			return unsupported.reason
		}
	}
	return ""
}

// setCheck says how a server's health is found out: as that of another, by checks, or not at all.
func (b *builder) setCheck(s *dispatchconfig.WebServer, o *options) {
	switch {
	case o.track != "":
		s.Track = o.track
		if !strings.Contains(s.Track, "/") {
			s.Track = b.backend.Name + "/" + s.Track
		}
	case o.check:
		b.ensureCheck("")
		if c := &o.override; c.Interval != 0 || c.FastInterval != 0 || c.DownInterval != 0 || c.Rise != 0 || c.Fall != 0 {
			s.Check = c
		}
		s.CheckAddr = checkAddr(s.Addr, o)
	default:
		s.NoCheck = true
	}
}

// checkAddr returns where a server is checked, "" for its own address.
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

// template reads server-template PREFIX NUMBER|FROM-TO ADDRESS.
func (b *builder) template(w []string) {
	if len(w) < 4 {
		b.fail("server-template takes a prefix, a number and an address")
		return
	}
	lo, hi, isRange := strings.Cut(w[2], "-")
	if !isRange {
		lo, hi = "1", w[2]
	}
	from, err1 := positive(lo)
	to, err2 := positive(hi)
	if err1 != nil || err2 != nil || to < from || to-from > 1000 {
		b.fail("server-template: %q is no number or range of at most 1000", w[2])
		return
	}
	addr, reason, err := b.address(w[3])
	if err != nil {
		b.fail("server-template: %v", err)
		return
	}
	for n := from; n <= to; n++ {
		b.add(w[1]+strconv.Itoa(n), addr, reason, w[4:])
	}
}

// address reads the address of a server. A reason says why it cannot be used although it
// is well formed.
func (b *builder) address(s string) (addr, reason string, err error) {
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
	ip, reason, err := b.host(s, host)
	if err != nil || reason != "" {
		return "", reason, err
	}
	return netip.AddrPortFrom(ip, uint16(n)).String(), "", nil
}

// host reads the host of an address, which may be a name whose address is given. A reason says why
// it cannot be used although it is well formed.
func (b *builder) host(address, host string) (ip netip.Addr, reason string, err error) {
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

// cutFamily parts the family of an address, "" for none, from the rest.
func cutFamily(s string) (family, rest string) {
	if family, rest, ok := strings.Cut(s, "@"); ok {
		return family, rest
	}
	return "", s
}

// parsePorts reads a port or a range of ports, FROM-TO.
func parsePorts(s string) (from, to uint64, ok bool) {
	lo, hi, isRange := strings.Cut(s, "-")
	if !isRange {
		hi = lo
	}
	from, err1 := strconv.ParseUint(lo, 10, 16)
	to, err2 := strconv.ParseUint(hi, 10, 16)
	return from, to, err1 == nil && err2 == nil && from > 0 && to >= from
}

// bind reads the addresses of a frontend.
func (b *builder) bind(w []string) {
	if len(w) < 2 {
		b.fail("bind takes an address")
		return
	}
	without, ok := b.readBindOptions(w[2:])
	if !ok {
		return
	}
	var listen []string
	for _, a := range strings.Split(w[1], ",") {
		all, reason, err := bindAddress(a)
		if err != nil {
			b.fail("bind: %v", err)
			return
		}
		if reason != "" {
			without = append(without, a+" ("+reason+")")
		}
		listen = append(listen, all...)
	}
	if len(listen) == 0 {
		b.note(NotCarried, "%s", strings.Join(without, ", "))
		return
	}
	for _, a := range listen {
		if !slices.Contains(b.frontend.Listen, a) {
			b.frontend.Listen = append(b.frontend.Listen, a)
		}
	}
	b.reportOptions(without, "")
}

// readBindOptions returns the options of a bind that are not carried over. It reports whether the
// bind can be carried over without them, and notes why if not.
func (b *builder) readBindOptions(w []string) (without []string, ok bool) {
	for i := 0; i < len(w); i++ {
		takes, known := bindOptions[w[i]]
		switch {
		case w[i] == "ssl":
			b.note(NotCarried, "TLS is not spoken: put it in front, or bind another port")
			return nil, false
		case w[i] == "accept-proxy" || w[i] == "accept-netscaler-cip":
			b.note(NotCarried, "the PROXY protocol is not spoken")
			return nil, false
		case w[i] == "proto" && i+1 < len(w) && w[i+1] != "h1":
			b.note(NotCarried, "clients are spoken to in HTTP/1.1")
			return nil, false
		case !known:
			without = append(without, w[i]+" ("+unknownDirective+")")
		}
		if takes {
			if i++; i == len(w) {
				b.fail("bind: %s lacks its value", w[i-1])
				return nil, false
			}
		}
	}
	return without, true
}

// maxBindPorts bounds a range of ports to listen on.
const maxBindPorts = 64

// bindAddress reads an address to listen on, or a range of ports.
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
	from, to, ok := parsePorts(port)
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
