package reverseproxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/dispatchdriver"
	"sedgevale/internal/evloop"
	"sedgevale/internal/fdlimit"
	"sedgevale/internal/route"
	"sedgevale/internal/testkit"
)

// serve runs a Proxy until the test ends and returns it with the address of its first frontend.
func serve(t testing.TB, w *dispatchconfig.Web) (*Proxy, string) {
	t.Helper()
	s, stop := start(t, w)
	t.Cleanup(stop)
	return s, w.Frontends[0].Listen[0]
}

// start runs a Proxy. stop must be called once; it stops the Proxy and returns when Run has returned.
func start(t testing.TB, w *dispatchconfig.Web) (p *Proxy, stop func()) {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	loop, err := evloop.New(log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = loop.Stop() })
	p, err = New(Options{Config: w, Loops: 1, Loop: loop, Clock: dispatchdriver.NewClock(), Seed: 1, Budget: fdlimit.New(0), Log: log})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { p.Run(ctx); close(done) }()
	for _, l := range p.Servers() {
		if err := l.Start(ctx, nil); err != nil {
			t.Fatal(err)
		}
	}
	return p, func() {
		for _, l := range p.Servers() {
			_ = l.Stop()
		}
		cancel()
		<-done
	}
}

// listen listens on a free port. The caller closes the listener.
func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := tryListen(t, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func tryListen(t testing.TB, addr string) (net.Listener, error) {
	var lc net.ListenConfig
	return lc.Listen(t.Context(), "tcp", addr)
}

// singleBackendConfig returns a configuration with one frontend and one backend. Unnamed servers get the names s0, s1
// and so on.
func singleBackendConfig(t testing.TB, servers ...dispatchconfig.WebServer) *dispatchconfig.Web {
	for i := range servers {
		if servers[i].Name == "" {
			servers[i].Name = fmt.Sprint("s", i)
		}
	}
	return &dispatchconfig.Web{Frontends: []dispatchconfig.WebFrontend{{Name: "in", Listen: []string{testkit.FreeAddr(t)}, Spec: route.Spec{Default: "app"}}},
		Backends: []dispatchconfig.WebBackend{{Name: "app", ConnectTimeout: 1, ServerTimeout: 5, Servers: servers}}}
}

// origin starts an origin server with the given handler and returns its address.
func origin(t testing.TB, h http.HandlerFunc) string {
	t.Helper()
	l := listen(t)
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// rawClient is a client that sends requests as raw bytes.
type rawClient struct {
	t    testing.TB
	conn net.Conn
	in   *bufio.Reader
}

func dial(t testing.TB, addr string) *rawClient {
	t.Helper()
	var dialer net.Dialer
	c, err := dialer.DialContext(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return &rawClient{t, c, bufio.NewReader(c)}
}

func (w *rawClient) send(format string, args ...any) {
	w.t.Helper()
	text := strings.ReplaceAll(fmt.Sprintf(format, args...), "\n", "\r\n")
	if _, err := io.WriteString(w.conn, text); err != nil {
		w.t.Fatal(err)
	}
}

// reply is a response whose body has been read.
type reply struct {
	StatusCode       int
	Header, Trailer  http.Header
	TransferEncoding []string
}

func (w *rawClient) readResponse(method string) (*reply, string) {
	w.t.Helper()
	a, err := http.ReadResponse(w.in, &http.Request{Method: method})
	if err != nil {
		w.t.Fatalf("cannot read the response: %v", err)
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(a.Body)
	if err != nil {
		w.t.Fatalf("the response body is truncated after %q: %v", body, err)
	}
	return &reply{a.StatusCode, a.Header, a.Trailer, a.TransferEncoding}, string(body)
}

// close closes the connection, as a client that disconnects.
func (w *rawClient) close() {
	w.t.Helper()
	if err := w.conn.Close(); err != nil {
		w.t.Fatal(err)
	}
}

// post sends a body and returns the response, whose body the caller closes.
func post(t testing.TB, client *http.Client, url string, body io.Reader) (*http.Response, error) {
	t.Helper()
	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, body)
	if err != nil {
		t.Fatal(err)
	}
	q.Header.Set("Content-Type", "x/y")
	return client.Do(q)
}

// zeros is an infinite reader.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }
