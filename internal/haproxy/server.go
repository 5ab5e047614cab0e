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

func isMissing(err error) bool {
	return errors.Is(err, fs.ErrNotExist) || errors.Is(err, fs.ErrPermission)
}

func positive(s string) (int, error) {
	n, err := strconv.Atoi(s)
	if err != nil || n <= 0 || n > 1<<30 {
		return 0, fmt.Errorf("%q is no positive number", s)
	}
	return n, nil
}

// options are what a server's line says behind its address.
type options struct {
	weight   *int
	backup   bool
	disabled bool
	maxConn  int
	cookie   string
	check    bool
	over     dispatchconfig.WebCheck
	port     int
	addr     string
	track    string
	slow     float64
}

// read reads options and returns those that are not carried over, each with its reason.
func (o *options) read(b *builder, w []string) (without []string, err error) {
	for i := 0; i < len(w); i++ {
		name := w[i]
		takes, known := serverOptions[name]
		if !known {
			without = append(without, name+" (not known here)")
			continue
		}
		value := ""
		if takes {
			if i++; i == len(w) {
				return without, fmt.Errorf("%s lacks its value", name)
			}
			value = w[i]
		}
		number := func(least, most int) int {
			n, e := strconv.Atoi(value)
			if e != nil || n < least || n > most {
				err = errors.Join(err, fmt.Errorf("%s: %q is no number between %d and %d", name, value, least, most))
			}
			return n
		}
		time := func() float64 {
			d, e := duration(value)
			if e != nil {
				err = errors.Join(err, fmt.Errorf("%s: %w", name, e))
			}
			return d.Seconds()
		}
		switch name {
		case "weight":
			n := number(0, 256)
			o.weight = &n
		case "backup", "no-backup":
			o.backup = name == "backup"
		case "disabled", "enabled":
			o.disabled = name == "disabled"
		case "maxconn":
			o.maxConn = number(0, 1<<30)
		case "cookie":
			o.cookie = value
		case "check", "no-check":
			o.check = name == "check"
		case "inter":
			o.over.Every = time()
		case "fastinter":
			o.over.Fast = time()
		case "downinter":
			o.over.Down = time()
		case "rise":
			o.over.Rise = number(1, 1000)
		case "fall":
			o.over.Fall = number(1, 1000)
		case "port":
			o.port = number(1, 65535)
		case "addr":
			o.addr = value
		case "track":
			o.track = value
		case "slowstart":
			o.slow = time()
		default:
			if reason := optionReasons[name]; reason != "" {
				without = append(without, name+" ("+reason+")")
			}
		}
	}
	return without, err
}

// options notes a line that is carried over but for some of its options.
func (b *builder) options(without []string, how string) {
	if len(without) > 0 {
		b.note(Differently, "without %s", strings.Join(without, ", "))
	} else {
		b.note(Carried, "%s", how)
	}
}

// fatal are options without which a server cannot be spoken to.
var fatal = map[string]string{"ssl": "servers are spoken to without TLS", "send-proxy": "the PROXY protocol is not spoken",
	"send-proxy-v2": "the PROXY protocol is not spoken", "send-proxy-v2-ssl": "the PROXY protocol is not spoken",
	"proto": "servers are spoken to in HTTP/1.1"}

func (b *builder) server(w []string) {
	if len(w) < 3 {
		b.fail("server takes a name and an address")
		return
	}
	if slices.ContainsFunc(b.back.Servers, func(s dispatchconfig.WebServer) bool { return s.Name == w[1] }) {
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

// add adds a server, unless a reason speaks against it.
func (b *builder) add(name, addr, reason string, rest []string) {
	o := &options{}
	if _, err := o.read(b, b.base); err != nil {
		return // said where default-server stands
	}
	without, err := o.read(b, rest)
	if err != nil {
		b.fail("server %s: %v", name, err)
		return
	}
	all := slices.Concat(b.base, rest)
	for option, why := range fatal {
		if i := slices.Index(all, option); i >= 0 && reason == "" && (option != "proto" || i+1 < len(all) && all[i+1] != "h1") {
			reason = why
		}
	}
	if reason != "" {
		b.note(NotCarried, "%s", reason)
		return
	}
	s := dispatchconfig.WebServer{Name: name, Addr: addr, Backup: o.backup, Disabled: o.disabled, MaxConn: o.maxConn, Cookie: o.cookie}
	if o.weight != nil && *o.weight != 1 {
		s.Weight = o.weight
	}
	if o.track != "" {
		s.Track = o.track
		if !strings.Contains(s.Track, "/") {
			s.Track = b.back.Name + "/" + s.Track
		}
	} else if o.check {
		if b.check == nil {
			b.kind("tcp")
		}
		if o.over.Every != 0 || o.over.Fast != 0 || o.over.Down != 0 || o.over.Rise != 0 || o.over.Fall != 0 {
			s.Check = &o.over
		}
		s.CheckAt = checkAt(addr, o)
	} else {
		s.NoCheck = true
	}
	if o.slow > 0 {
		b.back.SlowStart = max(b.back.SlowStart, o.slow)
	}
	b.back.Servers = append(b.back.Servers, s)
	b.options(without, "")
}

func checkAt(addr string, o *options) string {
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
	family, rest, ok := strings.Cut(s, "@")
	if !ok {
		family, rest = "", s
	}
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
	ip, err := netip.ParseAddr(host)
	if err != nil {
		if known, ok := b.im.opt.Hosts[host]; ok {
			if ip, err = netip.ParseAddr(known); err != nil {
				return "", "", fmt.Errorf("--host %s=%s is no address", host, known)
			}
		} else if host == "" || strings.Trim(host, "0123456789.") == "" || strings.ContainsAny(host, " :/") {
			return "", "", fmt.Errorf("%q is no address", s)
		} else {
			return "", "names are not looked up: give --host " + host + "=ADDRESS", nil
		}
	}
	return netip.AddrPortFrom(ip, uint16(n)).String(), "", nil
}

// bind reads the addresses of a frontend.
func (b *builder) bind(w []string) {
	if len(w) < 2 {
		b.fail("bind takes an address")
		return
	}
	var without []string
	for i := 2; i < len(w); i++ {
		takes, known := bindOptions[w[i]]
		switch {
		case w[i] == "ssl":
			b.note(NotCarried, "TLS is not spoken: put it in front, or bind another port")
			return
		case w[i] == "accept-proxy" || w[i] == "accept-netscaler-cip":
			b.note(NotCarried, "the PROXY protocol is not spoken")
			return
		case w[i] == "proto" && i+1 < len(w) && w[i+1] != "h1":
			b.note(NotCarried, "clients are spoken to in HTTP/1.1")
			return
		case !known:
			without = append(without, w[i]+" (not known here)")
		}
		if takes {
			if i++; i == len(w) {
				b.fail("bind: %s lacks its value", w[i-1])
				return
			}
		}
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
		if !slices.Contains(b.front.Listen, a) {
			b.front.Listen = append(b.front.Listen, a)
		}
	}
	b.options(without, "")
}

// bindAddress reads an address to listen on, or a range of ports.
func bindAddress(s string) (listen []string, reason string, err error) {
	family, rest, ok := strings.Cut(s, "@")
	if !ok {
		family, rest = "", s
	}
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
	lo, hi, isRange := strings.Cut(port, "-")
	if !isRange {
		hi = lo
	}
	from, err1 := strconv.ParseUint(lo, 10, 16)
	to, err2 := strconv.ParseUint(hi, 10, 16)
	if err1 != nil || err2 != nil || from == 0 || to < from {
		return nil, "", fmt.Errorf("%q has no port that can be used", s)
	}
	if to-from >= 64 {
		return nil, "more than 64 ports", nil
	}
	for p := from; p <= to; p++ {
		listen = append(listen, netip.AddrPortFrom(ip, uint16(p)).String())
	}
	return listen, "", nil
}
