package route

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
)

func matchExact(patterns []string, foldCase bool) (func(string) bool, error) {
	if len(patterns) == 1 && !foldCase {
		p := patterns[0]
		return func(s string) bool { return s == p }, nil
	}
	set := make(map[string]bool, len(patterns))
	for _, p := range patterns {
		if foldCase {
			p = strings.ToLower(p)
		}
		set[p] = true
	}
	return func(s string) bool {
		if foldCase {
			s = strings.ToLower(s)
		}
		return set[s]
	}, nil
}

func matchAny(test func(s, p string) bool) func([]string, bool) (func(string) bool, error) {
	return func(patterns []string, foldCase bool) (func(string) bool, error) {
		if foldCase {
			lower := make([]string, len(patterns))
			for i, p := range patterns {
				lower[i] = strings.ToLower(p)
			}
			patterns = lower
		}
		return func(s string) bool {
			if foldCase {
				s = strings.ToLower(s)
			}
			for _, p := range patterns {
				if test(s, p) {
					return true
				}
			}
			return false
		}, nil
	}
}

// containsDelimited reports whether s contains p such that each end of p is at a delimiter or an end of s.
func containsDelimited(s, p, delimiters string) bool {
	p = strings.Trim(p, delimiters)
	for at := 0; ; {
		i := strings.Index(s[at:], p)
		if i < 0 || p == "" {
			return false
		}
		from, to := at+i, at+i+len(p)
		if (from == 0 || strings.IndexByte(delimiters, s[from-1]) >= 0) && (to == len(s) || strings.IndexByte(delimiters, s[to]) >= 0) {
			return true
		}
		at = from + 1
	}
}

func matchRegexp(patterns []string, foldCase bool) (func(string) bool, error) {
	var regexps []*regexp.Regexp
	for _, p := range patterns {
		re, err := compileRegexp(p, foldCase)
		if err != nil {
			return nil, err
		}
		regexps = append(regexps, re)
	}
	return func(s string) bool {
		for _, re := range regexps {
			if re.MatchString(s) {
				return true
			}
		}
		return false
	}, nil
}

// matchInt matches integers and ranges such as 1:10. A comparison operator applies to the patterns after it.
func matchInt(patterns []string, _ bool) (func(string) bool, error) {
	type intRange struct{ from, to int64 }
	var ranges []intRange
	op := "eq"
	for _, p := range patterns {
		switch p {
		case "eq", "ge", "gt", "le", "lt":
			op = p
			continue
		}
		lo, hi, isRange := strings.Cut(p, ":")
		if !isRange {
			hi = lo
		}
		const minValue, maxValue = -1 << 62, 1 << 62
		from, err := parseBound(lo, minValue)
		if err != nil {
			return nil, err
		}
		to, err := parseBound(hi, maxValue)
		if err != nil {
			return nil, err
		}
		switch op {
		case "ge":
			to = maxValue
		case "gt":
			from, to = to+1, maxValue
		case "le":
			from = minValue
		case "lt":
			from, to = minValue, from-1
		}
		ranges = append(ranges, intRange{from, to})
	}
	return func(s string) bool {
		v, err := strconv.ParseInt(s, 10, 64)
		if err != nil {
			return false
		}
		for _, p := range ranges {
			if v >= p.from && v <= p.to {
				return true
			}
		}
		return false
	}, nil
}

// parseBound parses a bound of a range. It returns absent for an empty string.
func parseBound(s string, absent int64) (int64, error) {
	if s == "" {
		return absent, nil
	}
	v, err := strconv.ParseInt(s, 10, 62)
	if err != nil {
		return 0, fmt.Errorf("%q is no number", s)
	}
	return v, nil
}

// matchIP matches IP addresses and networks.
func matchIP(patterns []string, _ bool) (func(string) bool, error) {
	var nets []netip.Prefix
	for _, p := range patterns {
		if a, err := netip.ParseAddr(p); err == nil {
			nets = append(nets, netip.PrefixFrom(a, a.BitLen()))
			continue
		}
		n, err := netip.ParsePrefix(p)
		if err != nil {
			// HAProxy also accepts a netmask instead of a prefix length.
			addr, mask, ok := strings.Cut(p, "/")
			a, err1 := netip.ParseAddr(addr)
			m, err2 := netip.ParseAddr(mask)
			if !ok || err1 != nil || err2 != nil || !a.Is4() || !m.Is4() {
				return nil, fmt.Errorf("%q is no address or network", p)
			}
			bits, b := 0, m.As4()
			for _, x := range b {
				for ; x&0x80 != 0; x <<= 1 {
					bits++
				}
			}
			n = netip.PrefixFrom(a, bits)
		}
		nets = append(nets, n.Masked())
	}
	return func(s string) bool {
		a, err := netip.ParseAddr(s)
		if err != nil {
			return false
		}
		for _, n := range nets {
			if n.Contains(a) {
				return true
			}
		}
		return false
	}, nil
}
