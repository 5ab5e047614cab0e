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

// LinkFault is what is wrong with one direction between two parties; zero for nothing. Loss and Repeat are probabilities for each
// datagram; streams do not have them.
type LinkFault struct {
	Cut          bool // nothing arrives; streams stay open
	Loss, Repeat float64
	Delay        time.Duration // of each datagram or piece of a stream
	Jitter       time.Duration // a random delay on top, so that datagrams overtake each other
}

// Network is relays on loopback between parties, which go by their names. Its random choices depend on a seed. It is safe for
// concurrent use.
type Network struct {
	ctx  context.Context // until Close
	stop context.CancelFunc

	mu        sync.Mutex
	rand      *rand.Rand
	faults    map[[2]string]LinkFault
	changed   chan struct{} // closed at the next change of a fault
	closers   []io.Closer
	delivered uint64 // datagrams
}

// NewNetwork returns a Network without parties. It has to be closed.
func NewNetwork(seed uint64) *Network {
	ctx, stop := context.WithCancel(context.Background())
	return &Network{ctx: ctx, stop: stop, rand: rand.New(rand.NewPCG(seed, 0x4e7)), faults: map[[2]string]LinkFault{}, changed: make(chan struct{})}
}

// Close ends all relays.
func (n *Network) Close() {
	n.stop()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.closers {
		_ = c.Close()
	}
}

// SetFault sets the fault of one direction.
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

// faultOf returns the fault of a direction and a channel that is closed at the next change of any.
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

// Datagrams connects parties that send each other datagrams. Listen has the addresses on which they receive; the result has for
// each of them the addresses to which it sends to the others, in the order of the names, its own among them. A datagram comes
// from the address to which its receiver sends to the sender.
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
			if i != j { // what i sends to its address of j comes to j from j's address of i
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
		if err != nil { // the port of a party that is down is closed
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
				_, _ = out.WriteToUDPAddrPort(buf[:size], dest) // a datagram may be lost
				continue
			}
			data := append([]byte(nil), buf[:size]...)
			time.AfterFunc(wait, func() { _, _ = out.WriteToUDPAddrPort(data, dest) })
		}
	}
}

// Stream returns an address at which one party opens streams to another one, which listens at dest.
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

// awaitLink waits until a direction has no LinkFault.Cut, and reports whether it had none from the beginning.
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

// copyStream copies one direction of a stream. A stream that a LinkFault.Cut has held up is reset once that is healed.
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

// reset closes a connection so that its peer gets a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
