package resourcequota

import (
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// pipeConn is a connection that records whether it was closed.
type pipeConn struct {
	net.Conn
	closed bool
}

func (c *pipeConn) Close() error {
	c.closed = true
	return nil
}

func connect(b *Quota, port *Port) (*connection, *pipeConn) {
	raw := &pipeConn{}
	return b.accept(raw, port), raw
}

func TestConnectionsAreEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(Limits{ConnectionBytes: 100 * mib, Connections: 4}) // three of them for one port
		port, other := &Port{Receive: 32 << 10}, &Port{Receive: 32 << 10}
		serving, servingRaw := connect(b, port)
		serving.setPhase(phaseServing)
		slow, slowRaw := connect(b, port)
		idle, idleRaw := connect(b, port)
		idle.setPhase(phaseIdle)
		elsewhere, elsewhereRaw := connect(b, other)
		elsewhere.setPhase(phaseIdle)

		if c, _ := connect(b, port); c == nil || !idleRaw.closed || elsewhereRaw.closed {
			t.Error("a full port closes its own idle connection first")
		}
		if c, _ := connect(b, port); c != nil {
			t.Error("no connection may be closed for having been slow for no time")
		}
		time.Sleep(stallTimeout + time.Millisecond)
		c, _ := connect(b, port)
		if c == nil || !slowRaw.closed || servingRaw.closed || elsewhereRaw.closed {
			t.Error("a full port closes the connection that has been slow for the longest time")
		}
		if d, _ := connect(b, other); d == nil || !elsewhereRaw.closed {
			t.Error("a full process closes an idle connection")
		}
		_ = slow.Close() // its server notices later; it must not be counted twice
		if u := b.Usage(); u.Connections != 4 || u.Evicted != 3 || u.TurnedAway != 1 {
			t.Errorf("usage %+v, want 4 connections, 3 evicted, 1 turned away", u)
		}
	})
}

func TestConnectionMemoryIsLimited(t *testing.T) {
	port := &Port{Receive: 32 << 10}
	b := New(Limits{ConnectionBytes: 8 * port.cost(), Connections: 1000})
	for range 20 {
		connect(b, port)
	}
	if u := b.Usage(); u.Connections != 6 || u.TurnedAway != 14 {
		t.Errorf("usage %+v, want three quarters of 8 connections", u)
	}
}
