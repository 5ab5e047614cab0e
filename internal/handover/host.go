package handover

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"time"
)

// acceptBackoff is the delay after a failed accept.
const acceptBackoff = helloTimeout / 10

// Listener accepts connections of a new process on the scheduler's Unix socket.
type Listener struct {
	listener *net.UnixListener
	path     string
	info     os.FileInfo // of the socket file, to distinguish it from that of a later process
}

// Listen creates the socket. It atomically replaces the socket of another process, whether that
// process is running or not, so that a joining process always finds one of the two.
func Listen(path string) (*Listener, error) {
	name, dir, err := shortPath(path)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	defer func() { _ = dir.Close() }() // the directory was only read
	tempName := fmt.Sprintf("%s.%d", name, os.Getpid())
	_ = os.Remove(tempName) // the file of a process that had the same pid and crashed
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: tempName, Net: "unix"})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	l.SetUnlinkOnClose(false)
	h := &Listener{listener: l, path: path}
	if err = os.Chmod(tempName, 0o600); err == nil {
		err = os.Rename(tempName, name)
	}
	if err == nil {
		h.info, err = os.Stat(name)
	}
	if err != nil {
		_ = l.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	return h, nil
}

// Accept accepts connections of joining processes until Close. It passes the sockets to each
// process and then calls handle with its session in a new goroutine. Errors are reported to failed.
func (h *Listener) Accept(hello Hello, sockets func() []*net.TCPListener, handle func(*Session), failed func(error)) {
	for {
		c, err := h.listener.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			failed(fmt.Errorf("handover: %w", err))
			time.Sleep(acceptBackoff)
			continue
		}
		go func() {
			s := &Session{conn: c, reader: bufio.NewReader(c)}
			if err := s.answerHello(hello, sockets()); err != nil {
				s.Close()
				failed(fmt.Errorf("handover: %w", err))
				return
			}
			handle(s)
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

// Close stops listening and removes the socket file unless another process has replaced it.
func (h *Listener) Close() {
	_ = h.listener.Close()
	if now, err := os.Stat(h.path); err == nil && os.SameFile(now, h.info) {
		_ = os.Remove(h.path)
	}
}
