package scheduler_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"

	"sedgevale/internal/testkit"
)

// Guards against a program that SIGHUP ends, with all that it holds; against a
// discovery that is still asked where the new file does not name it; and against a
// bad file that is taken over.
func TestReload(t *testing.T) {
	f := newFleet(t, "v", "w")
	c := startChild(t, f)
	conn, err := net.Dial("tcp", c.plain)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	kept := bufio.NewReader(conn)
	onKept := func(id string) {
		t.Helper()
		fmt.Fprintf(conn, "POST /usage-view HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nTenant: co-op\r\n"+
			"Request-Timeout: 9000m\r\nContent-Length: 0\r\n\r\n", id)
		r := f.next()
		if id != "kept-0" && r.worker != "w" {
			t.Errorf("%s went to %s, which drains", id, r.worker)
		}
		r.done("")
		if a, err := http.ReadResponse(kept, nil); err != nil || a.StatusCode != 200 {
			t.Errorf("%s: %+v, error %v", id, a, err)
		}
	}
	onKept("kept-0")
	before := post(c.plain, "/plan-change", job("before")...)
	first := f.next()

	if err := os.WriteFile(c.file, []byte("listen = "), 0o600); err != nil {
		t.Fatal(err)
	}
	c.signal(syscall.SIGHUP)
	c.logged("the new configuration is bad")

	asked := make(chan string, 64)
	c.config.Discovery = f.serve(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		asked <- q.RequestURI
		f.discover(w, q)
	}))
	c.config.Name = "other"
	c.write()
	c.signal(syscall.SIGHUP)
	if got := testkit.Await(t, "a call at the new address", asked); got != "/v1/endpoints" {
		t.Errorf("first asked %s", got)
	}
	c.logged("waits for a new start")
	testkit.Await(t, "the watch at the new address", asked)
	f.phase("v", "draining")
	for i := range 6 {
		onKept(fmt.Sprint("kept-", i+1))
	}

	conn.Close()
	c.signal(syscall.SIGTERM)
	c.logged("stopping")
	c.signal(syscall.SIGHUP)
	c.logged("configuration read again")
	first.done("first")
	if a := testkit.Await(t, "the answer", before); a.status != 200 || a.body != "first" {
		t.Errorf("open since before: %+v", a)
	}
	if err := testkit.Await(t, "the program's end", c.exited); err != nil {
		t.Errorf("ended with %v", err)
	}
	c.cmd = nil
}
