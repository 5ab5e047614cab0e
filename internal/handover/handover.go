// Package handover links the two processes of an upgrade, which for a while serve as one
// scheduler. The new process connects to the old one's Unix socket and is given its
// listening sockets (SCM_RIGHTS) and its state; from then on each sends the other updates
// over a Link. Messages are JSON objects, one a line.
package handover

import (
	"bufio"
	"bytes"
	"context"
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
	stateTimeout    = 2 * time.Second // for the old process's state
	maxLine         = 16 << 20        // bytes
	maxHello        = 4 << 10         // bytes
	maxSockets      = 8
	maxSocketPath   = 80 // bytes that surely fit into the kernel's address of a Unix socket
)

// Hello is the first line of either process. The old process's carries its listening
// sockets. Its keys, like those of all messages, are read by other versions.
type Hello struct {
	Version int      `json:"version"`
	Name    string   `json:"name"`
	Listen  string   `json:"listen"`
	Sockets []string `json:"sockets,omitempty"` // the sockets' addresses, in order
}

// NewHello returns the Hello of a scheduler.
func NewHello(name, listen string) Hello {
	return Hello{Version: protocolVersion, Name: name, Listen: listen}
}

// State is what the old process hands over.
type State struct {
	Source    []byte                   `json:"source,omitempty"` // the configuration in force, as the platform wrote it
	List      discovery.List           `json:"list"`             // of workers
	Discovery string                   `json:"discovery"`        // the address that the list is from
	Cordons   []string                 `json:"cordons,omitempty"`
	Planners  []dispatch.HandoverState `json:"planners"`
}

// Order is an operator's cordon order that one process was given and both carry out.
type Order struct {
	Number uint64 `json:"number"`
	Host   string `json:"host"` // the worker
	Cordon bool   `json:"out"`
}

// PlannerUpdate is an update that a planner sends its counterpart in the other process.
type PlannerUpdate struct {
	Planner int                   `json:"planner"`
	Shared  dispatch.SiblingState `json:"shared"`
}

// Message is one line of a Link. Each field that is set is an update of its own.
type Message struct {
	State          *State         `json:"state,omitempty"`   // the old process's first message
	Serving        bool           `json:"serving,omitempty"` // the new process accepts connections
	PlannerUpdate  *PlannerUpdate `json:"share,omitempty"`
	Order          *Order         `json:"order,omitempty"`
	ConfirmedOrder uint64         `json:"done,omitempty"` // the order of that number is in force
	Descriptors    int            `json:"used,omitempty"` // descriptors in use

	Stream *sse.Stream `json:"stream,omitempty"` // events of the old process's streams
}

// Session is a connection to the other process before it becomes a Link.
type Session struct {
	Hello   Hello                       // the other process's
	Sockets map[string]*net.TCPListener // received from it, by address
	conn    *net.UnixConn
	reader  *bufio.Reader
}

// Close closes the connection and all sockets that were received over it.
func (s *Session) Close() {
	_ = s.conn.Close()
	for _, l := range s.Sockets {
		_ = l.Close()
	}
}

// shortPath returns a name for the path that fits into a Unix socket's address. The name is
// valid until the directory is closed.
func shortPath(path string) (name string, dir io.Closer, err error) {
	if len(path) <= maxSocketPath {
		return path, io.NopCloser(nil), nil
	}
	f, err := os.Open(filepath.Dir(path))
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", f.Fd(), filepath.Base(path)), f, nil
}

// ErrNoProcess is returned by Join where no process listens, though one that has died may have
// left its socket behind.
var ErrNoProcess = errors.New("no other process")

// Join connects to the old process by its socket and receives its listening sockets. The
// error is ErrNoProcess if there is no such process; any other one says that it does not
// answer in time, or is another scheduler.
func Join(ctx context.Context, path string, hello Hello) (*Session, error) {
	name, dir, err := shortPath(path)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	defer func() { _ = dir.Close() }() // it was only read
	dialer := net.Dialer{Timeout: helloTimeout}
	c, err := dialer.DialContext(ctx, "unix", name)
	if errors.Is(err, unix.ENOENT) || errors.Is(err, unix.ECONNREFUSED) {
		return nil, ErrNoProcess
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
			_ = l.Close()
			continue
		}
		s.Sockets[s.Hello.Sockets[i]] = l
	}
	return err
}

// receivedListeners returns the listening sockets in a message's control data, nil for a
// descriptor that is not a listening TCP socket.
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
			_ = f.Close() // the listener has a duplicate
			t, _ := l.(*net.TCPListener)
			listeners = append(listeners, t)
		}
	}
	return listeners, nil
}

// writeLine sends a value as a line, together with the sockets.
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

// withFDs calls f with the sockets' descriptors. It avoids TCPListener.File, whose Fd would
// switch the socket to blocking mode for all processes that share it.
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

// errMismatch is returned for a process that this one cannot share its state with.
var errMismatch = errors.New("the other process is another scheduler, or uses another protocol version")

// readHello reads the other process's Hello, which must match ours.
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

// State waits for the state that the old process sends as its first message.
func (s *Session) State() (*State, error) {
	_ = s.conn.SetDeadline(time.Now().Add(stateTimeout))
	var line []byte
	for {
		chunk, err := s.reader.ReadSlice('\n')
		line = append(line, chunk...)
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
