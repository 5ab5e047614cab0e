package healthcheck

import (
	"context"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sedgevale/internal/testkit"
)

// Guards against a member that goes up and down with each single check, and the times
// between checks.
func TestRiseAndFall(t *testing.T) {
	s := Spec{Kind: "tcp", Interval: 4 * time.Second, FastInterval: time.Second, DownInterval: 2 * time.Second, Rise: 2, Fall: 3}
	if err := s.SetDefaults(); err != nil {
		t.Fatal(err)
	}
	g := NewTracker(s, true)
	for i, step := range []struct {
		passed, changed, up bool
		wait                time.Duration
	}{
		{true, false, true, 4 * time.Second}, {false, false, true, time.Second}, {false, false, true, time.Second},
		{true, false, true, 4 * time.Second}, {false, false, true, time.Second}, {false, false, true, time.Second},
		{false, true, false, 2 * time.Second}, {false, false, false, 2 * time.Second}, {true, false, false, time.Second},
		{false, false, false, 2 * time.Second}, {true, false, false, time.Second}, {true, true, true, 4 * time.Second},
	} {
		if changed := g.Record(step.passed); changed != step.changed || g.Up() != step.up || g.NextInterval() != step.wait {
			t.Errorf("step %d: changed %v, up %v, wait %v", i, changed, g.Up(), g.NextInterval())
		}
	}
}

func TestExpect(t *testing.T) {
	for _, c := range []struct {
		e    Expect
		yes  string
		not  string
		code int
		bad  int
	}{
		{e: Expect{Kind: "status", Value: "200-204,301"}, code: 301, bad: 302},
		{e: Expect{Kind: "rstatus", Value: "^2"}, code: 204, bad: 500},
		{e: Expect{Kind: "string", Value: "OK"}, code: 200, yes: "all OK", bad: 200, not: "no"},
		{e: Expect{Kind: "rstring", Value: "O+K"}, code: 200, yes: "OOK", bad: 200, not: "K"},
		{e: Expect{Kind: "string", Value: "bad", Not: true}, code: 200, yes: "good", bad: 200, not: "bad"},
	} {
		s := Spec{Kind: "http", Expect: []Expect{c.e}}
		if err := s.SetDefaults(); err != nil {
			t.Fatal(err)
		}
		if !s.Holds(c.code, []byte(c.yes)) || s.Holds(c.bad, []byte(c.not)) {
			t.Errorf("%+v", c.e)
		}
	}
	for _, bad := range []Spec{{}, {Kind: "udp"}, {Kind: "tcp", Interval: time.Nanosecond}, {Kind: "http", URI: "/a b"}, {Kind: "tcp", Fall: -1},
		{Kind: "http", Expect: []Expect{{Kind: "status", Value: "abc"}}}, {Kind: "http", Expect: []Expect{{Kind: "rstring", Value: "("}}},
		{Kind: "http", Expect: []Expect{{Kind: "ssl"}}}} {
		if bad.SetDefaults() == nil {
			t.Errorf("taken: %+v", bad)
		}
	}
}

// responses are what a server responds with to a check, by its mode. In the others it closes the connection.
var responses = map[string]string{
	"good":       "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nready",
	"bad status": "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
	"garbage":    "hello\r\n\r\n",
	"short":      "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nready",
}

// Guards the checks: the request is the configured one, each kind of failure counts, and a
// member that recovers is up again.
func TestDriver(t *testing.T) {
	var mode atomic.Value
	mode.Store("good")
	requests := make(chan string, 64)
	addr := testkit.Accept(t, func(c net.Conn) {
		defer func() { _ = c.Close() }()
		b := make([]byte, 4096)
		n, _ := c.Read(b)
		select {
		case requests <- string(b[:n]):
		default:
		}
		if mode.Load() == "silent" {
			_, _ = io.Copy(io.Discard, c)
			return
		}
		_, _ = io.WriteString(c, responses[mode.Load().(string)])
	})
	s := Spec{Kind: "http", Method: "GET", URI: "/up", Version: "1.1", Headers: []Header{{"Host", "app"}},
		Expect: []Expect{{Kind: "string", Value: "ready"}}, Interval: 10 * time.Millisecond, Rise: 2, Fall: 2, Timeout: 50 * time.Millisecond}
	if err := s.SetDefaults(); err != nil {
		t.Fatal(err)
	}
	changes := make(chan bool, 16)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		NewDriver(slog.New(slog.DiscardHandler)).Run(ctx, []Check{{Name: "b/m", Addr: addr, Spec: s, OnChange: func(up bool, _ string) { changes <- up }}})
		close(done)
	}()
	if got := testkit.Await(t, "a check", requests); !strings.HasPrefix(got, "GET /up HTTP/1.1\r\nHost: app\r\n") {
		t.Errorf("the request is %q", got)
	}
	for _, how := range []string{"bad status", "garbage", "short", "silent", "closed"} {
		mode.Store(how)
		if testkit.Await(t, "the change by "+how, changes) {
			t.Errorf("%s counts as up", how)
		}
		mode.Store("good")
		if !testkit.Await(t, "the change after "+how, changes) {
			t.Errorf("after %s it stays down", how)
		}
	}
	stop()
	testkit.Await(t, "the end", done)
}
