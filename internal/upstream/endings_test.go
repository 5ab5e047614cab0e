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

	"sedgevale/dispatcher"
	"sedgevale/internal/dispatch"
	"sedgevale/internal/evloop"
	"sedgevale/internal/testkit"
)

// The tests of this file concern the ways in which an attempt ends. On each, what was never sent must be told apart from
// what the worker may have served.

// listenWithFullBacklog returns the address of a worker whose connections are established only once accept is called, and a channel of what
// each of them then receives up to its end.
func listenWithFullBacklog(t *testing.T) (addr string, accept func() <-chan string) {
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
	fillBacklog(t, addr)
	t.Cleanup(func() {
		if err := unix.Close(fd); err != nil {
			t.Error(err)
		}
	})
	return addr, func() <-chan string {
		got := make(chan string, 16)
		go func() {
			for {
				c, _, err := unix.Accept(fd)
				if err != nil {
					return
				}
				go func() {
					defer func() { _ = unix.Close(c) }()
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

// fillBacklog fills a listener's queue, so that further connections are not established. The connections that fill it are closed at
// the end of the test.
func fillBacklog(t *testing.T, addr string) {
	t.Helper()
	const slow = 100 * time.Millisecond
	for wait, n := slow, 0; n < 8; n++ {
		c, err := (&net.Dialer{Timeout: wait}).DialContext(t.Context(), "tcp", addr)
		switch {
		case err == nil:
			t.Cleanup(func() { mustClose(t, c) })
			wait = slow
		case wait > slow:
			return
		default: // on a busy machine a dial may take so long though the queue is not full
			wait = 4 * slow
		}
	}
	t.Skip("this system takes connections beyond the queue")
}

// awaitDial waits until a connection to the worker is being made and its first packet has been sent: by then the queue of the
// listener was full.
func awaitDial(t *testing.T, pool *Pool, worker string) {
	t.Helper()
	addr := ""
	for n := 0; n == 0; {
		seen := make(chan int)
		pool.loop.Do(func() { n, addr = len(pool.workers[worker].dialing), pool.workers[worker].addr; seen <- 0 })
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

func submitRequest(p *dispatch.Planner, clock dispatch.Clock, id string, class *dispatcher.Class, body []byte) (*dispatch.Exchange, client) {
	answers := make(client, 1)
	once := ""
	if class.Idempotency == dispatcher.IdempotentByKey {
		once = "key-" + id
	}
	x := dispatch.NewExchange(dispatch.Job{ID: id, Class: class, Tenant: -1, Method: "POST", Target: "/x", IdempotencyKey: once, Body: body},
		clock.Now()+3*time.Second, answers)
	p.SubmitRequest(x)
	return x, answers
}

// Guards against a request that is sent though its client disconnected while the connection was being made, also where the
// settings forbid cancellation: it was not sent, so there is nothing to cancel.
func TestClientDisconnectsWhileDialing(t *testing.T) {
	for _, mayCancel := range []bool{true, false} {
		t.Run(fmt.Sprint("may cancel ", mayCancel), func(t *testing.T) {
			addr, accept := listenWithFullBacklog(t)
			pool, planner, clock := newTestPoolWithSettings(t, addr, 0, func(s *dispatcher.Settings) { s.AllowCancel = mayCancel })
			x, _ := submitRequest(planner, clock, "a", &classes[0], nil)
			awaitDial(t, pool, "w")
			planner.ClientDisconnected(x)
			open := make(chan int, 1)
			planner.CountOpen(func(n int) { open <- n })
			testkit.Await(t, "the planner", open)
			got := accept()
			for { // the connections that fill the queue stay open; that of the pool is established and closed
				if text := testkit.Await(t, "the late connection's end", got); text != "" {
					t.Errorf("the worker got %q", text)
				} else {
					break
				}
			}
		})
	}
}

// Guards against a retry after the window in which workers recognise an idempotency key: it was decided within the window,
// but its connection was established after it. The client gets an error.
func TestDedupWindowEndsWhileDialing(t *testing.T) {
	keyed := dispatcher.Class{Name: "keyed", Idempotency: dispatcher.IdempotentByKey, DedupWindow: 500 * time.Millisecond, LatencyTarget: 3 * time.Second, ClientTimeout: 3 * time.Second}
	addr, accept := listenWithFullBacklog(t)
	come, breakOff := make(chan struct{}, 4), make(chan struct{})
	first := testkit.Accept(t, func(c net.Conn) { // receives the request and resets the connection
		_, _ = http.ReadRequest(bufio.NewReader(c))
		come <- struct{}{}
		<-breakOff
		_ = c.(*net.TCPConn).SetLinger(0)
		mustClose(t, c)
	})
	pool, planner, clock := newTestPoolWithSettings(t, first, 0, func(s *dispatcher.Settings) { s.Classes = []dispatcher.Class{keyed} })
	pool.UpdateMembers(false, []Member{{ID: "v", Addr: addr, Ready: true}})
	_, answers := submitRequest(planner, clock, "a", &keyed, nil)
	testkit.Await(t, "the first attempt", come)
	planner.WorkersUpdated(dispatcher.UpdateDelta, []dispatcher.WorkerInfo{{Worker: "v"}})
	close(breakOff)
	awaitDial(t, pool, "v")
	got := accept()
	if a := testkit.Await(t, "the answer", answers); a.Kind == dispatch.Served {
		t.Errorf("%+v", a)
	}
	closed := make(chan struct{})
	pool.loop.Do(func() { // the connection is idle, for the next request
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

// Guards against a request sent to an address that the worker no longer has.
func TestAddressChangesWhileDialing(t *testing.T) {
	addr, accept := listenWithFullBacklog(t)
	pool, planner, clock := newTestPool(t, addr, 0)
	_, answers := submitRequest(planner, clock, "a", &classes[0], nil)
	awaitDial(t, pool, "w")
	pool.UpdateMembers(false, []Member{{ID: "w", Addr: testkit.RefusingAddr(t), Ready: true}})
	if a := testkit.Await(t, "the answer", answers); a.Kind != dispatch.Rejected {
		t.Errorf("%+v", a)
	}
	if text := testkit.Await(t, "the late connection's end", accept()); text != "" {
		t.Errorf("the former address got %q", text)
	}
}

// serveResponses runs a worker that has say answer each request.
func serveResponses(t *testing.T, say func(id string, w io.Writer)) string {
	return testkit.Accept(t, func(c net.Conn) {
		defer func() { _ = c.Close() }() // the pool may have reset it
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

// Guards against answers that never end: they are bounded in bytes, and the attempt fails.
func TestEndlessResponses(t *testing.T) {
	for name, endless := range map[string]func(id string) string{
		"progress":  func(id string) string { return fmt.Sprintf(`{"id":%q,"state":"running","share":0.5}`+"\n", id) },
		"one line":  func(string) string { return strings.Repeat("x", 64) },
		"no answer": func(string) string { return "HTTP/1.1 102 Processing\r\n\r\n" },
	} {
		t.Run(name, func(t *testing.T) {
			wrote := make(chan int, 1)
			addr := serveResponses(t, func(id string, w io.Writer) {
				text := endless(id)
				part := []byte(strings.Repeat(text, 1+4096/len(text)))
				n := 0
				if !strings.HasPrefix(text, "HTTP") {
					if _, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 1<<40); err != nil {
						t.Error(err)
					}
				}
				for n < 64<<20 {
					m, err := w.Write(part)
					if n += m; err != nil {
						break
					}
				}
				wrote <- n
			})
			_, planner, clock := newTestPool(t, addr, 0)
			_, answers := submitRequest(planner, clock, "a", &classes[0], nil)
			if a := testkit.Await(t, "the answer", answers); a.Kind != dispatch.Failed || !a.MayHaveRun {
				t.Errorf("%+v", a)
			}
			if n := testkit.Await(t, "the worker's end", wrote); n >= 64<<20 {
				t.Errorf("%d bytes were read", n)
			}
		})
	}
}

// Guards against a duplicated answer that is taken for that to the next request: since it names no request and says that it
// was not started, a request that the worker serves would be sent again.
func TestDuplicateRejection(t *testing.T) {
	const rejection = "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
	asked := make(chan string, 16)
	again := make(chan struct{})
	addr := serveResponses(t, func(id string, w io.Writer) {
		asked <- id
		_, _ = io.WriteString(w, rejection)
		if id == "a" {
			<-again // until the next request has come, on whatever connection
			_, _ = io.WriteString(w, rejection)
		}
	})
	pool, planner, clock := newTestPool(t, addr, 0)
	_, first := submitRequest(planner, clock, "a", &classes[0], nil)
	testkit.Await(t, "the first job", asked)
	if a := testkit.Await(t, "the first answer", first); a.Kind != dispatch.Rejected {
		t.Errorf("%+v", a)
	}
	idle := make(chan int, 1)
	pool.loop.Do(func() { idle <- len(pool.workers["w"].idle) })
	if n := testkit.Await(t, "the loop", idle); n != 0 {
		t.Errorf("%d idle connections on which the same answer may come again", n)
	}
	close(again)
}

func setSendBuffer(t *testing.T, c evloop.Conn, bytes int) {
	t.Helper()
	if err := unix.SetsockoptInt(c.Fd(), unix.SOL_SOCKET, unix.SO_SNDBUF, bytes); err != nil {
		t.Error(err)
	}
}

// closePartlyWritten waits for a connection with a partly written request and closes it, with room in its send buffer.
func closePartlyWritten(t *testing.T, pool *Pool, sendBuffer int) {
	t.Helper()
	for left := 0; left == 0; {
		seen := make(chan int)
		pool.loop.Do(func() {
			n := 0
			for _, cl := range pool.calls {
				if cl.conn != nil && cl.conn.raw.OutboundBuffered() > 0 {
					n = cl.conn.raw.OutboundBuffered()
					setSendBuffer(t, cl.conn.raw, sendBuffer)
					pool.loop.Close(cl.conn.raw) // as after a failed read
				}
			}
			seen <- n
		})
		left = testkit.Await(t, "the loop", seen)
	}
}

// Guards against a request that is reported as not sent, since its connection ended while a part of it was buffered, and that
// is flushed as the connection is closed.
func TestPartlyWrittenRequestStaysPartial(t *testing.T) {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4096) })
	}}
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer mustClose(t, l)
	pool, planner, clock := newTestPoolWithSettings(t, l.Addr().String(), 0, func(s *dispatcher.Settings) { s.MaxAttempts = 1 })
	_, answers := submitRequest(planner, clock, "a", &classes[1], nil)
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer mustClose(t, c)
	r := bufio.NewReader(c)
	if _, err := http.ReadRequest(r); err != nil {
		t.Fatal(err)
	}
	writeDone(t, c, "a")
	testkit.Await(t, "the first answer", answers)
	small := make(chan bool)
	pool.loop.Do(func() {
		w := pool.workers["w"]
		if len(w.idle) == 1 {
			setSendBuffer(t, w.idle[0].raw, 4096)
		}
		small <- len(w.idle) == 1
	})
	if !testkit.Await(t, "the loop", small) {
		t.Fatal("the connection was not kept")
	}
	const size = 100 << 10 // more than the buffer holds now, but not more than it will
	_, answers = submitRequest(planner, clock, "b", &classes[0], bytes.Repeat([]byte("b"), size))
	closePartlyWritten(t, pool, 4*size)
	if a := testkit.Await(t, "the answer", answers); a.Kind != dispatch.Rejected {
		t.Errorf("%+v", a)
	}
	if got, _ := io.Copy(io.Discard, r); got >= size {
		t.Errorf("the worker got all of a request that counts as not sent: %d bytes", got)
	}
}

// Guards against small writes that the kernel delays (Nagle's algorithm).
func TestConnectionsSetTCPNoDelay(t *testing.T) {
	addr := serveResponses(t, func(id string, w io.Writer) {
		writeDone(t, w, id)
	})
	pool, planner, clock := newTestPool(t, addr, 0)
	_, answers := submitRequest(planner, clock, "a", &classes[0], nil)
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
