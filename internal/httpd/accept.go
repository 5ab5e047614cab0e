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

// door accepts connections on a listening socket, which may be shared with
// another process: what its queue holds is lost only with the last who has it.
type door struct {
	listener *net.TCPListener
	mu       sync.Mutex
	resume   chan struct{} // closed to go on accepting; nil: not paused
	parked   chan struct{} // closed once nothing is accepted any more; nil: not paused
	closed   chan struct{}
	once     sync.Once
}

// listen makes a listening socket. It may share its address with that of another
// process, which cannot pass its own on.
func listen(addr string) (*net.TCPListener, error) {
	lc := net.ListenConfig{KeepAlive: -1, Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if e := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		}); e != nil {
			return e
		}
		return err
	}}
	l, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("cannot listen on %s: %w", addr, err)
	}
	return l.(*net.TCPListener), nil
}

func newDoor(l *net.TCPListener) *door { return &door{listener: l, closed: make(chan struct{})} }

// accept takes connections until the door is closed.
func (d *door) accept(take func(*net.TCPConn), failed func(error)) {
	for {
		c, err := d.listener.AcceptTCP()
		switch {
		case err == nil:
			take(c)
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			d.mu.Lock()
			resume := d.resume
			if resume != nil && d.parked != nil {
				close(d.parked)
				d.parked = nil
			}
			d.mu.Unlock()
			if resume == nil {
				continue
			}
			select {
			case <-resume:
			case <-d.closed:
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
func (d *door) pause() {
	d.mu.Lock()
	if d.resume != nil {
		d.mu.Unlock()
		return
	}
	parked := make(chan struct{})
	d.resume, d.parked = make(chan struct{}), parked
	_ = d.listener.SetDeadline(time.Unix(1, 0))
	d.mu.Unlock()
	select {
	case <-parked:
	case <-d.closed:
	}
}

func (d *door) goOn() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.resume != nil {
		_ = d.listener.SetDeadline(time.Time{})
		close(d.resume)
		d.resume = nil
		if d.parked != nil {
			close(d.parked)
			d.parked = nil
		}
	}
}

func (d *door) close() {
	d.once.Do(func() {
		close(d.closed)
		_ = d.listener.Close()
	})
}
