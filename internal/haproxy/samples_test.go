package haproxy_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/dispatchdriver"
	"sedgevale/internal/evloop"
	"sedgevale/internal/fdlimit"
	"sedgevale/internal/haproxy"
	"sedgevale/internal/reverseproxy"
	"sedgevale/internal/testkit"
)

// receivedRequest describes a request as received by a fake server.
type receivedRequest struct {
	Addr    string              `json:"addr"`
	Target  string              `json:"target"`
	Headers map[string][]string `json:"headers"`
}

// testbed serves an imported sample configuration with fake servers as its backends.
type testbed struct {
	t             *testing.T
	name          string
	ref           *referenceConfig
	proxy         *reverseproxy.Proxy
	report        haproxy.Report
	frontendAddrs map[string]string // listen address by name of the frontend
	mu            sync.Mutex
	down          map[string]bool // fake servers that drop requests, by their address in the sample
}

var (
	bindLinePattern    = regexp.MustCompile(`(?m)^(\s*bind) (\S*:\d+)`)
	serverAddrPattern  = regexp.MustCompile(`\b10\.\d+\.\d+\.\d+:\d+`)
	sectionLinePattern = regexp.MustCompile(`^(frontend|listen) (\S+)`)
)

func sampleEnv() map[string]string { return map[string]string{"APP_HOST": "10.0.0.1"} }

func newTestbed(t *testing.T, file string) *testbed {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	maps, _ := os.ReadFile("testdata/hosts.map")
	s := &testbed{t: t, name: strings.TrimSuffix(filepath.Base(file), ".cfg"), frontendAddrs: map[string]string{}, down: map[string]bool{},
		ref: loadReference(string(text), sampleEnv(), map[string]string{"hosts.map": string(maps)})}
	live := strings.ReplaceAll(string(text), `"${APP_HOST}":80`, "10.0.0.1:80")
	got, err := haproxy.Import([]haproxy.Source{{Name: file, Text: []byte(s.localAddresses(live))}},
		haproxy.Options{Env: sampleEnv(), Files: func(p string) ([]byte, error) { return os.ReadFile(filepath.Join("testdata", p)) }})
	if err != nil {
		t.Fatal(err)
	}
	s.report = got.Report
	// Write and read the operator's file, as an operator does.
	out := filepath.Join(t.TempDir(), "operator.toml")
	w, err := os.Create(out)
	if err != nil {
		t.Fatal(err)
	}
	if err := got.Write(w); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(filepath.Dir(out), "hosts.map"), maps, 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := dispatchconfig.ReadOperator(out)
	if err != nil {
		text, _ := os.ReadFile(out)
		t.Fatalf("the written file is not valid: %v\n%s", err, text)
	}
	s.serve(c)
	return s
}

// localAddresses replaces the listen addresses of a sample by free local addresses and the addresses of its
// servers by those of fake servers.
func (s *testbed) localAddresses(text string) string {
	s.t.Helper()
	addrs := map[string]string{}
	text = serverAddrPattern.ReplaceAllStringFunc(text, func(a string) string {
		if addrs[a] == "" {
			addrs[a] = s.server(a)
		}
		return addrs[a]
	})
	var lines []string
	name := ""
	for line := range strings.Lines(text) {
		if m := sectionLinePattern.FindStringSubmatch(line); m != nil {
			name = m[2]
			delete(s.frontendAddrs, name) // a section of the same name in a skipped branch
		}
		if m := bindLinePattern.FindStringSubmatch(line); m != nil && !strings.Contains(line, " ssl ") {
			addr := testkit.FreeAddr(s.t)
			if s.frontendAddrs[name] == "" {
				s.frontendAddrs[name] = addr
			}
			line = strings.Replace(line, m[2], addr, 1)
		}
		lines = append(lines, line)
	}
	return strings.Join(lines, "")
}

func (s *testbed) serve(c *dispatchconfig.Config) {
	log := slog.New(slog.DiscardHandler)
	loop, err := evloop.New(log)
	if err != nil {
		s.t.Fatal(err)
	}
	if s.proxy, err = reverseproxy.New(reverseproxy.Options{Config: c.Web, Loop: loop, Clock: dispatchdriver.NewClock(), Seed: 1, Budget: fdlimit.New(0), Log: log}); err != nil {
		s.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { s.proxy.Run(ctx); close(done) }()
	for _, l := range s.proxy.Servers() {
		if err := l.Start(ctx, nil); err != nil {
			s.t.Fatal(err)
		}
	}
	s.t.Cleanup(func() {
		for _, l := range s.proxy.Servers() {
			_ = l.Stop()
		}
		stop()
		<-done
		_ = loop.Stop()
	})
}

// listen listens on a free port. The caller closes the listener.
func listen(t *testing.T) net.Listener {
	t.Helper()
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// server starts a fake server for a server of the sample and returns its address.
func (s *testbed) server(name string) string {
	l := listen(s.t)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		s.mu.Lock()
		down := s.down[name]
		s.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Server", "stand-in")
		if strings.Contains(q.URL.Path, "soft") {
			w.Header().Set("X-Soft", "yes")
			w.WriteHeader(404)
		}
		_ = json.NewEncoder(w).Encode(receivedRequest{name, q.RequestURI, q.Header})
	})}
	go func() { _ = srv.Serve(l) }()
	s.t.Cleanup(func() { _ = srv.Close() })
	return l.Addr().String()
}

// send sends a request to a frontend. It returns the response and the request as received by the server, nil
// if no server received it.
func (s *testbed) send(frontend string, q referenceRequest) (status int, location, body string, received *receivedRequest, a http.Header) {
	s.t.Helper()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(q.src)}}
	h := &http.Transport{DialContext: d.DialContext, DisableCompression: true, DisableKeepAlives: true}
	url := "http://" + s.frontendAddrs[frontend] + q.target()
	r, err := http.NewRequestWithContext(s.t.Context(), q.method, url, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	r.Host = q.host
	r.Header["User-Agent"] = nil
	for _, x := range q.headers {
		r.Header.Add(x[0], x[1])
	}
	got, err := h.RoundTrip(r)
	if err != nil {
		s.t.Fatalf("%s: %s %s: %v", s.name, q.method, url, err)
	}
	defer func() { _ = got.Body.Close() }()
	b, _ := io.ReadAll(got.Body)
	received = &receivedRequest{}
	if json.Unmarshal(b, received) != nil || received.Addr == "" {
		received = nil
	}
	return got.StatusCode, got.Header.Get("Location"), string(b), received, got.Header
}

// requests returns requests that cover the paths, hosts, methods, header fields and clients that the samples
// distinguish.
func requests() (all []referenceRequest) {
	paths := []string{"/", "/static/a.js", "/images/x", "/a/logo.PNG", "/api/logo.png", "/v1/users", "/v2/users", "/v3", "/v3x", "/login",
		"/x/admin/y", "/administrators", "/health", "/ws/chat", "/report/1", "/old", "/moved/a", "/secure/b", "/p/1", "/q", "/ab", "/abc", "/soft", "/1",
		"/haproxy-alive", "/stats"}
	for i, p := range paths {
		for j, host := range []string{"www.example.com", "example.com", "SHOP.example.com", "blog.example.com", "old.example.com"} {
			q := referenceRequest{method: "GET", path: p, host: host, src: "127.0.0.1"}
			switch (i + j) % 6 {
			case 1:
				q.method = "POST"
			case 2:
				q.headers = [][2]string{{"X-Canary", "Always"}, {"X-Name", "joe@example"}}
			case 3:
				q.headers = [][2]string{{"Cookie", "a=b; canary=1; SRV=two"}, {"X-Internal", "secret"}}
			case 4:
				q.query, q.src = "id=7&x=y", "127.0.0.2"
			case 5:
				q.headers, q.src = [][2]string{{"X-Twice", "1"}, {"X-Twice", "2"}}, "127.0.0.9"
			}
			all = append(all, q)
		}
	}
	return all
}

// TestSamples checks the whole conversion: a sample that is imported, written, read and served routes and
// edits each request as the reference model does, distributes requests by weight, and has exactly one report
// entry per line.
func TestSamples(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.cfg")
	if len(files) != 20 {
		t.Fatalf("found %d samples, want 20", len(files))
	}
	var table []string
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			s := newTestbed(t, file)
			s.checkReport(file)
			same, all := s.checkRoutes()
			worst := s.checkShares()
			table = append(table, fmt.Sprintf("%-22s %4d of %4d requests as in the model, shares off by at most %4.1f%%; lines: %2d carried over, %2d differently, %2d not needed, %2d not carried over",
				s.name, same, all, 100*worst, s.report.Count(haproxy.Carried), s.report.Count(haproxy.CarriedDifferently),
				s.report.Count(haproxy.NotNeeded), s.report.Count(haproxy.NotCarried)))
		})
	}
	t.Logf("\n%s", strings.Join(table, "\n"))
}

// checkReport checks that the report has exactly one entry for each directive of a file.
func (s *testbed) checkReport(file string) {
	s.t.Helper()
	text, _ := os.ReadFile(file)
	want := 0
	at := map[int]int{}
	for _, e := range s.report {
		at[e.Line]++
		if e.Verdict != haproxy.Carried && e.Reason == "" {
			s.t.Errorf("%v has no reason", e)
		}
	}
	for i, line := range strings.Split(string(text), "\n") {
		if line = strings.TrimSpace(line); line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		want++
		if at[i+1] != 1 {
			s.t.Errorf("line %d has %d entries: %s", i+1, at[i+1], line)
		}
	}
	sum := 0
	for _, v := range haproxy.Verdicts {
		sum += s.report.Count(v)
	}
	if sum != want || len(s.report) != want {
		s.t.Errorf("%d directives, %d by verdict, %d entries", want, sum, len(s.report))
	}
}

// checkRoutes compares the result of each request with the reference model. It returns the number of equal
// results and of all requests.
func (s *testbed) checkRoutes() (same, all int) {
	s.t.Helper()
	for frontend := range s.frontendAddrs {
		if frontendSection := s.ref.find("frontend listen", frontend); frontendSection == nil || s.mode(frontendSection) != "http" {
			continue
		}
		for _, q := range requests() {
			all++
			want := s.ref.result(frontend, q)
			status, location, body, received, header := s.send(frontend, q)
			if why := s.resultDiff(want, status, location, body, received, header); why != "" {
				s.t.Errorf("%s: %s %s%s from %s %v: %s", frontend, q.method, q.host, q.target(), q.src, q.headers, why)
				continue
			}
			same++
		}
	}
	return same, all
}

func (s *testbed) mode(frontendSection *referenceSection) string {
	mode := "tcp"
	for _, l := range s.ref.lines(frontendSection, "mode") {
		mode = l[1]
	}
	return mode
}

// resultDiff describes the difference between a result and that of the model. It returns "" if they are equal.
func (s *testbed) resultDiff(want *referenceResult, status int, location, body string, received *receivedRequest, header http.Header) string {
	if want.status != 0 {
		if received != nil || status != want.status || location != want.location {
			return fmt.Sprintf("got status %d, location %q from server %v; want %d, %q", status, location, received, want.status, want.location)
		}
		if want.body != "" && body != want.body {
			return fmt.Sprintf("got body %q, want %q", body, want.body)
		}
		return ""
	}
	if received == nil || !slices.Contains(want.servers, received.Addr) {
		return fmt.Sprintf("got status %d, body %q from server %v; want one of %v of backend %s", status, body, received, want.servers, want.backend)
	}
	if received.Target != want.path {
		return fmt.Sprintf("the server received target %q, want %q", received.Target, want.path)
	}
	if why := headerDiff(want, received); why != "" {
		return why
	}
	served := 200
	if strings.Contains(received.Target, "soft") {
		served = 404
	}
	code, set := s.ref.response(want.responseSection, served, served == 404)
	if status != code {
		return fmt.Sprintf("status %d, want %d", status, code)
	}
	for name, value := range set {
		if header.Get(name) != value {
			return fmt.Sprintf("response has %s: %q, want %q", name, header.Get(name), value)
		}
	}
	return ""
}

// headerDiff describes the difference between the header fields received by a server and those of the model.
func headerDiff(want *referenceResult, received *receivedRequest) string {
	for name, value := range want.headers {
		if name == "cookie" {
			continue // checked by TestPersistenceSample
		}
		if got := strings.Join(received.Headers[http.CanonicalHeaderKey(name)], ","); got != value {
			return fmt.Sprintf("the server received %s: %q, want %q", name, got, value)
		}
	}
	for name := range received.Headers {
		if _, ok := want.headers[strings.ToLower(name)]; !ok && name != "Content-Length" && name != "Cookie" && name != "X-Forwarded-For" {
			return fmt.Sprintf("the server received the unexpected field %s", name)
		}
	}
	return ""
}

// checkShares compares the share of requests of each server with its weight. It returns the largest
// difference.
func (s *testbed) checkShares() (worst float64) {
	s.t.Helper()
	const n = 400
	for frontend := range s.frontendAddrs {
		frontendSection := s.ref.find("frontend listen", frontend)
		q := referenceRequest{method: "GET", path: "/plain", host: "www.example.com", src: "127.0.0.9"}
		if frontendSection == nil || s.mode(frontendSection) != "http" {
			continue
		}
		want := s.ref.result(frontend, q)
		if want.status != 0 || len(want.servers) < 2 {
			continue
		}
		backendSection := s.ref.find("backend listen", want.backend)
		if len(s.ref.lines(backendSection, "balance")) > 0 && slices.Contains([]string{"source", "uri"}, s.ref.lines(backendSection, "balance")[0][1]) {
			continue
		}
		got := map[string]float64{}
		for range n {
			if _, _, _, received, _ := s.send(frontend, q); received != nil {
				got[received.Addr] += 1.0 / n
			}
		}
		for addr, w := range s.ref.weights(backendSection) {
			off := math.Abs(got[addr] - w)
			if worst = max(worst, off); off > 0.05 {
				s.t.Errorf("%s has a share of %.3f, want %.3f", addr, got[addr], w)
			}
		}
	}
	return worst
}

// TestPersistenceSample checks that the persistence cookie leads to the same server and is not sent to
// servers.
func TestPersistenceSample(t *testing.T) {
	s := newTestbed(t, "testdata/06-sticky.cfg")
	q := referenceRequest{method: "GET", path: "/", host: "h", src: "127.0.0.1"}
	_, _, _, received, header := s.send("www", q)
	cookie, _, _ := strings.Cut(header.Get("Set-Cookie"), ";")
	if received == nil || !strings.HasPrefix(cookie, "SRV=") {
		t.Fatalf("first request: received %v, response header %v", received, header)
	}
	q.headers = [][2]string{{"Cookie", "x=1; " + cookie}}
	for range 10 {
		_, _, _, again, header := s.send("www", q)
		if again == nil || again.Addr != received.Addr || header.Get("Set-Cookie") != "" || strings.Join(again.Headers["Cookie"], "") != "x=1" {
			t.Fatalf("first request received: %v; with cookie: %v, response header %v", received, again, header)
		}
	}
}

// TestActiveStandbySample checks that requests are routed as by the reference model while servers fail one
// after another and recover.
func TestActiveStandbySample(t *testing.T) {
	s := newTestbed(t, "testdata/07-active-standby.cfg")
	q := referenceRequest{method: "GET", path: "/", host: "h", src: "127.0.0.1"}
	backendSection := s.ref.find("backend", "db_ui")
	for _, step := range []struct {
		addr string
		down bool
	}{{"", false}, {"10.0.0.1:80", true}, {"10.0.0.2:80", true}, {"10.0.0.1:80", false}, {"10.0.0.1:80", true}, {"10.0.0.2:80", false}, {"10.0.0.1:80", false}} {
		s.mu.Lock()
		s.down[step.addr] = step.down
		s.mu.Unlock()
		want := s.ref.servers(backendSection, &q, s.down)
		for until := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			downCount := 0
			for _, x := range s.proxy.Status() {
				if x.State == "down" {
					downCount++
				}
			}
			wantDown := 0
			for _, d := range s.down {
				if d {
					wantDown++
				}
			}
			if downCount == wantDown || time.Now().After(until) {
				break
			}
		}
		for range 5 {
			if _, _, _, received, _ := s.send("www", q); received == nil || received.Addr != want[0] {
				t.Errorf("after %+v: received by %v, want %v", step, received, want)
			}
		}
	}
}
