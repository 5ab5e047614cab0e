// Package handover joins the two processes of an upgrade, which for a while are
// one scheduler. The new one finds the old one by a Unix socket and is given its
// listening sockets and its state; then each tells the other what it does.
package handover

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sys/unix"

	"sedgevale/internal/discovery"
	"sedgevale/internal/dispatch"
	"sedgevale/internal/sse"
)

const (
	protocolVersion = 1
	helloTimeout    = time.Second
	stateTimeout    = 2 * time.Second // for what the old process hands over
	maxLine         = 16 << 20
	maxHello        = 4 << 10
	maxSockets      = 8
	maxSocketPath   = 80 // what surely fits into the kernel's address of a Unix socket
)

// Hello is the first line, both ways. The old process's brings its listening
// sockets along.
type Hello struct {
	Version int      `json:"version"`
	Name    string   `json:"name"`
	Listen  string   `json:"listen"`
	Sockets []string `json:"sockets,omitempty"` // the addresses of those, in order
}

// NewHello returns the first line of a scheduler.
func NewHello(name, listen string) Hello {
	return Hello{Version: protocolVersion, Name: name, Listen: listen}
}

// State is what the old process hands over.
type State struct {
	Source    []byte            `json:"source,omitempty"` // the configuration it serves by, of the platform
	List      discovery.List    `json:"list"`
	Discovery string            `json:"discovery"` // where that list is from
	Cordons   []string          `json:"cordons,omitempty"`
	Planners  []dispatch.Estate `json:"planners"`
}

// Order is an operator's order that one process has had and both carry out.
type Order struct {
	Number uint64 `json:"number"`
	Host   string `json:"host"`
	Out    bool   `json:"out"`
}

// Share is what a planner tells its counterpart.
type Share struct {
	Planner int             `json:"planner"`
	Shared  dispatch.Shared `json:"shared"`
}

// Message is one line of a Link.
type Message struct {
	State   *State `json:"state,omitempty"`   // the first of the old process
	Serving bool   `json:"serving,omitempty"` // the new process accepts clients
	Share   *Share `json:"share,omitempty"`
	Order   *Order `json:"order,omitempty"`
	Done    uint64 `json:"done,omitempty"` // the order of that number holds
	Used    int    `json:"used,omitempty"` // descriptors

	Stream *sse.Stream `json:"stream,omitempty"` // of the old process
}

// Session is a connection to the other process before it becomes a Link.
type Session struct {
	Hello   Hello
	Sockets map[string]*net.TCPListener // by address
	conn    *net.UnixConn
	reader  *bufio.Reader
}

// Close ends the session with all that came by it.
func (s *Session) Close() {
	s.conn.Close()
	for _, l := range s.Sockets {
		l.Close()
	}
}

// shortPath returns a name for the path that a Unix socket's address can hold. It is
// good until the folder is closed.
func shortPath(path string) (name string, folder io.Closer, err error) {
	if len(path) <= maxSocketPath {
		return path, io.NopCloser(nil), nil
	}
	f, err := os.Open(filepath.Dir(path))
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", f.Fd(), filepath.Base(path)), f, nil
}

// ErrNobody is returned where no other process is there, though one that has
// died may have left its socket.
var ErrNobody = errors.New("no other process")

// Join finds the old process.
func Join(path string, hello Hello) (*Session, error) {
	name, folder, err := shortPath(path)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	defer folder.Close()
	c, err := net.DialTimeout("unix", name, helloTimeout)
	if errors.Is(err, unix.ENOENT) || errors.Is(err, unix.ECONNREFUSED) {
		return nil, ErrNobody
	}
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	s := &Session{conn: c.(*net.UnixConn), Sockets: map[string]*net.TCPListener{}}
	if err := s.exchangeHello(hello); err != nil {
		s.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	return s, nil
}

func (s *Session) exchangeHello(hello Hello) error {
	_ = s.conn.SetDeadline(time.Now().Add(helloTimeout))
	if err := s.writeLine(hello, nil); err != nil {
		return err
	}
	buf, oob := make([]byte, maxHello), make([]byte, unix.CmsgSpace(4*maxSockets))
	n, oobn, _, _, err := s.conn.ReadMsgUnix(buf, oob)
	if err != nil {
		return err
	}
	listeners, err := receivedListeners(oob[:oobn])
	if err != nil {
		return err
	}
	s.reader = bufio.NewReader(io.MultiReader(bytes.NewReader(buf[:n]), s.conn))
	err = s.readHello(hello)
	for i, l := range listeners {
		if l == nil {
			continue
		}
		if err != nil || i >= len(s.Hello.Sockets) || s.Sockets[s.Hello.Sockets[i]] != nil {
			l.Close()
			continue
		}
		s.Sockets[s.Hello.Sockets[i]] = l
	}
	return err
}

// receivedListeners returns the listening sockets of a message; what is none is nil.
func receivedListeners(oob []byte) (listeners []*net.TCPListener, err error) {
	if len(oob) == 0 {
		return nil, nil
	}
	controls, err := unix.ParseSocketControlMessage(oob)
	if err != nil {
		return nil, err
	}
	for i := range controls {
		fds, err := unix.ParseUnixRights(&controls[i])
		if err != nil {
			continue
		}
		for _, fd := range fds {
			unix.CloseOnExec(fd)
			f := os.NewFile(uintptr(fd), "passed")
			l, _ := net.FileListener(f)
			f.Close()
			t, _ := l.(*net.TCPListener)
			listeners = append(listeners, t)
		}
	}
	return listeners, nil
}

// writeLine sends a line, with the sockets.
func (s *Session) writeLine(v any, sockets []*net.TCPListener) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	b = append(b, '\n')
	if len(sockets) == 0 {
		_, err = s.conn.Write(b)
		return err
	}
	return withFDs(sockets, nil, func(fds []int) error {
		_, _, err := s.conn.WriteMsgUnix(b, unix.UnixRights(fds...), nil)
		return err
	})
}

// withFDs calls f with the sockets' descriptors. File would give descriptors that
// Fd makes blocking, for all who share the socket.
func withFDs(sockets []*net.TCPListener, fds []int, f func([]int) error) error {
	if len(sockets) == 0 {
		return f(fds)
	}
	c, err := sockets[0].SyscallConn()
	if err != nil {
		return err
	}
	var inner error
	if err := c.Control(func(fd uintptr) { inner = withFDs(sockets[1:], append(fds, int(fd)), f) }); err != nil {
		return err
	}
	return inner
}

var errMismatch = errors.New("the other process is another scheduler, or speaks another version")

// readHello reads the other's first line.
func (s *Session) readHello(ours Hello) error {
	line, err := s.reader.ReadSlice('\n')
	if err != nil {
		return err
	}
	if err := json.Unmarshal(line, &s.Hello); err != nil {
		return err
	}
	if s.Hello.Version != ours.Version || s.Hello.Name != ours.Name || s.Hello.Listen != ours.Listen {
		return errMismatch
	}
	return nil
}

// State waits for what the old process hands over.
func (s *Session) State() (*State, error) {
	_ = s.conn.SetDeadline(time.Now().Add(stateTimeout))
	var line []byte
	for {
		part, err := s.reader.ReadSlice('\n')
		line = append(line, part...)
		if err == nil {
			break
		}
		if !errors.Is(err, bufio.ErrBufferFull) || len(line) > maxLine {
			return nil, fmt.Errorf("handover: %w", err)
		}
	}
	var m Message
	if err := json.Unmarshal(line, &m); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	if m.State == nil {
		return nil, errors.New("handover: the first message brings no state")
	}
	return m.State, nil
}

// Host waits for the next process, by the socket.
type Host struct {
	listener *net.UnixListener
	path     string
	info     os.FileInfo
}

// Listen makes the socket, in place of one that another process has left or has
// still.
func Listen(path string) (*Host, error) {
	name, folder, err := shortPath(path)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	defer folder.Close()
	draft := fmt.Sprintf("%s.%d", name, os.Getpid())
	_ = os.Remove(draft) // of one that has died
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: draft, Net: "unix"})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	l.SetUnlinkOnClose(false)
	h := &Host{listener: l, path: path}
	if err = os.Chmod(draft, 0o600); err == nil {
		err = os.Rename(draft, name)
	}
	if err == nil {
		h.info, err = os.Stat(name)
	}
	if err != nil {
		l.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	return h, nil
}

// Accept calls deal, in a goroutine of its own, with each process that joins and
// has been given the sockets.
func (h *Host) Accept(hello Hello, sockets func() []*net.TCPListener, deal func(*Session), failed func(error)) {
	for {
		c, err := h.listener.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			failed(fmt.Errorf("handover: %w", err))
			time.Sleep(helloTimeout / 10)
			continue
		}
		go func() {
			s := &Session{conn: c, reader: bufio.NewReader(c)}
			if err := s.answerHello(hello, sockets()); err != nil {
				s.Close()
				failed(fmt.Errorf("handover: %w", err))
				return
			}
			deal(s)
		}()
	}
}

func (s *Session) answerHello(hello Hello, sockets []*net.TCPListener) error {
	_ = s.conn.SetDeadline(time.Now().Add(helloTimeout))
	if err := s.readHello(hello); err != nil {
		return err
	}
	for _, l := range sockets {
		hello.Sockets = append(hello.Sockets, l.Addr().String())
	}
	return s.writeLine(hello, sockets)
}

// Close ends the waiting and removes the socket, unless it is another process's
// by now.
func (h *Host) Close() {
	h.listener.Close()
	if now, err := os.Stat(h.path); err == nil && os.SameFile(now, h.info) {
		_ = os.Remove(h.path)
	}
}
