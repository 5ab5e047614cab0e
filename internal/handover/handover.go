// Package handover implements the protocol between the old and the new process of an upgrade,
// which serve as one scheduler while both are running. The new process connects to the old one's
// Unix socket and receives its listening sockets (SCM_RIGHTS) and its state. From then on the
// processes send each other updates over a Link. Messages are JSON objects, one per line.
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
	"sedgevale/internal/dispatchdriver"
	"sedgevale/internal/sse"
)

const (
	protocolVersion    = 1
	helloTimeout       = time.Second
	stateTimeout       = 2 * time.Second // timeout of the old process's state
	maxLineBytes       = 16 << 20
	maxHelloBytes      = 4 << 10
	maxSockets         = 8
	maxSocketPathBytes = 80 // length of a path that fits into the address of a Unix socket on any system
)

// Hello is the first line that each process sends. That of the old process carries its listening
// sockets. Processes of other releases read the keys of Hello and of all messages, so they must
// not change.
type Hello struct {
	Version int      `json:"version"`
	Name    string   `json:"name"`
	Listen  string   `json:"listen"`
	Sockets []string `json:"sockets,omitempty"` // addresses of the sockets, in the order of their descriptors
}

// NewHello returns the Hello of a scheduler with the current protocol version.
func NewHello(name, listen string) Hello {
	return Hello{Version: protocolVersion, Name: name, Listen: listen}
}

// State is the state that the old process hands over.
type State struct {
	Source    []byte                         `json:"source,omitempty"` // the current configuration, in the platform's format
	List      discovery.List                 `json:"list"`             // of the workers
	Discovery string                         `json:"discovery"`        // address of the service discovery that sent the list
	Cordons   []string                       `json:"cordons,omitempty"`
	Planners  []dispatchdriver.HandoverState `json:"planners"`
}

// Order is an operator's order to cordon or uncordon a worker. The process that receives it
// forwards it, and both apply it.
type Order struct {
	Number uint64 `json:"number"`
	Host   string `json:"host"` // id of the worker
	Cordon bool   `json:"out"`
}

// PlannerUpdate is an update that a planner sends to its counterpart in the other process.
type PlannerUpdate struct {
	Planner int                         `json:"planner"`
	Shared  dispatchdriver.SiblingState `json:"shared"`
}

// Message is one line of a Link. Each field that is set is an independent update.
type Message struct {
	State          *State         `json:"state,omitempty"`   // first message of the old process
	Serving        bool           `json:"serving,omitempty"` // the new process accepts connections
	PlannerUpdate  *PlannerUpdate `json:"share,omitempty"`
	Order          *Order         `json:"order,omitempty"`
	ConfirmedOrder uint64         `json:"done,omitempty"` // number of an order that is in effect
	Descriptors    int            `json:"used,omitempty"` // number of file descriptors in use

	Stream *sse.Stream `json:"stream,omitempty"` // events of an event stream of the old process
}

// Session is a connection to the other process before it becomes a Link.
type Session struct {
	Hello   Hello                       // of the other process
	Sockets map[string]*net.TCPListener // sockets received from the other process, by address
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

// shortPath returns a name for the path that fits into the address of a Unix socket. The name is
// valid until dir is closed.
func shortPath(path string) (name string, dir io.Closer, err error) {
	if len(path) <= maxSocketPathBytes {
		return path, io.NopCloser(nil), nil
	}
	f, err := os.Open(filepath.Dir(path))
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", f.Fd(), filepath.Base(path)), f, nil
}

// ErrNoProcess is returned by Join if no process listens on the socket. The file of the socket may
// exist, if a process has crashed.
var ErrNoProcess = errors.New("no other process")

// Join connects to the old process at its socket and receives its listening sockets. The error is
// ErrNoProcess if there is no such process. Any other error means that the process did not answer
// in time, or is incompatible.
func Join(ctx context.Context, path string, hello Hello) (*Session, error) {
	name, dir, err := shortPath(path)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	defer func() { _ = dir.Close() }() // the directory was only read
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
	buf, oob := make([]byte, maxHelloBytes), make([]byte, unix.CmsgSpace(4*maxSockets))
	n, oobn, _, _, err := s.conn.ReadMsgUnix(buf, oob)
	if err != nil {
		return err
	}
	listeners, err := parseListeners(oob[:oobn])
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

// parseListeners returns the listening sockets in the control data of a message. A descriptor that
// is not a listening TCP socket yields nil.
func parseListeners(oob []byte) (listeners []*net.TCPListener, err error) {
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
			_ = f.Close() // the listener has duplicated the descriptor
			t, _ := l.(*net.TCPListener)
			listeners = append(listeners, t)
		}
	}
	return listeners, nil
}

// writeLine sends a value as a line of JSON, together with the sockets.
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

// withFDs calls f with the descriptors of the sockets. It avoids TCPListener.File, because File.Fd
// would set the socket to blocking mode for all processes that share it.
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

// errIncompatible is returned for a process with which this one cannot exchange state.
var errIncompatible = errors.New("the other process has a different scheduler name, listen address or protocol version")

// readHello reads the Hello of the other process. Its version, name and listen address must equal ours.
func (s *Session) readHello(ours Hello) error {
	line, err := s.reader.ReadSlice('\n')
	if err != nil {
		return err
	}
	if err := json.Unmarshal(line, &s.Hello); err != nil {
		return err
	}
	if s.Hello.Version != ours.Version || s.Hello.Name != ours.Name || s.Hello.Listen != ours.Listen {
		return errIncompatible
	}
	return nil
}

// State waits for the first message of the old process, which carries its state.
func (s *Session) State() (*State, error) {
	_ = s.conn.SetDeadline(time.Now().Add(stateTimeout))
	var line []byte
	for {
		chunk, err := s.reader.ReadSlice('\n')
		line = append(line, chunk...)
		if err == nil {
			break
		}
		if !errors.Is(err, bufio.ErrBufferFull) || len(line) > maxLineBytes {
			return nil, fmt.Errorf("handover: %w", err)
		}
	}
	var m Message
	if err := json.Unmarshal(line, &m); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	if m.State == nil {
		return nil, errors.New("handover: the first message carries no state")
	}
	return m.State, nil
}
