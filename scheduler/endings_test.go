package scheduler_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"sedgevale/internal/testkit"
)

// Guards against what is lost at the end of a process though it was taken: clients send on
// every connection that they have, also on one that has rested since it was made, until it
// ends; workers hang. Each request gets a whole answer, or its connection was ended before
// it was read, and never by a reset.
func TestTerminationOwesNothing(t *testing.T) {
	f := newFleet(t, "v", "w")
	c := startChild(t, f)
	const clients = 12
	conns := make([]net.Conn, clients)
	for i := range conns {
		var err error
		if conns[i], err = net.Dial("tcp", c.plain); err != nil {
			t.Fatal(err)
		}
		defer conns[i].Close()
	}
	go func() { // every third job hangs
		for n := 0; ; n++ {
			select {
			case r := <-f.runs:
				if r.say(`"state":"started"`); n%3 > 0 {
					r.done("result")
				}
			case <-t.Context().Done():
				return
			}
		}
	}()
	c.signal(syscall.SIGTERM)
	c.logged("draining: answering")
	var all sync.WaitGroup
	for i, conn := range conns {
		all.Go(func() {
			r := bufio.NewReader(conn)
			if i%4 == 3 { // rests until it is ended, and sends in that moment
				_, err := r.ReadByte()
				if err != io.EOF {
					t.Errorf("client %d: a resting connection ended with %v", i, err)
				}
			}
			for n := 0; ; n++ {
				_, err := fmt.Fprintf(conn, "POST /usage-view HTTP/1.1\r\nHost: h\r\nRequest-Id: %d-%d\r\nTenant: co-op\r\n"+
					"Request-Timeout: 9000m\r\nContent-Length: 0\r\n\r\n", i, n)
				if err != nil {
					return // it was ended, and that was told
				}
				a, err := http.ReadResponse(r, nil)
				if err == io.EOF || err == io.ErrUnexpectedEOF && n > 0 {
					return
				}
				if err != nil {
					if i%4 != 3 {
						t.Errorf("client %d, request %d: %v", i, n, err)
					}
					return
				}
				if _, err := io.ReadAll(a.Body); err != nil {
					t.Errorf("client %d, request %d: answered %d, cut short: %v", i, n, a.StatusCode, err)
				}
				if a.Close {
					return
				}
			}
		})
	}
	all.Wait()
	c.ended()
}

// Guards against a crowd that holds all descriptors while discovery is down: clients are
// still taken in, the watch comes up once discovery is back, and workers are reached.
func TestCrowdWhileDiscoveryIsDown(t *testing.T) {
	const descriptors = 160
	f := newFleet(t, "w")
	back := f.addr
	f.addr = testkit.FreeAddr(t) // where nobody listens for now
	c := startChild(t, f)
	if err := unix.Prlimit(c.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: descriptors, Max: descriptors}, nil); err != nil {
		t.Fatal(err)
	}
	c.kill()
	c.config.Limits.Sockets = descriptors
	c.write()
	c.start()
	if err := unix.Prlimit(c.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: descriptors, Max: descriptors}, nil); err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	var crowd sync.WaitGroup
	for range 2 * descriptors {
		crowd.Go(func() { // who is put out comes again at once
			for {
				conn, err := net.Dial("tcp", c.plain)
				if err == nil {
					ended := make(chan struct{})
					go func() { _, _ = conn.Read(make([]byte, 1)); close(ended) }()
					select {
					case <-ended:
						conn.Close()
					case <-stop:
						conn.Close()
						<-ended
						return
					}
				}
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
			}
		})
	}
	defer crowd.Wait()
	defer close(stop)
	l, err := net.Listen("tcp", f.addr) // discovery is back
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", back)
			if err != nil {
				in.Close()
				continue
			}
			go func() { _, _ = io.Copy(out, in); out.Close() }()
			go func() { _, _ = io.Copy(in, out); in.Close() }()
		}
	}()
	testkit.Await(t, "the watch", f.told)
	for i := range 5 {
		got := post(c.plain, "/usage-view", job(fmt.Sprint("crowd-", i))...)
		f.next().done("reached")
		if a := testkit.Await(t, "the answer", got); a.status != 200 || a.body != "reached" {
			t.Errorf("%+v", a)
		}
	}
}
