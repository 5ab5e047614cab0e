package scheduler_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"sedgevale/internal/testkit"
)

// Guards against accepted requests that are lost when a process terminates. Clients send on each of
// their connections until it is closed, also on connections that were idle from the start, while some
// workers hang. Each request must get a complete response, unless its connection was closed, not
// reset, before the request was read.
func TestTerminationAnswersAcceptedRequests(t *testing.T) {
	f := newFleet(t, "v", "w")
	c := startChild(t, f)
	const clients = 12
	conns := make([]net.Conn, clients)
	for i := range conns {
		conns[i] = testkit.Dial(t, c.addr)
	}
	go func() { // every third job hangs
		for n := 0; ; n++ {
			select {
			case r := <-f.attempts:
				if r.write(`"state":"started"`); n%3 > 0 {
					r.finish("result")
				}
			case <-t.Context().Done():
				return
			}
		}
	}()
	c.signal(syscall.SIGTERM)
	c.awaitLog("draining: answering")
	var clientGroup sync.WaitGroup
	for i, conn := range conns {
		clientGroup.Go(func() { sendUntilEnded(t, conn, i) })
	}
	clientGroup.Wait()
	c.awaitExit()
}

// sendUntilEnded sends jobs on a connection until it is closed. Every fourth client leaves its
// connection idle until it is closed, and sends at that moment.
func sendUntilEnded(t *testing.T, conn net.Conn, client int) {
	r := bufio.NewReader(conn)
	idle := client%4 == 3
	if idle {
		if _, err := r.ReadByte(); err != io.EOF {
			t.Errorf("client %d: idle connection closed with %v, want io.EOF", client, err)
		}
	}
	for n := 0; ; n++ {
		if send(conn, "usage-view", fmt.Sprint(client, "-", n), 9*time.Second) != nil {
			return // the connection has been closed
		}
		a, err := testkit.ReadResponse(r)
		if a.Status == 0 {
			atEnd := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && n > 0
			if !atEnd && !idle {
				t.Errorf("client %d, request %d: %v", client, n, err)
			}
			return
		}
		if err != nil {
			t.Errorf("client %d, request %d: response with status %d is truncated: %v", client, n, a.Status, err)
		}
		if a.Last {
			return
		}
	}
}

// Guards against clients that use up all file descriptors while discovery is down: clients must still
// be accepted, the watch must start once discovery is available, and workers must be reachable.
func TestDescriptorLimitWhileDiscoveryIsDown(t *testing.T) {
	const descriptors = 160
	f := newFleet(t, "w")
	discovery := f.addr
	f.addr = testkit.FreeAddr(t) // nothing listens at the address yet
	c := startChild(t, f)
	limit := func() {
		t.Helper()
		if err := unix.Prlimit(c.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: descriptors, Max: descriptors}, nil); err != nil {
			t.Fatal(err)
		}
	}
	limit()
	c.kill()
	c.config.Limits.Sockets = descriptors
	c.write()
	c.start()
	limit()
	ctx, cancel := context.WithCancel(t.Context())
	var connections sync.WaitGroup
	for range 2 * descriptors {
		connections.Go(func() { reconnect(ctx, c.addr) })
	}
	defer connections.Wait()
	defer cancel()
	l := testkit.Listen(t, f.addr) // discovery becomes available
	go forward(ctx, l, discovery)
	testkit.Await(t, "the watch", f.polled)
	for i := range 5 {
		got := post(c.addr, "/usage-view", job(fmt.Sprint("crowd-", i))...)
		f.next().finish("reached")
		if a := testkit.Await(t, "the response", got); a.status != 200 || a.body != "reached" {
			t.Errorf("job %d: %+v, want 200 with body reached", i, a)
		}
	}
}

// reconnect keeps an idle connection to addr open, and replaces it whenever it is closed, until the
// context ends.
func reconnect(ctx context.Context, addr string) {
	for {
		if conn, err := new(net.Dialer).DialContext(ctx, "tcp", addr); err == nil {
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			_, _ = conn.Read(make([]byte, 1))
			stop()
			_ = conn.Close() // closes it a second time if the context has ended
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// forward forwards the listener's connections to an address until the listener is closed.
func forward(ctx context.Context, l net.Listener, to string) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		out, err := new(net.Dialer).DialContext(ctx, "tcp", to)
		if err != nil {
			_ = in.Close()
			continue
		}
		go func() { _, _ = io.Copy(out, in); _ = out.Close() }()
		go func() { _, _ = io.Copy(in, out); _ = in.Close() }()
	}
}
