package ops

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"sedgevale/internal/fdlimit"
	"sedgevale/internal/httpd"
	"sedgevale/internal/journal/store"
	"sedgevale/internal/testkit"
)

// fakeJournal records the calls and returns fixed results.
type fakeJournal struct{ calls chan string }

func (g *fakeJournal) JobReports(_ context.Context, id string) ([]byte, error) {
	g.calls <- "ask " + id
	if id == "absent" {
		return nil, fmt.Errorf("%w: %s", store.ErrNotFound, id)
	}
	return []byte("{\"job\":\"a b\"}\n"), nil
}

func (g *fakeJournal) Decide(_ context.Context, id, verdict, by, why string) (int, error) {
	g.calls <- fmt.Sprintf("settle %s %s %s %s", id, verdict, by, why)
	if id == "absent" {
		return 0, store.ErrNothingToDecide
	}
	return 1, nil
}

func (g *fakeJournal) Stats() []byte { return []byte("{\"records\":1}\n") }

// roundTrip sends a call and returns the bytes of the response.
func roundTrip(t *testing.T, addr, method, path, body string) string {
	t.Helper()
	var dialer net.Dialer
	c, err := dialer.DialContext(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body); err != nil {
		t.Fatal(err)
	}
	response, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	return string(response)
}

// startGoldenServer serves a scheduler with the given health, a journal and a page, and returns its address.
func startGoldenServer(t *testing.T, unhealthy error, journal Journal) string {
	t.Helper()
	addr := testkit.FreeAddr(t)
	handler := New(&fakeScheduler{make(chan string, 32), unhealthy}, journal, map[string]Page{
		"/metrics": {Type: "text/plain; version=0.0.4", Read: func() []byte { return []byte("up 1\n") }},
	})
	s := httpd.New(addr, 1, handler, fdlimit.New(0), slog.New(slog.DiscardHandler))
	if err := s.Start(t.Context(), nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Stop() })
	return addr
}

type goldenCall struct{ method, path, body, want string }

func checkCalls(t *testing.T, addr string, calls []goldenCall) {
	t.Helper()
	for _, call := range calls {
		if got := roundTrip(t, addr, call.method, call.path, call.body); got != call.want {
			t.Errorf("%s %s %s: got\n%q\nwant\n%q", call.method, call.path, call.body, got, call.want)
		}
	}
}

// Guards the bytes of each response, which operators' tools parse.
func TestResponseBytes(t *testing.T) {
	journal := &fakeJournal{make(chan string, 32)}
	checkCalls(t, startGoldenServer(t, nil, journal), []goldenCall{
		{"GET", "/admin/health", "", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nyes\n"},
		{"POST", "/admin/health", "", "HTTP/1.1 405 Method Not Allowed\r\nAllow: GET\r\nConnection: close\r\nContent-Length: 9\r\n\r\nonly GET\n"},
		{"GET", "/admin/cordon", "", "HTTP/1.1 405 Method Not Allowed\r\nAllow: POST\r\nConnection: close\r\nContent-Length: 10\r\n\r\nonly POST\n"},
		{"POST", "/admin/cordon", `{"host":"w"}`, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nyes\n"},
		{"POST", "/admin/uncordon", `{"host":"w"}`, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nyes\n"},
		{"POST", "/admin/cordon", `{"host":"stranger"}`, "HTTP/1.1 404 Not Found\r\nConnection: close\r\nContent-Length: 19\r\n\r\nno: no such worker\n"},
		{"POST", "/admin/cordon", `{"Name":"w"}`, "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 31\r\n\r\nthe body must be {\"host\":\"ID\"}\n"},
		{"POST", "/admin/other", `{}`, "HTTP/1.1 404 Not Found\r\nConnection: close\r\nContent-Length: 13\r\n\r\nno such call\n"},
		{"GET", "/metrics", "", "HTTP/1.1 200 OK\r\nContent-Type: text/plain; version=0.0.4\r\nConnection: close\r\nContent-Length: 5\r\n\r\nup 1\n"},
		{"GET", "/admin/journal", "", "HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\nConnection: close\r\nContent-Length: 14\r\n\r\n{\"records\":1}\n"},
		{"GET", "/admin/journal?job=a%20b", "", "HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\nConnection: close\r\nContent-Length: 14\r\n\r\n{\"job\":\"a b\"}\n"},
		{"GET", "/admin/journal?job=absent", "", "HTTP/1.1 404 Not Found\r\nConnection: close\r\nContent-Length: 39\r\n\r\nno: no such job in the journal: absent\n"},
		{"POST", "/admin/journal", "", "HTTP/1.1 405 Method Not Allowed\r\nAllow: GET\r\nConnection: close\r\nContent-Length: 9\r\n\r\nonly GET\n"},
		{"GET", "/admin/journal/settle", "", "HTTP/1.1 405 Method Not Allowed\r\nAllow: POST\r\nConnection: close\r\nContent-Length: 10\r\n\r\nonly POST\n"},
		{"POST", "/admin/journal/settle", `{"job":"j","verdict":"ran","by":"ann","why":"seen"}`, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nyes\n"},
		{"POST", "/admin/journal/settle", `{"job":"absent","verdict":"unknown","by":"ann","why":"seen"}`, "HTTP/1.1 404 Not Found\r\nConnection: close\r\nContent-Length: 42\r\n\r\nno: no job of that id waits for a verdict\n"},
		{"POST", "/admin/journal/settle", `{"job":"j","verdict":"maybe","by":"ann","why":"seen"}`, "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 55\r\n\r\nno: \"maybe\" is no verdict: ran, did_not_run or unknown\n"},
		{"POST", "/admin/journal/settle", `{"job":"j"}`, "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 95\r\n\r\nno: the body must be {\"job\":\"ID\",\"verdict\":\"ran|did_not_run|unknown\",\"by\":\"NAME\",\"why\":\"TEXT\"}\n"},
	})
	var calls []string
	for range 4 {
		calls = append(calls, testkit.Await(t, "a call to the journal", journal.calls))
	}
	want := []string{"ask a b", "ask absent", "settle j ran ann seen", "settle absent unknown ann seen"}
	if !slices.Equal(calls, want) || len(journal.calls) != 0 {
		t.Errorf("the journal got calls %q, want %q", calls, want)
	}
	checkCalls(t, startGoldenServer(t, errors.New("sick"), nil), []goldenCall{
		{"GET", "/admin/health", "", "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 9\r\n\r\nno: sick\n"},
		{"GET", "/admin/journal", "", "HTTP/1.1 404 Not Found\r\nConnection: close\r\nContent-Length: 63\r\n\r\nno: this scheduler keeps no journal; set [journal] in its file\n"},
	})
}

// Guards the format of the cordons file: a file of an earlier release can be read, and the same set is saved as the same
// bytes.
func TestStoredCordons(t *testing.T) {
	const stored = "testdata/cordons"
	c, err := ReadCordons(stored)
	if err != nil || !slices.Equal(c.Hosts(), []string{"box-1", "box-2", "z"}) || !c.Has("z") || c.Has("box-3") {
		t.Errorf("read %q, error %v", c.Hosts(), err)
	}
	path := filepath.Join(t.TempDir(), "cordons")
	saved, err := ReadCordons(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, host := range []string{"z", "box-3", "box-2", "box-1"} {
		if err := saved.Set(host, true); err != nil {
			t.Fatal(err)
		}
	}
	if err := saved.Set("box-3", false); err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile(stored)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := os.ReadFile(path); err != nil || string(got) != string(want) {
		t.Errorf("saved %s, want %s, error %v", got, want, err)
	}
}
