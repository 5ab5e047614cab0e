package simulation

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

const latency = 500 * time.Microsecond

// fabric is a network in memory. Cuts are silent: what is written waits until the cut is over.
type fabric struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]bool
	cuts      map[[2]string]bool // from, to
	changed   chan struct{}      // closed when a cut ends
}

func newFabric() *fabric {
	return &fabric{
		listeners: map[string]*listener{}, conns: map[*conn]bool{}, cuts: map[[2]string]bool{}, changed: make(chan struct{}),
	}
}

// host is one life of a machine on the network. A dead one reaches nobody.
type host struct {
	fabric *fabric
	ip     string
	mu     sync.Mutex
	dead   bool
}

func (f *fabric) host(ip string) *host { return &host{fabric: f, ip: ip} }

func (h *host) isDead() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.dead
}

// kill ends all listeners and connections of this life.
func (h *host) kill() {
	h.mu.Lock()
	h.dead = true
	h.mu.Unlock()
	f := h.fabric
	f.mu.Lock()
	var closing []interface{ Close() error }
	for _, l := range f.listeners {
		if l.host == h {
			closing = append(closing, l)
		}
	}
	for c := range f.conns {
		if c.from == h || c.to == h {
			closing = append(closing, c)
		}
	}
	f.mu.Unlock()
	for _, one := range closing {
		_ = one.Close()
	}
}

// reset ends some of the connections of a machine, while calls are under way on them.
func (f *fabric) reset(ip string, chosen func() bool) {
	f.mu.Lock()
	var closing []*conn
	for c := range f.conns {
		if (c.from.ip == ip || c.to.ip == ip) && chosen() {
			closing = append(closing, c)
		}
	}
	f.mu.Unlock()
	for _, one := range closing {
		_ = one.Close()
	}
}

// cut stops what goes from one machine to another, or heals that.
func (f *fabric) cut(from, to string, is bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if is {
		f.cuts[[2]string{from, to}] = true
		return
	}
	delete(f.cuts, [2]string{from, to})
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fabric) blocked(from, to string) (bool, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cuts[[2]string{from, to}], f.changed
}

type listener struct {
	host    *host
	address string
	accepts chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (h *host) listen(address string) (net.Listener, error) {
	f := h.fabric
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listeners[address] != nil || h.isDead() {
		return nil, &net.OpError{Op: "listen", Err: errors.New("address in use")}
	}
	l := &listener{host: h, address: address, accepts: make(chan net.Conn), closed: make(chan struct{})}
	f.listeners[address] = l
	return l, nil
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepts:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.host.fabric.mu.Lock()
		delete(l.host.fabric.listeners, l.address)
		l.host.fabric.mu.Unlock()
	})
	return nil
}

func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

// conn is one end of a connection.
type conn struct {
	net.Conn
	from, to *host
	fabric   *fabric
	closed   chan struct{}
	once     sync.Once
}

func (c *conn) Write(b []byte) (int, error) {
	for {
		blocked, changed := c.fabric.blocked(c.from.ip, c.to.ip)
		if !blocked {
			break
		}
		select {
		case <-changed:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	time.Sleep(latency)
	return c.Conn.Write(b)
}

func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.fabric.mu.Lock()
		delete(c.fabric.conns, c)
		c.fabric.mu.Unlock()
	})
	return c.Conn.Close()
}

func (h *host) dial(ctx context.Context, _, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, 700*time.Millisecond)
	defer cancel()
	fail := func(err error) (net.Conn, error) { return nil, &net.OpError{Op: "dial", Err: err} }
	f := h.fabric
	ip, _, _ := net.SplitHostPort(address)
	for {
		there, changed := f.blocked(h.ip, ip)
		back, _ := f.blocked(ip, h.ip)
		if !there && !back {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fail(ctx.Err())
		}
	}
	f.mu.Lock()
	l := f.listeners[address]
	f.mu.Unlock()
	if l == nil || h.isDead() {
		time.Sleep(latency)
		return fail(errors.New("connection refused"))
	}
	near, far := net.Pipe()
	mine := &conn{Conn: near, from: h, to: l.host, fabric: f, closed: make(chan struct{})}
	theirs := &conn{Conn: far, from: l.host, to: h, fabric: f, closed: make(chan struct{})}
	select {
	case l.accepts <- theirs:
	case <-l.closed:
		return fail(errors.New("connection refused"))
	case <-ctx.Done():
		return fail(ctx.Err())
	}
	f.mu.Lock()
	f.conns[mine], f.conns[theirs] = true, true
	f.mu.Unlock()
	return mine, nil
}
