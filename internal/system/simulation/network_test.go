package simulation

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

const latency = 500 * time.Microsecond

// network is a simulated network. A partition causes no errors on open connections: writes block until it heals.
type network struct {
	mu         sync.Mutex
	listeners  map[string]*listener
	conns      map[*conn]bool
	partitions map[[2]string]bool // blocked directions, as the addresses of the sender and the receiver
	healed     chan struct{}      // closed and replaced when a partition heals
}

func newNetwork() *network {
	return &network{
		listeners: map[string]*listener{}, conns: map[*conn]bool{}, partitions: map[[2]string]bool{}, healed: make(chan struct{}),
	}
}

// host is one incarnation of a machine on the network. A dead host can neither listen nor connect.
type host struct {
	network *network
	ip      string
	mu      sync.Mutex
	dead    bool
}

func (n *network) host(ip string) *host { return &host{network: n, ip: ip} }

func (h *host) isDead() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.dead
}

// kill closes all listeners and connections of this incarnation.
func (h *host) kill() {
	h.mu.Lock()
	h.dead = true
	h.mu.Unlock()
	n := h.network
	n.mu.Lock()
	var closing []interface{ Close() error }
	for _, l := range n.listeners {
		if l.host == h {
			closing = append(closing, l)
		}
	}
	for c := range n.conns {
		if c.from == h || c.to == h {
			closing = append(closing, c)
		}
	}
	n.mu.Unlock()
	for _, closer := range closing {
		_ = closer.Close()
	}
}

// reset closes the connections of a machine for which selected returns true, including those with calls in flight.
func (n *network) reset(ip string, selected func() bool) {
	n.mu.Lock()
	var closing []*conn
	for c := range n.conns {
		if (c.from.ip == ip || c.to.ip == ip) && selected() {
			closing = append(closing, c)
		}
	}
	n.mu.Unlock()
	for _, c := range closing {
		_ = c.Close()
	}
}

// partition blocks traffic from one machine to another, or unblocks it.
func (n *network) partition(from, to string, active bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if active {
		n.partitions[[2]string{from, to}] = true
		return
	}
	delete(n.partitions, [2]string{from, to})
	close(n.healed)
	n.healed = make(chan struct{})
}

// blocked reports whether a direction is blocked, and returns a channel that is closed when a partition heals.
func (n *network) blocked(from, to string) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitions[[2]string{from, to}], n.healed
}

type listener struct {
	host    *host
	address string
	accepts chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (h *host) listen(address string) (net.Listener, error) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil || h.isDead() {
		return nil, &net.OpError{Op: "listen", Err: errors.New("address in use")}
	}
	l := &listener{host: h, address: address, accepts: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
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
		l.host.network.mu.Lock()
		delete(l.host.network.listeners, l.address)
		l.host.network.mu.Unlock()
	})
	return nil
}

func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

// conn is one end of a connection.
type conn struct {
	net.Conn
	from, to *host
	network  *network
	closed   chan struct{}
	once     sync.Once
}

func (c *conn) Write(b []byte) (int, error) {
	for {
		blocked, changed := c.network.blocked(c.from.ip, c.to.ip)
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
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
	})
	return c.Conn.Close()
}

func (h *host) dial(ctx context.Context, _, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, 700*time.Millisecond)
	defer cancel()
	dialError := func(err error) (net.Conn, error) { return nil, &net.OpError{Op: "dial", Err: err} }
	n := h.network
	ip, _, _ := net.SplitHostPort(address)
	for {
		outbound, changed := n.blocked(h.ip, ip)
		inbound, _ := n.blocked(ip, h.ip)
		if !outbound && !inbound {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return dialError(ctx.Err())
		}
	}
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil || h.isDead() {
		time.Sleep(latency)
		return dialError(errors.New("connection refused"))
	}
	localPipe, remotePipe := net.Pipe()
	localConn := &conn{Conn: localPipe, from: h, to: l.host, network: n, closed: make(chan struct{})}
	remoteConn := &conn{Conn: remotePipe, from: l.host, to: h, network: n, closed: make(chan struct{})}
	select {
	case l.accepts <- remoteConn:
	case <-l.closed:
		return dialError(errors.New("connection refused"))
	case <-ctx.Done():
		return dialError(ctx.Err())
	}
	n.mu.Lock()
	n.conns[localConn], n.conns[remoteConn] = true, true
	n.mu.Unlock()
	return localConn, nil
}
