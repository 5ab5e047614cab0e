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

// Fault is what is wrong with one direction between two parties. The zero value is a sound network. Loss and
// Repeat are shares of datagrams, from 0 to 1; on streams they do nothing.
type Fault struct {
	Cut          bool // nothing arrives; streams stay open and say nothing
	Loss, Repeat float64
	Delay        time.Duration // of each datagram or piece of a stream
	Jitter       time.Duration // up to so much more: datagrams overtake each other
}

// Network is all that leads from one party to another: a relay on loopback between any two that talk. Parties go by
// names. What it does at random comes from its seed.
type Network struct {
	ctx  context.Context
	stop context.CancelFunc

	mu      sync.Mutex
	rand    *rand.Rand
	faults  map[[2]string]Fault
	healed  chan struct{} // closed at the next change
	closers []io.Closer
	passed  uint64 // datagrams that arrived
}

// NewNetwork returns a Network with nobody on it.
func NewNetwork(seed uint64) *Network {
	ctx, stop := context.WithCancel(context.Background())
	return &Network{ctx: ctx, stop: stop, rand: rand.New(rand.NewPCG(seed, 0x4e7)), faults: map[[2]string]Fault{}, healed: make(chan struct{})}
}

// Close ends all relays.
func (n *Network) Close() {
	n.stop()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.closers {
		c.Close()
	}
}

// Set makes one direction faulty, or sound again.
func (n *Network) Set(from, to string, f Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults[[2]string{from, to}] = f
	close(n.healed)
	n.healed = make(chan struct{})
}

// Heal makes all sound again.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.faults)
	close(n.healed)
	n.healed = make(chan struct{})
}

// Passed returns how many datagrams have arrived.
func (n *Network) Passed() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.passed
}

func (n *Network) look(from, to string) (Fault, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.faults[[2]string{from, to}], n.healed
}

func (n *Network) keep(c io.Closer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closers = append(n.closers, c)
}

// Datagrams joins parties that send each other datagrams. Each has the address on which it listens; the result
// is for each the addresses by which it reaches the others, in the order of the names, its own among them. A
// datagram comes from the address by which its receiver reaches the sender.
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
			n.keep(c)
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
		if err != nil { // a party that is down has its port closed
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
		n.passed += uint64(copies)
		waits := [2]time.Duration{f.Delay, f.Delay}
		for i := range copies {
			if f.Jitter > 0 {
				waits[i] += time.Duration(n.rand.Int64N(int64(f.Jitter)))
			}
		}
		n.mu.Unlock()
		for _, wait := range waits[:copies] {
			if wait == 0 {
				_, _ = out.WriteToUDPAddrPort(buf[:size], dest) // a loss like others
				continue
			}
			data := append([]byte(nil), buf[:size]...)
			time.AfterFunc(wait, func() { _, _ = out.WriteToUDPAddrPort(data, dest) })
		}
	}
}

// Stream returns an address by which one party opens streams to another, which listens at dest.
func (n *Network) Stream(from, to, dest string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("a relay from %s to %s: %w", from, to, err)
	}
	n.keep(l)
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
	defer in.Close()
	if !n.passable(from, to) || n.ctx.Err() != nil {
		reset(in)
		return
	}
	c, err := net.Dial("tcp", dest)
	if err != nil {
		reset(in)
		return
	}
	out := c.(*net.TCPConn)
	defer out.Close()
	end := context.AfterFunc(n.ctx, func() { in.Close(); out.Close() })
	defer end()
	back := make(chan struct{})
	go func() {
		defer close(back)
		n.copyStream(to, from, out, in)
	}()
	n.copyStream(from, to, in, out)
	<-back
}

// passable waits out a cut and reports whether there was none.
func (n *Network) passable(from, to string) bool {
	for sound := true; ; sound = false {
		f, healed := n.look(from, to)
		if !f.Cut {
			return sound
		}
		select {
		case <-healed:
		case <-n.ctx.Done():
			return false
		}
	}
}

// copyStream passes bytes on one way. What meets a cut is held, and once that is over the stream is reset.
func (n *Network) copyStream(from, to string, src, dst *net.TCPConn) {
	buf := make([]byte, 32<<10)
	for {
		size, err := src.Read(buf)
		f, _ := n.look(from, to)
		if f.Delay > 0 {
			time.Sleep(f.Delay)
		}
		if !n.passable(from, to) {
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

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	c.Close()
}
