package reverseproxy

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/testkit"
)

// TestRunWaitsForHealthChecks checks that no health check is running once Run has returned, including checks that a
// reload has replaced.
func TestRunWaitsForHealthChecks(t *testing.T) {
	hung := testkit.HungAddr(t)
	var servers []dispatchconfig.WebServer
	for range 500 { // with this many servers, stopping all checks takes noticeable time
		servers = append(servers, dispatchconfig.WebServer{Addr: hung})
	}
	w := singleBackendConfig(t, servers...)
	w.Backends[0].Check = &dispatchconfig.WebCheck{Kind: "tcp", Interval: 0.01, Timeout: 3600}
	p, stop := start(t, w)
	const (
		check     = "healthcheck.(*Check).probe"
		maxChecks = 32 // concurrent checks
	)
	testkit.Eventually(t, "the checks to run", func() bool { return len(testkit.Goroutines(check)) == maxChecks })
	if _, err := p.Reload(w); err != nil {
		t.Error(err)
	}
	testkit.Eventually(t, "only the new checks to run", func() bool { return len(testkit.Goroutines(check)) == maxChecks })
	stop()
	if running := testkit.Goroutines("healthcheck."); len(running) > 0 {
		t.Errorf("health check goroutines after Run has returned:\n%s", strings.Join(running, "\n\n"))
	}
}

// TestStopCancelsDialOfTransfer checks that stopping the proxy cancels the dial for a request with a long body, rather
// than waiting for the connect timeout.
func TestStopCancelsDialOfTransfer(t *testing.T) {
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
	const attempt = "reverseproxy.(*transfer).attempt(" // with the parenthesis only goroutines that run it match, not those that it started
	testkit.Eventually(t, "the dial to start", func() bool { return len(testkit.Goroutines(attempt)) > 0 })
	stop()
	testkit.Eventually(t, "the dial to end", func() bool { return len(testkit.Goroutines(attempt)) == 0 })
}
