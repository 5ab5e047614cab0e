package ops

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sedgevale/internal/fdlimit"
	"sedgevale/internal/httpd"
	"sedgevale/internal/testkit"
)

// fakeScheduler records the calls of Cordon and returns a fixed health.
type fakeScheduler struct {
	cordons   chan string
	unhealthy error
}

func (o *fakeScheduler) Healthy(context.Context) error { return o.unhealthy }

func (o *fakeScheduler) Cordon(_ context.Context, host string, cordon bool) error {
	o.cordons <- fmt.Sprint(host, " ", cordon)
	if host == "stranger" {
		return ErrUnknownWorker
	}
	return nil
}

// startServer serves a fakeScheduler without a journal and pages.
func startServer(t *testing.T, unhealthy error) (addr string, o *fakeScheduler) {
	t.Helper()
	o = &fakeScheduler{make(chan string, 8), unhealthy}
	addr = testkit.FreeAddr(t)
	s := httpd.New(addr, 1, New(o, nil, nil), fdlimit.New(0), slog.New(slog.DiscardHandler))
	if err := s.Start(t.Context(), nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Stop() })
	return addr, o
}

// callStatus sends a call and returns the status of the response.
func callStatus(t *testing.T, addr, method, path, body string) int {
	t.Helper()
	c := testkit.Dial(t, addr)
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body); err != nil {
		t.Fatal(err)
	}
	a, err := testkit.ReadResponse(bufio.NewReader(c))
	if err != nil {
		t.Fatal(err)
	}
	if !a.Last {
		t.Errorf("%s %s: the connection stays open after the response", method, path)
	}
	return a.Status
}

// Each call gets its status, and a malformed or unknown call does not reach the scheduler.
func TestCalls(t *testing.T) {
	addr, o := startServer(t, nil)
	for _, q := range []struct {
		method, path, body string
		want               int
		order              string
	}{
		{"GET", "/admin/health", "", 200, ""},
		{"POST", "/admin/health", "", 405, ""},
		{"POST", "/admin/cordon", `{"host":"w"}`, 200, "w true"},
		{"POST", "/admin/uncordon", `{"host":"w","why":"done"}`, 200, "w false"},
		{"POST", "/admin/cordon", `{"host":"stranger"}`, 404, "stranger true"},
		{"GET", "/admin/cordon", "", 405, ""},
		{"POST", "/admin/cordon", `{"host":"w"`, 400, ""},
		{"POST", "/admin/cordon", `{"host":"w"} more`, 400, ""},
		{"POST", "/admin/cordon", `{"host":7}`, 400, ""},
		{"POST", "/admin/cordon", `{"host":""}`, 400, ""},
		{"POST", "/admin/cordon", `["w"]`, 400, ""},
		{"POST", "/admin/cordon", "", 400, ""},
		{"POST", "/admin/quiesce", `{"host":"w"}`, 404, ""},
	} {
		if got := callStatus(t, addr, q.method, q.path, q.body); got != q.want {
			t.Errorf("%s %s %s: %d, want %d", q.method, q.path, q.body, got, q.want)
		}
		got := ""
		select {
		case got = <-o.cordons:
		default:
		}
		if got != q.order {
			t.Errorf("%s %s %s called Cordon with %q, want %q", q.method, q.path, q.body, got, q.order)
		}
	}
	addr, _ = startServer(t, errors.New("sick"))
	if got := callStatus(t, addr, "GET", "/admin/health", ""); got != 503 {
		t.Errorf("health check of an unhealthy scheduler: status %d, want 503", got)
	}
}

// Guards against callers that delay others: connections on which nothing or an incomplete call is sent must not block a
// complete call.
func TestSilentConnectionsDoNotDelayOthers(t *testing.T) {
	addr, _ := startServer(t, nil)
	for i := range 8 {
		c := testkit.Dial(t, addr)
		if i%2 == 0 {
			if _, err := fmt.Fprint(c, "POST /admin/cordon HTTP/1.1\r\nContent-Le"); err != nil {
				t.Fatal(err)
			}
		}
	}
	began := time.Now()
	if got := callStatus(t, addr, "GET", "/admin/health", ""); got != 200 || time.Since(began) > time.Second {
		t.Errorf("health check: status %d after %v, want 200 within 1s", got, time.Since(began))
	}
}

// Cordons survive a restart. A malformed file is an error and yields an empty set.
func TestCordonsAreSaved(t *testing.T) {
	path := filepath.Join(t.TempDir(), "cordons")
	c, err := ReadCordons(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, host := range []string{"b", "a", "gone"} {
		if err := c.Set(host, true); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.Set("gone", false); err != nil {
		t.Fatal(err)
	}
	c, err = ReadCordons(path)
	if got := strings.Join(c.Hosts(), " "); got != "a b" || err != nil || !c.Has("a") || c.Has("gone") {
		t.Errorf("read %q, error %v", got, err)
	}
	if files, _ := filepath.Glob(path + "*"); len(files) != 1 {
		t.Errorf("temporary files remain: %v", files)
	}
	if err := os.WriteFile(path, []byte(`["a`), 0o600); err != nil {
		t.Fatal(err)
	}
	if c, err := ReadCordons(path); err == nil || len(c.Hosts()) != 0 {
		t.Errorf("a malformed file yields %v, error %v", c.Hosts(), err)
	}
}
