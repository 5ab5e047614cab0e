package httpd

import (
	"errors"
	"net/netip"

	"golang.org/x/sys/unix"
)

func resolve(addr string) (network int, sa unix.Sockaddr, err error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return 0, nil, errors.New("not an IP address and a port")
	}
	if ip := ap.Addr(); ip.Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Port: int(ap.Port()), Addr: ip.As4()}, nil
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Port: int(ap.Port()), Addr: ap.Addr().As16()}, nil
}
