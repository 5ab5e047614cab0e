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

// TestRiseAndFall checks that the state changes only after the configured number of consecutive results, and
// the interval after each check.
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
		e                 Expect
		matchingBody      string
		nonMatchingBody   string
		matchingStatus    int
		nonMatchingStatus int
	}{
		{e: Expect{Kind: "status", Value: "200-204,301"}, matchingStatus: 301, nonMatchingStatus: 302},
		{e: Expect{Kind: "rstatus", Value: "^2"}, matchingStatus: 204, nonMatchingStatus: 500},
		{e: Expect{Kind: "string", Value: "OK"}, matchingStatus: 200, matchingBody: "all OK", nonMatchingStatus: 200, nonMatchingBody: "no"},
		{e: Expect{Kind: "rstring", Value: "O+K"}, matchingStatus: 200, matchingBody: "OOK", nonMatchingStatus: 200, nonMatchingBody: "K"},
		{e: Expect{Kind: "string", Value: "bad", Not: true}, matchingStatus: 200, matchingBody: "good", nonMatchingStatus: 200, nonMatchingBody: "bad"},
	} {
		s := Spec{Kind: "http", Expect: []Expect{c.e}}
		if err := s.SetDefaults(); err != nil {
			t.Fatal(err)
		}
		if !s.Holds(c.matchingStatus, []byte(c.matchingBody)) || s.Holds(c.nonMatchingStatus, []byte(c.nonMatchingBody)) {
			t.Errorf("wrong match of %+v", c.e)
		}
	}
	for _, bad := range []Spec{{}, {Kind: "udp"}, {Kind: "tcp", Interval: time.Nanosecond}, {Kind: "http", URI: "/a b"}, {Kind: "tcp", Fall: -1},
		{Kind: "http", Expect: []Expect{{Kind: "status", Value: "abc"}}}, {Kind: "http", Expect: []Expect{{Kind: "rstring", Value: "("}}},
		{Kind: "http", Expect: []Expect{{Kind: "ssl"}}}} {
		if bad.SetDefaults() == nil {
			t.Errorf("the invalid spec %+v was accepted", bad)
		}
	}
}

// responses are the responses of the server to a check by its mode. In mode "silent" it does not respond, and
// in other modes it closes the connection.
var responses = map[string]string{
	"good":       "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nready",
	"bad status": "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
	"garbage":    "hello\r\n\r\n",
	"short":      "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nready",
}

// TestDriver checks that the configured request is sent, that each kind of failure takes the member down, and
// that the member comes up again when it recovers.
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
	if got := testkit.Await(t, "the first check", requests); !strings.HasPrefix(got, "GET /up HTTP/1.1\r\nHost: app\r\n") {
		t.Errorf("received request %q", got)
	}
	for _, failure := range []string{"bad status", "garbage", "short", "silent", "closed"} {
		mode.Store(failure)
		if testkit.Await(t, "the change to down in mode "+failure, changes) {
			t.Errorf("the member is up after the failure %q", failure)
		}
		mode.Store("good")
		if !testkit.Await(t, "the change to up after mode "+failure, changes) {
			t.Errorf("the member stays down after recovery from the failure %q", failure)
		}
	}
	stop()
	testkit.Await(t, "the end of Run", done)
}
