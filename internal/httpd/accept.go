package httpd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const acceptBackoff = 5 * time.Millisecond

// acceptor accepts connections on a listening socket, which may be shared with another
// process: the connections in its backlog are lost only when the last process closes it.
type acceptor struct {
	listener *net.TCPListener
	mu       sync.Mutex    // guards resume and paused
	resume   chan struct{} // closed to go on accepting; nil: not paused
	paused   chan struct{} // closed once nothing is accepted any more; nil: not paused
	closed   chan struct{}
	once     sync.Once
	backoff  time.Duration // after a connection could not be accepted: descriptors have run out
}

// listen makes a listening socket. It may share its address (SO_REUSEPORT) with that of
// another process, which cannot pass its own on.
func listen(ctx context.Context, addr string) (*net.TCPListener, error) {
	lc := net.ListenConfig{KeepAlive: -1, Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if e := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		}); e != nil {
			return e
		}
		return err
	}}
	l, err := lc.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("cannot listen on %s: %w", addr, err)
	}
	return l.(*net.TCPListener), nil
}

func newAcceptor(l *net.TCPListener) *acceptor {
	return &acceptor{listener: l, closed: make(chan struct{}), backoff: acceptBackoff}
}

// accept passes connections to take until it is closed.
func (a *acceptor) accept(take func(*net.TCPConn), failed func(error)) {
	for {
		c, err := a.listener.AcceptTCP()
		switch {
		case err == nil:
			take(c)
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			a.mu.Lock()
			resume := a.resume
			if resume != nil && a.paused != nil {
				close(a.paused)
				a.paused = nil
			}
			a.mu.Unlock()
			if resume == nil {
				continue
			}
			select {
			case <-resume:
			case <-a.closed:
				return
			}
		default:
			failed(err)
			select {
			case <-time.After(a.backoff):
			case <-a.closed:
				return
			}
		}
	}
}

// pauseAccepting stops accepting and returns once it has stopped: an accept that was under way may
// still have taken a connection. The socket stays as it is, and its backlog waits for the
// process that shares it.
func (a *acceptor) pauseAccepting() {
	a.mu.Lock()
	if a.resume != nil {
		a.mu.Unlock()
		return
	}
	stopped := make(chan struct{})
	a.resume, a.paused = make(chan struct{}), stopped
	_ = a.listener.SetDeadline(time.Unix(1, 0))
	a.mu.Unlock()
	select {
	case <-stopped:
	case <-a.closed:
	}
}

// resumeAccepting accepts again.
func (a *acceptor) resumeAccepting() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.resume != nil {
		_ = a.listener.SetDeadline(time.Time{})
		close(a.resume)
		a.resume = nil
		if a.paused != nil {
			close(a.paused)
			a.paused = nil
		}
	}
}

func (a *acceptor) close() {
	a.once.Do(func() {
		close(a.closed)
		_ = a.listener.Close()
	})
}
