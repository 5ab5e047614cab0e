package faultinjection

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// LinkFault is the fault of one direction of a link between two endpoints; the zero value is a working link. Loss and Repeat are
// the probabilities of losing and of duplicating a datagram and do not apply to streams.
type LinkFault struct {
	Cut          bool // nothing is delivered; streams stay open
	Loss, Repeat float64
	Delay        time.Duration // added to each datagram and to each read of a stream
	Jitter       time.Duration // upper bound of an additional random delay, which reorders datagrams
}

// Network relays traffic between named endpoints on loopback and injects link faults. Its random choices depend on a seed. It is
// safe for concurrent use.
type Network struct {
	ctx  context.Context // cancelled by Close
	stop context.CancelFunc

	mu        sync.Mutex
	rand      *rand.Rand
	faults    map[[2]string]LinkFault
	changed   chan struct{} // closed at the next change of a fault
	closers   []io.Closer
	delivered uint64 // number of datagrams
}

// NewNetwork returns a Network without endpoints. The caller must close it.
func NewNetwork(seed uint64) *Network {
	ctx, stop := context.WithCancel(context.Background())
	return &Network{ctx: ctx, stop: stop, rand: rand.New(rand.NewPCG(seed, 0x4e7)), faults: map[[2]string]LinkFault{}, changed: make(chan struct{})}
}

// Close stops all relays.
func (n *Network) Close() {
	n.stop()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.closers {
		_ = c.Close()
	}
}

// SetFault sets the fault of one direction of a link.
func (n *Network) SetFault(from, to string, f LinkFault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[[2]string{from, to}] = f
	close(n.changed)
	n.changed = make(chan struct{})
}

// Heal removes all faults.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.faults)
	close(n.changed)
	n.changed = make(chan struct{})
}

// Delivered returns the number of datagrams that were delivered.
func (n *Network) Delivered() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delivered
}

// faultOf returns the fault of one direction of a link and a channel that is closed when any fault changes.
func (n *Network) faultOf(from, to string) (LinkFault, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.faults[[2]string{from, to}], n.changed
}

func (n *Network) addCloser(c io.Closer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closers = append(n.closers, c)
}

// Datagrams relays datagrams between endpoints that receive on the listen addresses. The result lists for each endpoint the
// addresses to which it sends to the others, in the order of the names; its entry for itself is its listen address. A relayed
// datagram's source is the address to which the receiver sends its replies.
func (n *Network) Datagrams(names []string, listen []netip.AddrPort) ([][]netip.AddrPort, error) {
	sockets := make([][]*net.UDPConn, len(names))
	known := make([][]netip.AddrPort, len(names))
	for i := range names {
		sockets[i], known[i] = make([]*net.UDPConn, len(names)), make([]netip.AddrPort, len(names))
		known[i][i] = listen[i]
		for j := range names {
			if i == j {
				continue
			}
			c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
			if err != nil {
				return nil, err
			}
			n.addCloser(c)
			sockets[i][j], known[i][j] = c, c.LocalAddr().(*net.UDPAddr).AddrPort()
		}
	}
	for i := range names {
		for j := range names {
			if i != j { // i sends to the relay's address for j; j receives from the relay's address for i
				go n.relayDatagrams(names[i], names[j], sockets[i][j], sockets[j][i], listen[j])
			}
		}
	}
	return known, nil
}

func (n *Network) relayDatagrams(from, to string, in, out *net.UDPConn, dest netip.AddrPort) {
	buf := make([]byte, 2048)
	for {
		size, _, err := in.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // such as ECONNREFUSED while an endpoint is down
			continue
		}
		n.mu.Lock()
		f := n.faults[[2]string{from, to}]
		copies := 1
		if f.Cut || n.rand.Float64() < f.Loss {
			copies = 0
		} else if n.rand.Float64() < f.Repeat {
			copies = 2
		}
		n.delivered += uint64(copies)
		waits := [2]time.Duration{f.Delay, f.Delay}
		for i := range copies {
			if f.Jitter > 0 {
				waits[i] += time.Duration(n.rand.Int64N(int64(f.Jitter)))
			}
		}
		n.mu.Unlock()
		for _, wait := range waits[:copies] {
			if wait == 0 {
				_, _ = out.WriteToUDPAddrPort(buf[:size], dest) // UDP may lose datagrams anyway
				continue
			}
			data := append([]byte(nil), buf[:size]...)
			time.AfterFunc(wait, func() { _, _ = out.WriteToUDPAddrPort(data, dest) })
		}
	}
}

// Stream starts a TCP relay and returns the address at which one endpoint connects to another, which listens at dest.
func (n *Network) Stream(from, to, dest string) (string, error) {
	l, err := (&net.ListenConfig{}).Listen(n.ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("relay from %s to %s: %w", from, to, err)
	}
	n.addCloser(l)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go n.relayStream(from, to, c.(*net.TCPConn), dest)
		}
	}()
	return l.Addr().String(), nil
}

func (n *Network) relayStream(from, to string, in *net.TCPConn, dest string) {
	defer func() { _ = in.Close() }()
	if !n.awaitLink(from, to) || n.ctx.Err() != nil {
		reset(in)
		return
	}
	c, err := (&net.Dialer{}).DialContext(n.ctx, "tcp", dest)
	if err != nil {
		reset(in)
		return
	}
	out := c.(*net.TCPConn)
	defer func() { _ = out.Close() }()
	end := context.AfterFunc(n.ctx, func() {
		_ = in.Close()
		_ = out.Close()
	})
	defer end()
	back := make(chan struct{})
	go func() {
		defer close(back)
		n.copyStream(to, from, out, in)
	}()
	n.copyStream(from, to, in, out)
	<-back
}

// awaitLink waits until one direction of a link is not cut. It reports whether the direction was not cut at the time of the call.
func (n *Network) awaitLink(from, to string) bool {
	for neverCut := true; ; neverCut = false {
		f, healed := n.faultOf(from, to)
		if !f.Cut {
			return neverCut
		}
		select {
		case <-healed:
		case <-n.ctx.Done():
			return false
		}
	}
}

// copyStream copies one direction of a stream. A stream that a LinkFault.Cut has blocked is reset when the link is healed.
func (n *Network) copyStream(from, to string, src, dst *net.TCPConn) {
	buf := make([]byte, 32<<10)
	for {
		size, err := src.Read(buf)
		f, _ := n.faultOf(from, to)
		if f.Delay > 0 {
			time.Sleep(f.Delay)
		}
		if !n.awaitLink(from, to) {
			reset(src)
			reset(dst)
			return
		}
		if size > 0 {
			if _, err := dst.Write(buf[:size]); err != nil {
				reset(src)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = dst.CloseWrite()
			return
		}
		if err != nil {
			reset(dst)
			return
		}
	}
}

// reset closes a connection with a TCP reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
