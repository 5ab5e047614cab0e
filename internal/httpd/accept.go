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

// accepting pauses for so long when it fails: descriptors have run out.
const acceptAgain = 5 * time.Millisecond

// acceptor accepts connections on a listening socket, which may be shared with
// another process: what its queue holds is lost only with the last who has it.
type acceptor struct {
	listener *net.TCPListener
	mu       sync.Mutex
	resume   chan struct{} // closed to go on accepting; nil: not paused
	parked   chan struct{} // closed once nothing is accepted any more; nil: not paused
	closed   chan struct{}
	once     sync.Once
}

// listen makes a listening socket. It may share its address with that of another
// process, which cannot pass its own on.
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
	return &acceptor{listener: l, closed: make(chan struct{})}
}

// accept takes connections until it is closed.
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
			if resume != nil && a.parked != nil {
				close(a.parked)
				a.parked = nil
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
			time.Sleep(acceptAgain)
		}
	}
}

// pause stops accepting and returns once it has stopped: an accept that was under way may
// still have taken a connection. The socket stays as it is, and its queue waits for
// whoever shares it.
func (a *acceptor) pause() {
	a.mu.Lock()
	if a.resume != nil {
		a.mu.Unlock()
		return
	}
	parked := make(chan struct{})
	a.resume, a.parked = make(chan struct{}), parked
	_ = a.listener.SetDeadline(time.Unix(1, 0))
	a.mu.Unlock()
	select {
	case <-parked:
	case <-a.closed:
	}
}

func (a *acceptor) goOn() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.resume != nil {
		_ = a.listener.SetDeadline(time.Time{})
		close(a.resume)
		a.resume = nil
		if a.parked != nil {
			close(a.parked)
			a.parked = nil
		}
	}
}

func (a *acceptor) close() {
	a.once.Do(func() {
		close(a.closed)
		_ = a.listener.Close()
	})
}
