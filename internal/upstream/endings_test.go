package upstream

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"sedgevale"
	"sedgevale/internal/dispatch"
	"sedgevale/internal/evloop"
	"sedgevale/internal/testkit"
)

// The paths on which an attempt ends, and what must be told apart on each: what was never
// sent, and what may have run.

// late returns a worker whose connections come up only once it is told to take them, and what
// it then gets.
func late(t *testing.T) (addr string, takes func() <-chan string) {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	sa, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr = (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: sa.(*unix.SockaddrInet4).Port}).String()
	fill(t, addr)
	t.Cleanup(func() { unix.Close(fd) })
	return addr, func() <-chan string {
		got := make(chan string, 16)
		go func() {
			for {
				c, _, err := unix.Accept(fd)
				if err != nil {
					return
				}
				go func() {
					defer unix.Close(c)
					var all []byte
					for buf := make([]byte, 4096); ; {
						n, err := unix.Read(c, buf)
						if err != nil || n == 0 {
							got <- string(all)
							return
						}
						all = append(all, buf[:n]...)
					}
				}()
			}
		}()
		return got
	}
}

// fill has a listener's queue full, so that further connections do not come up. Those that
// fill it end with the test, or say so by their ends once they are taken.
func fill(t *testing.T, addr string) {
	t.Helper()
	const slow = 100 * time.Millisecond
	for wait, n := slow, 0; n < 8; n++ {
		c, err := net.DialTimeout("tcp", addr, wait)
		switch {
		case err == nil:
			t.Cleanup(func() { c.Close() })
			wait = slow
		case wait > slow:
			return
		default: // a busy machine may be as slow once; then the queue still had room, and the test none
			wait = 4 * slow
		}
	}
	t.Skip("this system takes connections beyond the queue")
}

// dialling waits until a connection to the worker is being made and its first packet is out: by then
// the queue that it did not get into was full.
func dialling(t *testing.T, pool *Pool, worker string) {
	t.Helper()
	addr := ""
	for n := 0; n == 0; {
		seen := make(chan int)
		pool.loop.Do(func() { n, addr = len(pool.workers[worker].dialling), pool.workers[worker].addr; seen <- 0 })
		testkit.Await(t, "the loop", seen)
	}
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		t.Fatal(err)
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		t.Fatal(err)
	}
	const synSent = "02"
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		table, err := os.ReadFile("/proc/net/tcp")
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(string(table)) {
			f := strings.Fields(line) // number, local, remote, state
			if len(f) > 3 && f[3] == synSent && strings.HasSuffix(f[2], fmt.Sprintf(":%04X", number)) {
				return
			}
		}
	}
	t.Fatal("no connection is being made")
}

func request(p *dispatch.Planner, clock dispatch.Clock, id string, class *sedgevale.Class, body []byte) (*dispatch.Exchange, client) {
	answers := make(client, 1)
	once := ""
	if class.Effect == sedgevale.Keyed {
		once = "key-" + id
	}
	x := dispatch.NewExchange(dispatch.Job{ID: id, Class: class, Tenant: -1, Method: "POST", Target: "/x", Once: once, Body: body},
		clock.Now()+3*time.Second, answers)
	p.Request(x)
	return x, answers
}

// Guards against a job that begins though its client left while its connection was being
// made, also where the settings let nothing be called off: it was not sent, so nothing needs to be.
func TestClientGoneWhileDialling(t *testing.T) {
	for _, mayCancel := range []bool{true, false} {
		t.Run(fmt.Sprint("may cancel ", mayCancel), func(t *testing.T) {
			addr, takes := late(t)
			pool, planner, clock := beginWith(t, addr, 0, func(s *sedgevale.Settings) { s.MayCancel = mayCancel })
			x, _ := request(planner, clock, "a", &classes[0], nil)
			dialling(t, pool, "w")
			planner.Gone(x)
			open := make(chan int, 1)
			planner.Open(func(n int) { open <- n })
			testkit.Await(t, "the planner", open)
			got := takes()
			for nth := 0; ; nth++ { // what filled the queue stays; ours comes up and ends
				if text := testkit.Await(t, "the late connection's end", got); text != "" {
					t.Errorf("the worker got %q", text)
				} else {
					break
				}
			}
		})
	}
}

// Guards against a repeat after the time in which workers drop repeats: it was decided within
// the window, but its connection came up after it. The client is told that it failed.
func TestWindowEndsWhileDialling(t *testing.T) {
	keyed := sedgevale.Class{Name: "keyed", Effect: sedgevale.Keyed, Window: 500 * time.Millisecond, Aim: 3 * time.Second, Limit: 3 * time.Second}
	addr, takes := late(t)
	come, breakOff := make(chan struct{}, 4), make(chan struct{})
	first := testkit.Accept(t, func(c net.Conn) { // takes the job and breaks off
		_, _ = http.ReadRequest(bufio.NewReader(c))
		come <- struct{}{}
		<-breakOff
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	})
	pool, planner, clock := beginWith(t, first, 0, func(s *sedgevale.Settings) { s.Classes = []sedgevale.Class{keyed} })
	pool.Members(false, []Member{{ID: "v", Addr: addr, Ready: true}})
	_, answers := request(planner, clock, "a", &keyed, nil)
	testkit.Await(t, "the first attempt", come)
	planner.Members(sedgevale.ListPatch, []sedgevale.WorkerInfo{{Worker: "v"}})
	close(breakOff)
	dialling(t, pool, "v")
	got := takes()
	if a := testkit.Await(t, "the answer", answers); a.Kind == dispatch.Served {
		t.Errorf("%+v", a)
	}
	closed := make(chan struct{})
	pool.loop.Do(func() { // the connection is kept for the next job
		for _, w := range pool.workers {
			pool.closeIdleOf(w)
		}
		close(closed)
	})
	testkit.Await(t, "the loop", closed)
	if text := testkit.Await(t, "the late connection's end", got); text != "" {
		t.Errorf("the worker got %q", text)
	}
}

// Guards against a send to an address that the list has given up meanwhile.
func TestAddressChangesWhileDialling(t *testing.T) {
	addr, takes := late(t)
	pool, planner, clock := begin(t, addr, 0)
	_, answers := request(planner, clock, "a", &classes[0], nil)
	dialling(t, pool, "w")
	pool.Members(false, []Member{{ID: "w", Addr: testkit.FreeAddr(t), Ready: true}})
	if a := testkit.Await(t, "the answer", answers); a.Kind != dispatch.Refused {
		t.Errorf("%+v", a)
	}
	if text := testkit.Await(t, "the late connection's end", takes()); text != "" {
		t.Errorf("the former address got %q", text)
	}
}

// answering is a worker that writes one text for each request, and then what more returns.
func answering(t *testing.T, say func(id string, w io.Writer)) string {
	return testkit.Accept(t, func(c net.Conn) {
		defer c.Close()
		for r := bufio.NewReader(c); ; {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, q.Body)
			say(q.Header.Get("Request-Id"), c)
		}
	})
}

// Guards against answers that never end: they are bounded in bytes, and are nobody's result.
func TestEndlessAnswers(t *testing.T) {
	for name, endless := range map[string]func(id string) string{
		"progress":  func(id string) string { return fmt.Sprintf(`{"id":%q,"state":"running","share":0.5}`+"\n", id) },
		"one line":  func(string) string { return strings.Repeat("x", 64) },
		"no answer": func(string) string { return "HTTP/1.1 102 Processing\r\n\r\n" },
	} {
		t.Run(name, func(t *testing.T) {
			wrote := make(chan int, 1)
			addr := answering(t, func(id string, w io.Writer) {
				text := endless(id)
				part := []byte(strings.Repeat(text, 1+4096/len(text)))
				n := 0
				if !strings.HasPrefix(text, "HTTP") {
					fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 1<<40)
				}
				for n < 64<<20 {
					m, err := w.Write(part)
					if n += m; err != nil {
						break
					}
				}
				wrote <- n
			})
			_, planner, clock := begin(t, addr, 0)
			_, answers := request(planner, clock, "a", &classes[0], nil)
			if a := testkit.Await(t, "the answer", answers); a.Kind != dispatch.Failed || !a.Ran {
				t.Errorf("%+v", a)
			}
			if n := testkit.Await(t, "the worker's end", wrote); n >= 64<<20 {
				t.Errorf("%d bytes were read", n)
			}
		})
	}
}

// Guards against an answer that comes twice being taken for the next job's: that it names no job and
// says 'not started' would send a job out again that runs.
func TestDoubledTurningAway(t *testing.T) {
	const away = "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
	asked := make(chan string, 16)
	again := make(chan struct{})
	addr := answering(t, func(id string, w io.Writer) {
		asked <- id
		_, _ = io.WriteString(w, away)
		if id == "a" {
			<-again // when the next job has come, on whatever connection
			_, _ = io.WriteString(w, away)
		}
	})
	pool, planner, clock := begin(t, addr, 0)
	_, first := request(planner, clock, "a", &classes[0], nil)
	testkit.Await(t, "the first job", asked)
	if a := testkit.Await(t, "the first answer", first); a.Kind != dispatch.Refused {
		t.Errorf("%+v", a)
	}
	idle := make(chan int, 1)
	pool.loop.Do(func() { idle <- len(pool.workers["w"].idle) })
	if n := testkit.Await(t, "the loop", idle); n != 0 {
		t.Errorf("%d connections kept on which the same answer may come again", n)
	}
	close(again)
}

// Guards against a request that is told not to have been sent, since its connection ended
// while a part of it was still to be written, and is then written as the connection is closed.
func TestHalfWrittenRequestStaysHalf(t *testing.T) {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4096) })
	}}
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	pool, planner, clock := beginWith(t, l.Addr().String(), 0, func(s *sedgevale.Settings) { s.MaxAttempts = 1 })
	_, answers := request(planner, clock, "a", &classes[1], nil)
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	r := bufio.NewReader(c)
	if _, err := http.ReadRequest(r); err != nil {
		t.Fatal(err)
	}
	const line = `{"id":"a","state":"done","result":"r"}`
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(line), line)
	testkit.Await(t, "the first answer", answers)
	buffer := func(gc evloop.Conn, n int) {
		if err := unix.SetsockoptInt(gc.Fd(), unix.SOL_SOCKET, unix.SO_SNDBUF, n); err != nil {
			t.Error(err)
		}
	}
	small := make(chan bool)
	pool.loop.Do(func() {
		w := pool.workers["w"]
		if len(w.idle) == 1 {
			buffer(w.idle[0].raw, 4096)
		}
		small <- len(w.idle) == 1
	})
	if !testkit.Await(t, "the loop", small) {
		t.Fatal("the connection was not kept")
	}
	const size = 100 << 10 // more than that holds, but not more than it will
	_, answers = request(planner, clock, "b", &classes[0], bytes.Repeat([]byte("b"), size))
	for left := 0; left == 0; {
		seen := make(chan int)
		pool.loop.Do(func() {
			n := 0
			for _, f := range pool.calls {
				if f.conn != nil && f.conn.raw.OutboundBuffered() > 0 {
					n = f.conn.raw.OutboundBuffered()
					buffer(f.conn.raw, 4*size)
					pool.loop.Close(f.conn.raw) // as when reading from it fails
				}
			}
			seen <- n
		})
		left = testkit.Await(t, "the loop", seen)
	}
	if a := testkit.Await(t, "the answer", answers); a.Kind != dispatch.Refused {
		t.Errorf("%+v", a)
	}
	if got, _ := io.Copy(io.Discard, r); got >= size {
		t.Errorf("the worker got all of a request that counts as not sent: %d bytes", got)
	}
}

// Guards against small writes that the system holds back.
func TestWorkersHaveNoDelay(t *testing.T) {
	addr := answering(t, func(id string, w io.Writer) {
		line := fmt.Sprintf(`{"id":%q,"state":"done","result":"r"}`, id)
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(line), line)
	})
	pool, planner, clock := begin(t, addr, 0)
	_, answers := request(planner, clock, "a", &classes[0], nil)
	testkit.Await(t, "the answer", answers)
	on := make(chan int, 1)
	pool.loop.Do(func() {
		v := -1
		if w := pool.workers["w"]; len(w.idle) == 1 {
			v, _ = unix.GetsockoptInt(w.idle[0].raw.Fd(), unix.IPPROTO_TCP, unix.TCP_NODELAY)
		}
		on <- v
	})
	if v := testkit.Await(t, "the loop", on); v != 1 {
		t.Errorf("TCP_NODELAY is %d", v)
	}
}
