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

// acceptRetryDelay is the time between a failed accept and the next one.
const acceptRetryDelay = 5 * time.Millisecond

// acceptor accepts connections on a listening socket. The socket may be shared with another
// process: connections in its backlog are lost only when the last process closes it.
type acceptor struct {
	listener *net.TCPListener
	mu       sync.Mutex    // guards resume and paused
	resume   chan struct{} // closed to resume accepting; nil if not paused
	paused   chan struct{} // closed once accepting has stopped; nil if nothing waits for that
	closed   chan struct{} // closed by close
	once     sync.Once
	backoff  time.Duration // delay after a failed accept, which usually means that file descriptors are exhausted
}

// listenReusePort opens a listening socket with SO_REUSEPORT, so that the process can listen on an address on which
// another process still listens without having passed its socket on.
func listenReusePort(ctx context.Context, addr string) (*net.TCPListener, error) {
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
	return &acceptor{listener: l, closed: make(chan struct{}), backoff: acceptRetryDelay}
}

// accept calls onConn with each new connection and onError with each error, until the acceptor is closed.
func (a *acceptor) accept(onConn func(*net.TCPConn), onError func(error)) {
	for {
		c, err := a.listener.AcceptTCP()
		switch {
		case err == nil:
			onConn(c)
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
			onError(err)
			select {
			case <-time.After(a.backoff):
			case <-a.closed:
				return
			}
		}
	}
}

// pauseAccepting stops accepting and returns once the accept loop has paused; an accept in progress may
// still return a connection before that. The socket stays open, and the connections in its backlog wait for the
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

// resumeAccepting resumes accepting after pauseAccepting.
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
