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

// Guards rules, shares by weight, persistence cookies, and backups that serve once all other servers
// have failed their checks, until one is healthy again.
func TestProxy(t *testing.T) {
	var up [3]atomic.Bool
	servers := make([]dispatchconfig.WebServer, 3)
	for i := range servers {
		up[i].Store(true)
		servers[i] = dispatchconfig.WebServer{Name: fmt.Sprint("s", i), Cookie: fmt.Sprint("c", i), Addr: origin(t, func(w http.ResponseWriter, q *http.Request) {
			if !up[i].Load() {
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
	testProxyShares(u)
	testProxyFailures(u, c, &up)
}

// proxyUnderTest is what TestProxy serves.
type proxyUnderTest struct {
	t     *testing.T
	proxy *Proxy
	front string
}

func (u *proxyUnderTest) get(path, cookie string) (*reply, string) {
	u.t.Helper()
	w := dial(u.t, u.front)
	w.send("GET %s HTTP/1.1\nHost: h\nCookie: a=b%s\nConnection: close\n\n", path, cookie)
	return w.answer("GET")
}

// awaitStates waits until the servers' states begin with these letters.
func (u *proxyUnderTest) awaitStates(want string) {
	u.t.Helper()
	testkit.Eventually(u.t, want, func() bool {
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
		t.Errorf("denied: %d", a.StatusCode)
	}
	if a, _ := get("/old", ""); a.StatusCode != 301 || a.Header.Get("Location") != "/new" {
		t.Errorf("redirected: %d %v", a.StatusCode, a.Header)
	}
	if a, body := get("/api/v1", ""); body != "s0 /v1" || a.Header.Get("X-Frame") != "DENY" || a.Header.Get("Set-Cookie") != "" {
		t.Errorf("api: %q %v", body, a.Header)
	}
}

func testProxyShares(u *proxyUnderTest) {
	t, get := u.t, u.get
	t.Helper()
	counts := map[string]int{}
	for range 200 {
		a, body := get("/", "")
		counts[body]++
		if want := "SRV=c" + body[1:2] + "; path=/"; a.Header.Get("Set-Cookie") != want {
			t.Fatalf("cookie %q from %q", a.Header.Get("Set-Cookie"), body)
		}
	}
	if counts["s0 /"] != 50 || counts["s1 /"] != 150 {
		t.Errorf("shares %v", counts)
	}
	for range 10 {
		if a, body := get("/", "; SRV=c0"); body != "s0 /" || a.Header.Get("Set-Cookie") != "" {
			t.Fatalf("a sticky client: %q %v", body, a.Header)
		}
	}
}

func testProxyFailures(u *proxyUnderTest, c *dispatchconfig.Web, up *[3]atomic.Bool) {
	t, s, get, stand := u.t, u.proxy, u.get, u.awaitStates
	t.Helper()
	up[0].Store(false)
	stand("duuu")
	if _, body := get("/", "; SRV=c0"); body != "s1 /" {
		t.Errorf("its server is down: %q", body)
	}
	up[1].Store(false)
	stand("dduu")
	for range 5 {
		if _, body := get("/", ""); body != "s2 /" {
			t.Fatalf("the backup: %q", body)
		}
	}
	if !s.Cordon("app/s2", true) || s.Cordon("app/nobody", true) || s.Cordon("nobody/s2", true) {
		t.Error("cordons of known and unknown servers")
	}
	if a, _ := get("/", "; SRV=c2"); a.StatusCode != 503 {
		t.Errorf("taken out by an operator: %d", a.StatusCode)
	}
	if _, err := s.Reload(c); err != nil {
		t.Fatal(err)
	}
	stand("ddmu")
	up[1].Store(true) // found though the checks began anew
	stand("dumu")
	up[1].Store(false)
	stand("ddmu")
	s.Cordon("app/s2", false)
	if _, body := get("/", ""); body != "s2 /" {
		t.Errorf("put back: %q", body)
	}
	up[2].Store(false)
	stand("dddu")
	began := time.Now()
	if a, _ := get("/", ""); a.StatusCode != 503 || time.Since(began) > time.Second {
		t.Errorf("nobody left: %d after %v", a.StatusCode, time.Since(began))
	}
	up[0].Store(true)
	stand("uddu")
	if _, body := get("/", ""); body != "s0 /" {
		t.Errorf("back again: %q", body)
	}
}

// reloadedConfigs returns a configuration with another server and backend, and one whose frontend has no backend.
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

// Guards a reload: requests in flight continue by the old configuration, and new ones follow the new rules.
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
	testkit.Eventually(t, "the request at the server", func() bool { return s.Status()[0].Busy == 1 })
	next, bad := reloadedConfigs(c, a, b)
	if _, err := s.Reload(&bad); err == nil {
		t.Error("a bad configuration was taken")
	}
	if waits, err := s.Reload(&next); err != nil || len(waits) != 0 {
		t.Fatal(waits, err)
	}
	if s.Status()[0].Busy != 1 {
		t.Errorf("after the reload %+v", s.Status())
	}
	got := map[string]int{}
	for range 20 {
		x := dial(t, front)
		x.send("GET / HTTP/1.1\nHost: h\n\n")
		_, body := x.answer("GET")
		got[body]++
	}
	if got["a"] != 10 || got["b"] != 10 {
		t.Errorf("shares after the reload: %v", got)
	}
	x := dial(t, front)
	x.send("GET /other HTTP/1.1\nHost: h\n\n")
	if _, body := x.answer("GET"); body != "b" {
		t.Errorf("a new rule: %q", body)
	}
	close(hold)
	if _, body := w.answer("GET"); body != "a" {
		t.Errorf("the request in flight: %q", body)
	}
	testkit.Eventually(t, "its capacity", func() bool { return s.Status()[0].Busy == 0 })
}
