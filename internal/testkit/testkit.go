// Package testkit provides helpers that the tests of several packages share.
package testkit

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// awaitTimeout is the time after which Await and Eventually fail the test; a passing test waits far less.
const awaitTimeout = 20 * time.Second

// pollInterval is the interval at which Eventually checks its condition.
const pollInterval = 2 * time.Millisecond

// Main runs a package's tests with a number of checks for each rapid property and a fixed seed.
func Main(m *testing.M, checks int) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": strconv.Itoa(checks),
		"rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var addressCount atomic.Uint32 // number of addresses that Free has returned

// Free returns a different loopback address of a network, "tcp4" or "udp4", on each call, on
// which nothing listens. The port is not reserved until the caller binds it, and an outgoing
// connection from 127.0.0.1 or the next call of Free could take it. For this reason the host
// part of the address depends on the process and on the call.
func Free(network string) (string, error) {
	pid, n := os.Getpid(), addressCount.Add(1)
	host := fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>8&127, pid&255, 1+n%250)
	if network == "udp4" {
		c, err := new(net.ListenConfig).ListenPacket(context.Background(), network, host)
		if err != nil {
			return "", err
		}
		return c.LocalAddr().String(), c.Close()
	}
	l, err := new(net.ListenConfig).Listen(context.Background(), network, host)
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// FreeAddr returns a free TCP address, or fails the test.
func FreeAddr(t testing.TB) string {
	t.Helper()
	addr, err := Free("tcp4")
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// RefusingAddr returns a loopback address that refuses TCP connections until the test ends. Another
// test or process could take a port that is merely unused at the moment. RefusingAddr therefore
// binds a socket to the port without SO_REUSEADDR and does not listen on it: nobody else can bind
// the port, and the kernel answers each connection attempt with a reset.
func RefusingAddr(t testing.TB) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal("creating the socket of a refusing address:", err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal("binding a refusing address:", err)
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal("reading the port of a refusing address:", err)
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(bound.(*unix.SockaddrInet4).Port)).String()
}

// Listen listens on a TCP address until the test ends.
func Listen(t testing.TB, addr string) net.Listener {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() }) // the test may have closed it
	return l
}

// Dial connects to a TCP address. The connection is closed when the test ends.
func Dial(t testing.TB, addr string) net.Conn {
	t.Helper()
	c, err := new(net.Dialer).DialContext(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() }) // the test may have closed it
	return c
}

// Accept listens on loopback until the test ends and handles each connection in its own
// goroutine.
func Accept(t *testing.T, handle func(net.Conn)) (addr string) {
	t.Helper()
	l := Listen(t, "127.0.0.1:0")
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go handle(c)
		}
	}()
	return l.Addr().String()
}

// Await returns the next value of a channel, or fails the test after 20 s.
func Await[T any](t *testing.T, what string, from <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-from:
	case <-time.After(awaitTimeout):
		t.Fatalf("timed out waiting for %s", what)
	}
	return v
}

// HungAddr returns a TCP address on loopback that neither accepts nor resets connection attempts until the test ends, because the
// backlog of its listening socket is full.
func HungAddr(t testing.TB) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) }) // nothing was written to it
	loopback := &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}
	if err := errors.Join(unix.Bind(fd, loopback), unix.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(bound.(*unix.SockaddrInet4).Port))
	const backlogFull = 100 * time.Millisecond // a dial on loopback takes microseconds unless the backlog is full
	for range 10 {
		c, err := (&net.Dialer{Timeout: backlogFull}).DialContext(t.Context(), "tcp", addr)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { _ = c.Close() }) // nothing was written to it
	}
	t.Fatal("the backlog is not full after 10 connections")
	return ""
}

// Eventually waits until a condition holds, or fails the test after 20 s.
func Eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for began := time.Now(); !holds(); time.Sleep(pollInterval) {
		if time.Since(began) > awaitTimeout {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}
