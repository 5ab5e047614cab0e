package reverseproxy

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/testkit"
)

// Once Run has returned no health check is under way, also where a reload has replaced those that were.
func TestRunWaitsForHealthChecks(t *testing.T) {
	hung := testkit.HungAddr(t)
	var servers []dispatchconfig.WebServer
	for range 500 { // so many that it takes a moment until all checks have ended
		servers = append(servers, dispatchconfig.WebServer{Addr: hung})
	}
	w := singleBackendConfig(t, servers...)
	w.Backends[0].Check = &dispatchconfig.WebCheck{Kind: "tcp", Interval: 0.01, Timeout: 3600}
	p, stop := start(t, w)
	const (
		check     = "healthcheck.(*Check).probe"
		maxChecks = 32 // at a time
	)
	testkit.Eventually(t, "a check", func() bool { return len(testkit.Goroutines(check)) == maxChecks })
	if _, err := p.Reload(w); err != nil {
		t.Error(err)
	}
	testkit.Eventually(t, "the new checks alone", func() bool { return len(testkit.Goroutines(check)) == maxChecks })
	stop()
	if left := testkit.Goroutines("healthcheck."); len(left) > 0 {
		t.Errorf("left running:\n%s", strings.Join(left, "\n\n"))
	}
}

// A dial for a request with a long body ends with the proxy, and not when the time for connecting is over.
func TestDialOfATransferEndsWithTheProxy(t *testing.T) {
	w := singleBackendConfig(t, dispatchconfig.WebServer{Name: "hung", Addr: testkit.HungAddr(t)})
	w.Backends[0].ConnectTimeout = 600
	_, stop := start(t, w)
	client := dial(t, w.Frontends[0].Listen[0])
	const size = 1 << 20
	if _, err := fmt.Fprintf(client.conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(client.conn, strings.Repeat("x", size/2)); err != nil {
		t.Fatal(err)
	}
	const attempt = "reverseproxy.(*transfer).attempt(" // running it, not started by it
	testkit.Eventually(t, "the dial", func() bool { return len(testkit.Goroutines(attempt)) > 0 })
	stop()
	testkit.Eventually(t, "the end of the dial", func() bool { return len(testkit.Goroutines(attempt)) == 0 })
}
