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

// fakeScheduler records the calls.
type fakeScheduler struct {
	cordons   chan string
	unhealthy error
}

func (o *fakeScheduler) Healthy(context.Context) error { return o.unhealthy }

func (o *fakeScheduler) Cordon(_ context.Context, host string, out bool) error {
	o.cordons <- fmt.Sprint(host, " ", out)
	if host == "stranger" {
		return ErrUnknownWorker
	}
	return nil
}

func startServer(t *testing.T, sick error) (addr string, o *fakeScheduler) {
	t.Helper()
	o = &fakeScheduler{make(chan string, 8), sick}
	addr = testkit.FreeAddr(t)
	s := httpd.New(addr, 1, New(o, nil, nil), fdlimit.New(0), slog.New(slog.DiscardHandler))
	if err := s.Start(t.Context(), nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Stop() })
	return addr, o
}

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
		t.Errorf("%s %s: the connection goes on", method, path)
	}
	return a.Status
}

// Each call is answered, and what is no call changes nothing.
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
			t.Errorf("%s %s %s ordered %q, want %q", q.method, q.path, q.body, got, q.order)
		}
	}
	addr, _ = startServer(t, errors.New("sick"))
	if got := callStatus(t, addr, "GET", "/admin/health", ""); got != 503 {
		t.Errorf("sick, but health is %d", got)
	}
}

// Guards against callers that send nothing, or half a call, and delay the others.
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
		t.Errorf("%d after %v", got, time.Since(began))
	}
}

// Cordons outlive the process; a broken file is an error and leaves an empty set.
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
		t.Errorf("files left: %v", files)
	}
	if err := os.WriteFile(path, []byte(`["a`), 0o600); err != nil {
		t.Fatal(err)
	}
	if c, err := ReadCordons(path); err == nil || len(c.Hosts()) != 0 {
		t.Errorf("of a broken file came %v, error %v", c.Hosts(), err)
	}
}
