package handover

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sedgevale/internal/discovery"
	"sedgevale/internal/dispatchdriver"
	"sedgevale/internal/evloop"
	"sedgevale/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m, 100) }

// recorder is a Handler that records the events of a link.
type recorder struct {
	messages chan *Message
	lost     chan struct{}
}

func newRecorder() recorder                    { return recorder{make(chan *Message, 64), make(chan struct{})} }
func (e recorder) Message(_ *Link, m *Message) { e.messages <- m }
func (e recorder) Lost(*Link)                  { close(e.lost) }

func newLoop(t *testing.T, log *slog.Logger) *evloop.Loop {
	t.Helper()
	loop, err := evloop.New(log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := loop.Stop(); err != nil && !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
	return loop
}

func newTCPListener(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() }) // the test may have closed it
	return l
}

// checkListenerPassed checks that the session has received a listening socket, which accepts connections after the old
// process has closed its own.
func checkListenerPassed(t *testing.T, s *Session, l *net.TCPListener) {
	t.Helper()
	passed := s.Sockets[l.Addr().String()]
	if passed == nil {
		t.Fatalf("the session has sockets %v, want one for %s", s.Sockets, l.Addr())
	}
	if err := l.Close(); err != nil {
		t.Error(err)
	}
	checkAcceptsConnections(t, passed)
}

// longSocketPath returns a path that does not fit into the address of a Unix socket.
func longSocketPath(t *testing.T) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), strings.Repeat("long", 30))
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	return filepath.Join(dir, "sock")
}

// A handover from the first line to the end of the link: the listening socket is passed on and accepts connections, the
// state arrives first, both processes can send, both notice the end, and the socket file is removed.
func TestHandover(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	loop := newLoop(t, log)
	path := longSocketPath(t)
	hello := NewHello("n0", "127.0.0.1:3000")
	host, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	l := newTCPListener(t)
	old := newRecorder()
	links := make(chan *Link, 1)
	go host.Accept(hello, func() []*net.TCPListener { return []*net.TCPListener{l} }, func(s *Session) {
		link := s.Link(loop, old, log)
		link.Send(&Message{State: &State{List: discovery.List{Revision: 7}, Cordons: []string{"w"},
			Planners: []dispatchdriver.HandoverState{{Shared: dispatchdriver.SiblingState{Opened: []string{"job"}}}}}})
		link.Send(&Message{Descriptors: 5})
		links <- link
	}, func(err error) { t.Error(err) })
	s, err := Join(t.Context(), path, hello)
	if err != nil {
		t.Fatal(err)
	}
	state, err := s.State()
	if err != nil || state.List.Revision != 7 || state.Cordons[0] != "w" || state.Planners[0].Shared.Opened[0] != "job" {
		t.Fatalf("received state %+v, error %v", state, err)
	}
	next := newRecorder()
	link := s.Link(loop, next, log)
	link.Send(&Message{Serving: true})
	if m := testkit.Await(t, "a message of the old process", next.messages); m.Descriptors != 5 {
		t.Errorf("the new process received %+v", m)
	}
	if m := testkit.Await(t, "a message of the new process", old.messages); !m.Serving {
		t.Errorf("the old process received %+v", m)
	}
	checkListenerPassed(t, s, l)
	testkit.Await(t, "the link", links).Drop(errors.New("test"))
	testkit.Await(t, "the end of the link at the new process", next.lost)
	testkit.Await(t, "the end of the link at the old process", old.lost)
	host.Close()
	if _, err := os.Stat(path); !os.IsNotExist(err) {
		t.Errorf("the socket file still exists, or cannot be checked: %v", err)
	}
}

// checkAcceptsConnections checks that a passed socket accepts connections, and closes it.
func checkAcceptsConnections(t *testing.T, passed *net.TCPListener) {
	t.Helper()
	go func() {
		if c, err := new(net.Dialer).DialContext(t.Context(), "tcp", passed.Addr().String()); err == nil {
			_ = c.Close()
		}
	}()
	_ = passed.SetDeadline(time.Now().Add(10 * time.Second))
	if c, err := passed.Accept(); err != nil {
		t.Errorf("accepting on the passed socket: %v", err)
	} else if err := c.Close(); err != nil {
		t.Error(err)
	}
	if err := passed.Close(); err != nil {
		t.Error(err)
	}
}

// startPeer listens for one process and answers its Hello with a line. Then it closes the
// connection unless silent is set.
func startPeer(t *testing.T, line string, silent bool) net.Listener {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "unix", filepath.Join(t.TempDir(), "s"))
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		c, err := l.Accept()
		if err == nil {
			_, _ = io.WriteString(c, line)
			if !silent {
				_, _ = c.Read(make([]byte, 1<<10))
				_ = c.Close()
			}
		}
	}()
	return l
}

// Guards against a start that fails or hangs because of another process: Join must return an error in time if the process
// does not exist, has crashed, sends nothing, sends garbage, closes the connection, or is incompatible.
func TestJoinWithoutUsablePeer(t *testing.T) {
	hello := NewHello("n0", "127.0.0.1:3000")
	path := filepath.Join(t.TempDir(), "sock")
	if _, err := Join(t.Context(), path, hello); !errors.Is(err, ErrNoProcess) {
		t.Errorf("without a socket: %v", err)
	}
	host, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := host.listener.Close(); err != nil { // as after SIGKILL, the socket file is not removed
		t.Fatal(err)
	}
	if _, err := Join(t.Context(), path, hello); !errors.Is(err, ErrNoProcess) {
		t.Errorf("with the socket file of a killed process: %v", err)
	}
	for peer, line := range map[string]string{"silent": "", "garbage": "\x00\x01\n", "ends": "{}",
		"other": `{"version":1,"name":"n1","listen":"127.0.0.1:3000"}` + "\n",
		"newer": `{"version":2,"name":"n0","listen":"127.0.0.1:3000"}` + "\n"} {
		l := startPeer(t, line, peer == "silent")
		began := time.Now()
		if _, err := Join(t.Context(), l.Addr().String(), hello); err == nil || errors.Is(err, ErrNoProcess) || time.Since(began) > 3*time.Second {
			t.Errorf("%s: %v after %v", peer, err, time.Since(began))
		}
		if err := l.Close(); err != nil {
			t.Error(err)
		}
	}
	// A second Listener replaces the socket, and closing the first one does not remove it.
	first, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	second, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	first.Close()
	if _, err := os.Stat(path); err != nil {
		t.Errorf("closing the first Listener removed the socket of the second: %v", err)
	}
	second.Close()
}

// A Link reads complete messages in order however the bytes are split into chunks, and a malformed line closes it.
func TestLinkReadsChunks(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	loop := newLoop(t, log)
	rapid.Check(t, func(t *rapid.T) {
		h := newRecorder()
		l := &Link{loop: loop, handler: h, log: log}
		n := rapid.IntRange(1, 8).Draw(t, "messages")
		var all []byte
		for i := range n {
			b, err := json.Marshal(&Message{Descriptors: i + 1, Order: &Order{Host: rapid.StringN(0, 8, 32).Draw(t, "host")}})
			if err != nil {
				t.Fatal(err)
			}
			all = append(append(all, b...), '\n')
		}
		all = append(all, `{"used":99`...) // an incomplete line
		for rest := all; len(rest) > 0; {
			at := rapid.IntRange(1, len(rest)).Draw(t, "cut")
			l.receive(rest[:at])
			rest = rest[at:]
		}
		for i := range n {
			if len(h.messages) == 0 {
				t.Fatalf("received only %d messages of %d", i, n)
			}
			if m := <-h.messages; m.Descriptors != i+1 {
				t.Fatalf("message %d is %+v", i+1, m)
			}
		}
		if len(h.messages) != 0 || l.closed {
			t.Fatalf("received %d messages too many, link closed %v", len(h.messages), l.closed)
		}
		l.receive(append(rapid.SliceOfN(rapid.Byte(), 0, 50).Draw(t, "garbage"), "\x00\n"...)) // a zero byte is not valid JSON
		if !l.closed {
			t.Fatal("a malformed line did not close the link")
		}
	})
}
