// Package peerlink joins the planners of a scheduler with those of the other schedulers of its site: it owns the
// UDP socket by which they tell each other what they have out. What is told and believed is decided by
// internal/peers.
package peerlink

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"sedgevale"
	"sedgevale/internal/discovery"
	"sedgevale/internal/dispatch"
	"sedgevale/internal/peers"
)

const (
	// bindEvery is how often the address is tried that another process may hold still: the one that this
	// one takes over from.
	bindEvery = 100 * time.Millisecond
	// fewChanges is how many others may change at a time and be logged one by one.
	fewChanges = 4
)

// Options are the choices for a Link.
type Options struct {
	Listen   netip.AddrPort
	Peers    []netip.AddrPort // by number, its own included
	Self     int
	Site     uint64
	Watch    bool           // they watch who is there
	Seed     uint64         // for what that draws at random
	Revision peers.Revision // of the configuration that is in force at the start; told where they watch
	Hearers  int
	Least    int
	Planners []*dispatch.Planner
	Clock    dispatch.Clock
	Log      *slog.Logger
}

// Link tells the other schedulers what the planners have out, and the planners what the others have.
type Link struct {
	opt     Options
	numbers map[netip.AddrPort]int
	wanted  chan struct{} // holds a token when the address is to be bound

	mu     sync.Mutex
	conn   *net.UDPConn // nil: not bound
	paused bool
	node   *peers.Node
	out    []map[string]sedgevale.Load // by planner, where there are several
	news   []sedgevale.Told

	changes []peers.Change
	lags    []peers.Lag
}

// New returns a Link that does nothing yet.
func New(o Options) *Link {
	l := &Link{opt: o, numbers: map[netip.AddrPort]int{}, wanted: make(chan struct{}, 1)}
	l.wanted <- struct{}{}
	for i, a := range o.Peers {
		l.numbers[a] = i
	}
	of := peers.Options{Self: o.Self, Members: len(o.Peers), Site: o.Site, Hearers: o.Hearers, Least: o.Least, Revision: o.Revision,
		Incarnation: uint16(time.Now().UnixMilli() / 128)}
	if o.Watch {
		of.DetectorRand = rand.New(rand.NewPCG(o.Seed, uint64(o.Self)))
	}
	l.node = peers.New(of)
	for i, p := range o.Planners {
		l.out = append(l.out, map[string]sedgevale.Load{})
		p.Signal(func(changed []sedgevale.Told) { l.told(i, changed) })
	}
	return l
}

// Run works until the context ends.
func (l *Link) Run(ctx context.Context) {
	go l.tick(ctx)
	stop := context.AfterFunc(ctx, l.Pause)
	defer stop()
	for ctx.Err() == nil {
		select {
		case <-l.wanted:
		case <-ctx.Done():
			return
		}
		if conn := l.bind(ctx); conn != nil {
			l.read(conn)
		}
	}
}

func (l *Link) read(conn *net.UDPConn) {
	buf := make([]byte, peers.MaxDatagram+1)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // as of a peer whose port is closed: it concerns no datagram that could be read
			continue
		}
		l.receive(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buf[:n])
	}
}

// bind returns a socket on our address, or nil once nobody wants it any more.
func (l *Link) bind(ctx context.Context) *net.UDPConn {
	for told := false; ctx.Err() == nil; {
		l.mu.Lock()
		if l.paused {
			l.mu.Unlock()
			return nil
		}
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(l.opt.Listen))
		l.conn = conn
		l.mu.Unlock()
		if err == nil {
			return conn
		}
		if !told {
			told = true
			l.opt.Log.Warn("the address for other schedulers is not to be had, trying on", "addr", l.opt.Listen, "err", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(bindEvery):
		}
	}
	return nil
}

// Pause gives the address up: another process goes on as this scheduler.
func (l *Link) Pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused = true
	if l.conn != nil {
		l.conn.Close()
		l.conn = nil
	}
}

// Resume takes the address up again.
func (l *Link) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused = false
	select {
	case l.wanted <- struct{}{}:
	default:
	}
}

// Revise tells the others which revision of the configuration is in force here from now on.
func (l *Link) Revise(r peers.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opt.Clock.Now()
	l.node.SetRevision(now, r)
	l.node.Flush(now, l.send)
}

func (l *Link) receive(from netip.AddrPort, datagram []byte) {
	number, known := l.numbers[from]
	if !known {
		number = -1
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opt.Clock.Now()
	if err := l.node.Receive(now, number, datagram); err != nil {
		return
	}
	l.node.Flush(now, l.send) // it may have to be answered
	l.deliver()
}

// Status returns what is believed of the others and told of boxes.
func (l *Link) Status() peers.Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.Status(l.opt.Clock.Now())
}

// report logs who has come and gone: one line each, or one for all where they are many.
func (l *Link) report() {
	l.changes = l.changes[:0]
	l.node.Changes(func(c peers.Change) { l.changes = append(l.changes, c) })
	if len(l.changes) > fewChanges {
		var to [peers.Dead + 1]int
		for _, c := range l.changes {
			to[c.To]++
		}
		l.opt.Log.Info("many other schedulers changed", "alive", to[peers.Alive], "doubted", to[peers.Suspect], "gone", to[peers.Dead])
		return
	}
	for _, c := range l.changes {
		l.opt.Log.Info("another scheduler changed", "number", c.Number, "addr", l.opt.Peers[c.Number], "from", c.From, "to", c.To)
	}
}

// lagging logs who is behind with the configuration for long, and who no longer is: one line each, or one for all.
func (l *Link) lagging(lags []peers.Lag) {
	if len(lags) > fewChanges {
		level := 0
		for _, lag := range lags {
			if lag.Over {
				level++
			}
		}
		l.opt.Log.Warn("many schedulers are behind or level again", "behind", len(lags)-level, "level", level, "newest", lags[0].Newest)
		return
	}
	for _, lag := range lags {
		who := "another scheduler"
		if lag.Number == l.opt.Self {
			who = "this scheduler"
		}
		attrs := []any{"number", lag.Number, "addr", l.opt.Peers[lag.Number], "revision", lag.Revision, "newest", lag.Newest}
		if lag.Over {
			l.opt.Log.Info(who+" is level again", attrs...)
		} else {
			l.opt.Log.Warn(who+" is behind", append(attrs, "for", lag.For.Truncate(time.Second))...)
		}
	}
}

// told takes in what a planner has out, in its goroutine.
func (l *Link) told(planner int, changed []sedgevale.Told) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opt.Clock.Now()
	for _, t := range changed {
		if len(l.out) > 1 {
			if t.Held == 0 && t.Waiting == 0 { // workers come and go for ever
				delete(l.out[planner], t.Worker)
			} else {
				l.out[planner][t.Worker] = t.Load
			}
			t.Load = sedgevale.Load{}
			for _, out := range l.out {
				t.Load = t.Load.Plus(out[t.Worker])
			}
		}
		l.node.Out(now, t.Worker, peers.Out{Slots: int(t.Held + 0.5), Waiting: t.Waiting}, t.Full)
	}
	l.node.Flush(now, l.send)
}

func (l *Link) send(to int, datagram []byte) {
	if l.conn != nil {
		_, _ = l.conn.WriteToUDPAddrPort(datagram, l.opt.Peers[to]) // what is lost is told again
	}
}

// Members brings the list of workers as it stands.
func (l *Link) Members(list discovery.List) {
	workers := make([]string, len(list.Members))
	for i, m := range list.Members {
		workers[i] = m.ID
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node.Boxes(workers)
	l.parted()
}

// parted tells the planners their part of the fleet, if that has changed.
func (l *Link) parted() {
	l.node.Parted(func(part []string, sharers int) {
		part = slices.Clone(part)
		for _, p := range l.opt.Planners {
			p.Near(part, sharers)
		}
	})
}

func (l *Link) tick(ctx context.Context) {
	t := time.NewTicker(peers.TickEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		l.mu.Lock()
		now := l.opt.Clock.Now()
		l.node.Tick(now)
		l.node.Flush(now, l.send)
		l.parted()
		l.deliver()
		l.report()
		l.lags = l.lags[:0]
		l.node.Lags(func(lag peers.Lag) { l.lags = append(l.lags, lag) })
		l.lagging(l.lags)
		l.mu.Unlock()
	}
}

// deliver tells the planners what others have out.
func (l *Link) deliver() {
	l.news = l.news[:0]
	l.node.News(func(id string, slots, waiting int) {
		l.news = append(l.news, sedgevale.Told{Worker: id, Load: sedgevale.Load{Held: float64(slots), Waiting: waiting}})
	})
	if len(l.news) == 0 {
		return
	}
	for _, p := range l.opt.Planners {
		p.Others(l.news)
	}
}
