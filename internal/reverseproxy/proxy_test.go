package reverseproxy

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/route"
	"sedgevale/internal/testkit"
)

// TestProxy checks rules, weighted load balancing, persistence cookies, and backup servers, which serve while all other
// servers fail their health checks.
func TestProxy(t *testing.T) {
	var healthy [3]atomic.Bool
	servers := make([]dispatchconfig.WebServer, 3)
	for i := range servers {
		healthy[i].Store(true)
		servers[i] = dispatchconfig.WebServer{Name: fmt.Sprint("s", i), Cookie: fmt.Sprint("c", i), Addr: origin(t, func(w http.ResponseWriter, q *http.Request) {
			if !healthy[i].Load() {
				http.Error(w, "down", 500)
				return
			}
			_, _ = fmt.Fprintf(w, "s%d %s", i, q.URL.Path)
		})}
	}
	three := 3
	servers[1].Weight, servers[2].Backup = &three, true
	c := singleBackendConfig(t, servers...)
	c.Frontends[0].Spec = route.Spec{ACL: []string{"api path_beg /api"}, Default: "app",
		Request: []string{"deny if { path_beg /secret }", "redirect location /new code 301 if { path /old }", "set-header X-A b"},
		Use:     []string{"api if api"}, Response: []string{"set-header X-Frame DENY"}}
	c.Backends[0].Cookie = &dispatchconfig.WebCookie{Name: "SRV", Insert: true, Indirect: true, NoCache: true}
	c.Backends[0].Check = &dispatchconfig.WebCheck{Kind: "http", Method: "GET", URI: "/up", Interval: 0.02, Timeout: 5, Rise: 1, Fall: 1}
	c.Backends = append(c.Backends, dispatchconfig.WebBackend{Name: "api", Spec: route.Spec{Request: []string{`replace-path ^/api/(.*) /\1`}},
		Servers: []dispatchconfig.WebServer{{Name: "s0", Addr: servers[0].Addr}}})
	s, front := serve(t, c)
	u := &proxyUnderTest{t: t, proxy: s, front: front}
	testProxyRules(u)
	testProxyWeights(u)
	testProxyFailures(u, c, &healthy)
}

// proxyUnderTest is the proxy of TestProxy.
type proxyUnderTest struct {
	t     *testing.T
	proxy *Proxy
	front string
}

func (u *proxyUnderTest) get(path, cookie string) (*reply, string) {
	u.t.Helper()
	w := dial(u.t, u.front)
	w.send("GET %s HTTP/1.1\nHost: h\nCookie: a=b%s\nConnection: close\n\n", path, cookie)
	return w.readResponse("GET")
}

// awaitStates waits until the first letters of the servers' states are want: u for up, d for down, m for maintenance.
func (u *proxyUnderTest) awaitStates(want string) {
	u.t.Helper()
	testkit.Eventually(u.t, "the server states "+want, func() bool {
		got := ""
		for _, x := range u.proxy.Status() {
			got += x.State[:1]
		}
		return got == want
	})
}

func testProxyRules(u *proxyUnderTest) {
	t, get := u.t, u.get
	t.Helper()
	if a, _ := get("/secret/x", ""); a.StatusCode != 403 {
		t.Errorf("denied path: got status %d, want 403", a.StatusCode)
	}
	if a, _ := get("/old", ""); a.StatusCode != 301 || a.Header.Get("Location") != "/new" {
		t.Errorf("redirected path: got %d %v, want 301 with Location /new", a.StatusCode, a.Header)
	}
	if a, body := get("/api/v1", ""); body != "s0 /v1" || a.Header.Get("X-Frame") != "DENY" || a.Header.Get("Set-Cookie") != "" {
		t.Errorf("path of backend api: got %q %v", body, a.Header)
	}
}

func testProxyWeights(u *proxyUnderTest) {
	t, get := u.t, u.get
	t.Helper()
	counts := map[string]int{}
	for range 200 {
		a, body := get("/", "")
		counts[body]++
		if want := "SRV=c" + body[1:2] + "; path=/"; a.Header.Get("Set-Cookie") != want {
			t.Fatalf("got Set-Cookie %q from %q", a.Header.Get("Set-Cookie"), body)
		}
	}
	if counts["s0 /"] != 50 || counts["s1 /"] != 150 {
		t.Errorf("requests by server: got %v, want 50 and 150 by weight", counts)
	}
	for range 10 {
		if a, body := get("/", "; SRV=c0"); body != "s0 /" || a.Header.Get("Set-Cookie") != "" {
			t.Fatalf("client with a persistence cookie: got %q %v", body, a.Header)
		}
	}
}

func testProxyFailures(u *proxyUnderTest, c *dispatchconfig.Web, healthy *[3]atomic.Bool) {
	t, s, get, awaitStates := u.t, u.proxy, u.get, u.awaitStates
	t.Helper()
	healthy[0].Store(false)
	awaitStates("duuu")
	if _, body := get("/", "; SRV=c0"); body != "s1 /" {
		t.Errorf("client whose persistent server is down: got %q, want s1", body)
	}
	healthy[1].Store(false)
	awaitStates("dduu")
	for range 5 {
		if _, body := get("/", ""); body != "s2 /" {
			t.Fatalf("only the backup is up: got %q, want s2", body)
		}
	}
	if !s.Cordon("app/s2", true) || s.Cordon("app/nobody", true) || s.Cordon("nobody/s2", true) {
		t.Error("Cordon: want true for a known server and false for an unknown server or backend")
	}
	if a, _ := get("/", "; SRV=c2"); a.StatusCode != 503 {
		t.Errorf("all servers down or cordoned: got status %d, want 503", a.StatusCode)
	}
	if _, err := s.Reload(c); err != nil {
		t.Fatal(err)
	}
	awaitStates("ddmu")
	healthy[1].Store(true) // the checks that the reload restarted must detect it
	awaitStates("dumu")
	healthy[1].Store(false)
	awaitStates("ddmu")
	s.Cordon("app/s2", false)
	if _, body := get("/", ""); body != "s2 /" {
		t.Errorf("backup after uncordoning: got %q, want s2", body)
	}
	healthy[2].Store(false)
	awaitStates("dddu")
	started := time.Now()
	if a, _ := get("/", ""); a.StatusCode != 503 || time.Since(started) > time.Second {
		t.Errorf("no server up: got status %d after %v, want 503 within 1 s", a.StatusCode, time.Since(started))
	}
	healthy[0].Store(true)
	awaitStates("uddu")
	if _, body := get("/", ""); body != "s0 /" {
		t.Errorf("recovered server: got %q, want s0", body)
	}
}

// reloadedConfigs returns a valid configuration with an additional server and backend, and an invalid one whose frontend
// refers to an unknown backend.
func reloadedConfigs(c *dispatchconfig.Web, a, b string) (next, bad dispatchconfig.Web) {
	next = *c
	next.Backends = []dispatchconfig.WebBackend{{Name: "app", Servers: []dispatchconfig.WebServer{{Name: "s0", Addr: a, MaxConn: 5}, {Name: "new", Addr: b}}},
		{Name: "other", Servers: []dispatchconfig.WebServer{{Name: "x", Addr: b}}}}
	next.Frontends = []dispatchconfig.WebFrontend{{Name: "in", Listen: c.Frontends[0].Listen, Spec: route.Spec{Default: "app",
		Use: []string{"other if { path /other }"}}}}
	bad = next
	bad.Frontends = []dispatchconfig.WebFrontend{{Name: "in", Listen: c.Frontends[0].Listen, Spec: route.Spec{Default: "nowhere"}}}
	return next, bad
}

// TestReload checks that requests in flight keep the old configuration after a reload and that new requests use the new
// one.
func TestReload(t *testing.T) {
	hold := make(chan struct{})
	a := origin(t, func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/hold" {
			<-hold
		}
		_, _ = io.WriteString(w, "a")
	})
	b := origin(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "b") })
	c := singleBackendConfig(t, dispatchconfig.WebServer{Addr: a, MaxConn: 5})
	s, front := serve(t, c)
	w := dial(t, front)
	w.send("GET /hold HTTP/1.1\nHost: h\n\n")
	testkit.Eventually(t, "the request to reach the server", func() bool { return s.Status()[0].Busy == 1 })
	next, bad := reloadedConfigs(c, a, b)
	if _, err := s.Reload(&bad); err == nil {
		t.Error("Reload accepted an invalid configuration")
	}
	if needRestart, err := s.Reload(&next); err != nil || len(needRestart) != 0 {
		t.Fatal(needRestart, err)
	}
	if s.Status()[0].Busy != 1 {
		t.Errorf("server states after the reload: got %+v, want one request in flight", s.Status())
	}
	got := map[string]int{}
	for range 20 {
		x := dial(t, front)
		x.send("GET / HTTP/1.1\nHost: h\n\n")
		_, body := x.readResponse("GET")
		got[body]++
	}
	if got["a"] != 10 || got["b"] != 10 {
		t.Errorf("responses by server after the reload: got %v, want 10 from each", got)
	}
	x := dial(t, front)
	x.send("GET /other HTTP/1.1\nHost: h\n\n")
	if _, body := x.readResponse("GET"); body != "b" {
		t.Errorf("request that matches a new rule: got %q, want b", body)
	}
	close(hold)
	if _, body := w.readResponse("GET"); body != "a" {
		t.Errorf("request in flight during the reload: got %q, want a", body)
	}
	testkit.Eventually(t, "its connection slot to be released", func() bool { return s.Status()[0].Busy == 0 })
}
