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

// Guards against what is lost at the end of a process though it was accepted: clients send
// on every connection that they have, also on one that was idle since it was made, until it
// ends; workers hang. Each request gets a whole response, or its connection was ended before
// it was read, and never by a reset.
func TestTerminationOwesNothing(t *testing.T) {
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
	var all sync.WaitGroup
	for i, conn := range conns {
		all.Go(func() { sendUntilEnded(t, conn, i) })
	}
	all.Wait()
	c.awaitExit()
}

// sendUntilEnded sends jobs on a connection until that has ended. Every fourth client leaves
// its connection idle until it is ended, and sends in that moment.
func sendUntilEnded(t *testing.T, conn net.Conn, client int) {
	r := bufio.NewReader(conn)
	idle := client%4 == 3
	if idle {
		if _, err := r.ReadByte(); err != io.EOF {
			t.Errorf("client %d: an idle connection ended with %v", client, err)
		}
	}
	for n := 0; ; n++ {
		if send(conn, "usage-view", fmt.Sprint(client, "-", n), 9*time.Second) != nil {
			return // it was ended, and that was told
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
			t.Errorf("client %d, request %d: answered %d, cut short: %v", client, n, a.Status, err)
		}
		if a.Last {
			return
		}
	}
}

// Guards against many clients that hold all descriptors while discovery is down: clients are
// still accepted, the watch comes up once discovery is back, and workers are reached.
func TestCrowdWhileDiscoveryIsDown(t *testing.T) {
	const descriptors = 160
	f := newFleet(t, "w")
	back := f.addr
	f.addr = testkit.FreeAddr(t) // where nobody listens for now
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
	ctx, stop := context.WithCancel(t.Context())
	var crowd sync.WaitGroup
	for range 2 * descriptors {
		crowd.Go(func() { reconnect(ctx, c.addr) })
	}
	defer crowd.Wait()
	defer stop()
	l := testkit.Listen(t, f.addr) // discovery is back
	go forward(ctx, l, back)
	testkit.Await(t, "the watch", f.polled)
	for i := range 5 {
		got := post(c.addr, "/usage-view", job(fmt.Sprint("crowd-", i))...)
		f.next().finish("reached")
		if a := testkit.Await(t, "the answer", got); a.status != 200 || a.body != "reached" {
			t.Errorf("%+v", a)
		}
	}
}

// reconnect keeps an idle connection to an address, a new one whenever it is ended, until
// the context ends.
func reconnect(ctx context.Context, addr string) {
	for {
		if conn, err := new(net.Dialer).DialContext(ctx, "tcp", addr); err == nil {
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			_, _ = conn.Read(make([]byte, 1))
			stop()
			_ = conn.Close() // again where the context has ended
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// forward forwards connections to an address until the listener is closed.
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
