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
	"sedgevale/internal/dispatchdriver"
	"sedgevale/internal/evloop"
	"sedgevale/internal/testkit"
)

// The tests of this file cover the ways in which an attempt ends. In each case a request that was never sent must be
// distinguished from one that the worker may have served.

// listenWithFullBacklog returns the address of a worker whose connections are established only after accept is called. The
// channel that accept returns receives the bytes of each connection when it ends.
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
		default: // on a busy machine a dial may time out although the queue is not full
			wait = 4 * slow
		}
	}
	t.Skip("this system establishes connections beyond the accept queue")
}

// awaitDial waits until a connection to the worker is being dialed and its SYN has been sent, so that the connection cannot be
// established before the accept queue of the listener has room.
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
	t.Fatal("no connection to the worker is in state SYN_SENT")
}

// submitRequest submits a request with 3 s to its deadline, and returns it with the channel of its answer.
func submitRequest(p *dispatchdriver.Planner, clock dispatchdriver.Clock, id string, class *dispatcher.Class, body []byte) (*dispatchdriver.Exchange, client) {
	answers := make(client, 1)
	idempotencyKey := ""
	if class.Idempotency == dispatcher.IdempotentByKey {
		idempotencyKey = "key-" + id
	}
	x := dispatchdriver.NewExchange(dispatchdriver.Job{ID: id, Class: class, Tenant: -1, Method: "POST", Target: "/x", IdempotencyKey: idempotencyKey, Body: body},
		clock.Now()+3*time.Second, answers)
	p.SubmitRequest(x)
	return x, answers
}

// Guards against a request that is sent although its client disconnected during the dial. This holds also if the settings forbid
// cancellation: the request was not sent, so there is nothing to cancel.
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
			for { // the connections that fill the accept queue stay open; that of the pool is established and closed
				if text := testkit.Await(t, "the end of the late connection", got); text != "" {
					t.Errorf("the worker received %q", text)
				} else {
					break
				}
			}
		})
	}
}

// Guards against a retry that is sent after the deduplication window of its idempotency key: the retry is decided within the
// window, but its connection is established after it. The client must get an error.
func TestDedupWindowEndsWhileDialing(t *testing.T) {
	keyed := dispatcher.Class{Name: "keyed", Idempotency: dispatcher.IdempotentByKey, DedupWindow: 500 * time.Millisecond, LatencyTarget: 3 * time.Second, ClientTimeout: 3 * time.Second}
	addr, accept := listenWithFullBacklog(t)
	received, reset := make(chan struct{}, 4), make(chan struct{})
	first := testkit.Accept(t, func(c net.Conn) { // receives the request and resets the connection
		_, _ = http.ReadRequest(bufio.NewReader(c))
		received <- struct{}{}
		<-reset
		_ = c.(*net.TCPConn).SetLinger(0)
		mustClose(t, c)
	})
	pool, planner, clock := newTestPoolWithSettings(t, first, 0, func(s *dispatcher.Settings) { s.Classes = []dispatcher.Class{keyed} })
	pool.UpdateMembers(false, []Member{{ID: "v", Addr: addr, Ready: true}})
	_, answers := submitRequest(planner, clock, "a", &keyed, nil)
	testkit.Await(t, "the first attempt", received)
	planner.WorkersUpdated(dispatcher.UpdateDelta, []dispatcher.WorkerInfo{{Name: "v"}})
	close(reset)
	awaitDial(t, pool, "v")
	got := accept()
	if a := testkit.Await(t, "the answer", answers); a.Kind == dispatchdriver.Served {
		t.Errorf("%+v", a)
	}
	closed := make(chan struct{})
	pool.loop.Do(func() { // the new connection is idle
		for _, w := range pool.workers {
			pool.closeIdleOf(w)
		}
		close(closed)
	})
	testkit.Await(t, "the loop", closed)
	if text := testkit.Await(t, "the end of the late connection", got); text != "" {
		t.Errorf("the worker received %q", text)
	}
}

// Guards against a request that is sent to the former address of a worker, whose address has changed during the dial.
func TestAddressChangesWhileDialing(t *testing.T) {
	addr, accept := listenWithFullBacklog(t)
	pool, planner, clock := newTestPool(t, addr, 0)
	_, answers := submitRequest(planner, clock, "a", &classes[0], nil)
	awaitDial(t, pool, "w")
	pool.UpdateMembers(false, []Member{{ID: "w", Addr: testkit.RefusingAddr(t), Ready: true}})
	if a := testkit.Await(t, "the answer", answers); a.Kind != dispatchdriver.Rejected {
		t.Errorf("%+v", a)
	}
	if text := testkit.Await(t, "the end of the late connection", accept()); text != "" {
		t.Errorf("the former address received %q", text)
	}
}

// serveResponses runs a worker that calls respond to write the response to each request.
func serveResponses(t *testing.T, respond func(id string, w io.Writer)) string {
	return testkit.Accept(t, func(c net.Conn) {
		defer func() { _ = c.Close() }() // the pool may have reset it
		for r := bufio.NewReader(c); ; {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, q.Body)
			respond(q.Header.Get("Request-Id"), c)
		}
	})
}

// Guards against responses that never end: their size is bounded, and the attempt fails as one that may have run.
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
			if a := testkit.Await(t, "the answer", answers); a.Kind != dispatchdriver.Failed || !a.MayHaveRun {
				t.Errorf("%+v", a)
			}
			if n := testkit.Await(t, "the end of the worker's response", wrote); n >= 64<<20 {
				t.Errorf("the worker could write %d bytes", n)
			}
		})
	}
}

// Guards against a duplicated rejection that is taken for the response to the next request. A rejection names no request and
// means that the request was not started, so a request that the worker serves would be sent again.
func TestDuplicateRejection(t *testing.T) {
	const rejection = "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
	received := make(chan string, 16)
	duplicate := make(chan struct{})
	addr := serveResponses(t, func(id string, w io.Writer) {
		received <- id
		_, _ = io.WriteString(w, rejection)
		if id == "a" {
			<-duplicate // closed at the end of the test
			_, _ = io.WriteString(w, rejection)
		}
	})
	pool, planner, clock := newTestPool(t, addr, 0)
	_, first := submitRequest(planner, clock, "a", &classes[0], nil)
	testkit.Await(t, "the first request", received)
	if a := testkit.Await(t, "the first answer", first); a.Kind != dispatchdriver.Rejected {
		t.Errorf("%+v", a)
	}
	idle := make(chan int, 1)
	pool.loop.Do(func() { idle <- len(pool.workers["w"].idle) })
	if n := testkit.Await(t, "the loop", idle); n != 0 {
		t.Errorf("%d idle connections on which a duplicate response may arrive, want 0", n)
	}
	close(duplicate)
}

func setSendBuffer(t *testing.T, c evloop.Conn, bytes int) {
	t.Helper()
	if err := unix.SetsockoptInt(c.Fd(), unix.SOL_SOCKET, unix.SO_SNDBUF, bytes); err != nil {
		t.Error(err)
	}
}

// closePartlyWritten waits for a connection with a partly written request, sets the size of its send buffer and closes it.
func closePartlyWritten(t *testing.T, pool *Pool, sendBuffer int) {
	t.Helper()
	for unsent := 0; unsent == 0; {
		seen := make(chan int)
		pool.loop.Do(func() {
			n := 0
			for _, cl := range pool.calls {
				if cl.conn != nil && cl.conn.raw.OutboundBuffered() > 0 {
					n = cl.conn.raw.OutboundBuffered()
					setSendBuffer(t, cl.conn.raw, sendBuffer)
					pool.loop.Close(cl.conn.raw) // as the loop does after a failed read
				}
			}
			seen <- n
		})
		unsent = testkit.Await(t, "the loop", seen)
	}
}

// Guards against a request that is reported as not sent, because its connection was closed while a part of it was buffered, and
// that the worker still receives in full, because gnet flushes the buffer as it closes the connection.
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
		t.Fatal("the worker has no idle connection after the first response")
	}
	const size = 100 << 10 // larger than the send buffer now, but smaller than after closePartlyWritten has enlarged it
	_, answers = submitRequest(planner, clock, "b", &classes[0], bytes.Repeat([]byte("b"), size))
	closePartlyWritten(t, pool, 4*size)
	if a := testkit.Await(t, "the answer", answers); a.Kind != dispatchdriver.Rejected {
		t.Errorf("%+v", a)
	}
	if got, _ := io.Copy(io.Discard, r); got >= size {
		t.Errorf("the worker received %d bytes, the entire request, although it is reported as not sent", got)
	}
}

// Guards against delays of small writes by Nagle's algorithm: connections to workers must set TCP_NODELAY.
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
		t.Errorf("TCP_NODELAY is %d, want 1", v)
	}
}
