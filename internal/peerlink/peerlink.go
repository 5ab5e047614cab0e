// Package peerlink connects the planners of a scheduler with the other schedulers of its site: it owns the UDP socket on which they
// exchange the loads that they put on workers. The protocol is that of internal/peers.
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

	"sedgevale/dispatcher"
	"sedgevale/internal/discovery"
	"sedgevale/internal/dispatch"
	"sedgevale/internal/peers"
)

const (
	// bindRetryInterval is the time between two attempts to bind the address, which the process that this one takes over from
	// may still have.
	bindRetryInterval = 100 * time.Millisecond
	// maxSeparateLines is how many members may change at a time and be logged one by one.
	maxSeparateLines = 4
)

// Options configure a Link.
type Options struct {
	Listen           netip.AddrPort
	Peers            []netip.AddrPort // by number, its own included
	Self             int              // its own number
	Site             uint64           // see peers.Options
	FailureDetection bool             // there is failure detection, by all members alike
	Seed             uint64           // of its random choices
	Revision         peers.Revision   // in force at the start; gossiped where there is failure detection
	MinSubscribers   int              // minimum number of subscribers of a worker
	MinSubset        int              // minimum number of workers in a subset
	Planners         []*dispatch.Planner
	Clock            dispatch.Clock
	Log              *slog.Logger
}

// Link sends the other schedulers the load that its planners put on workers, and passes on the load of the others to the planners.
// Its methods are safe for concurrent use.
type Link struct {
	options         Options
	numberByAddress map[netip.AddrPort]int
	bindRequested   chan struct{} // has an element where the address is to be bound

	mu     sync.Mutex   // guards the fields below
	conn   *net.UDPConn // nil: not bound
	paused bool
	node   *peers.Node
	loads  []map[string]dispatcher.Load // by planner, where there are several

	// Buffers, reused.
	loadChanges  []dispatcher.WorkerLoad
	stateChanges []peers.Change
	lags         []peers.Lag
}

// New returns a Link that has no socket yet, and has the planners report their loads to it.
func New(o Options) *Link {
	l := &Link{options: o, numberByAddress: map[netip.AddrPort]int{}, bindRequested: make(chan struct{}, 1)}
	l.bindRequested <- struct{}{}
	for i, a := range o.Peers {
		l.numberByAddress[a] = i
	}
	nodeOptions := peers.Options{Self: o.Self, Members: len(o.Peers), Site: o.Site, MinSubscribers: o.MinSubscribers, MinSubset: o.MinSubset, Revision: o.Revision,
		Generation: uint16(time.Now().UnixMilli() / 128)}
	if o.FailureDetection {
		nodeOptions.DetectorRand = rand.New(rand.NewPCG(o.Seed, uint64(o.Self)))
	}
	l.node = peers.New(nodeOptions)
	for i, p := range o.Planners {
		l.loads = append(l.loads, map[string]dispatcher.Load{})
		p.OnLoadChange(func(changed []dispatcher.WorkerLoad) { l.updateLoads(i, changed) })
	}
	return l
}

// Run sends and receives until the context ends.
func (l *Link) Run(ctx context.Context) {
	var ticking sync.WaitGroup
	ticking.Go(func() { l.tickLoop(ctx) })
	defer ticking.Wait()
	stop := context.AfterFunc(ctx, l.Pause)
	defer stop()
	for ctx.Err() == nil {
		select {
		case <-l.bindRequested:
		case <-ctx.Done():
			return
		}
		if conn := l.bind(ctx); conn != nil {
			l.readLoop(conn)
		}
	}
}

// readLoop receives datagrams until the socket is closed.
func (l *Link) readLoop(conn *net.UDPConn) {
	buf := make([]byte, peers.MaxDatagram+1)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // as for a peer whose port is closed; no datagram was lost
			continue
		}
		l.receive(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buf[:n])
	}
}

// bind returns a socket on the address, or nil once the Link is paused or the context has ended.
func (l *Link) bind(ctx context.Context) *net.UDPConn {
	for logged := false; ctx.Err() == nil; {
		l.mu.Lock()
		if l.paused {
			l.mu.Unlock()
			return nil
		}
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(l.options.Listen))
		l.conn = conn
		l.mu.Unlock()
		if err == nil {
			return conn
		}
		if !logged {
			logged = true
			l.options.Log.Warn("cannot listen for other schedulers, retrying", "addr", l.options.Listen, "err", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(bindRetryInterval):
		}
	}
	return nil
}

// Pause closes the socket, since another process goes on as this scheduler.
func (l *Link) Pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused = true
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}

// Resume binds the address again.
func (l *Link) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused = false
	select {
	case l.bindRequested <- struct{}{}:
	default:
	}
}

// SetRevision sets the revision of the configuration that is in force here, and sends it to the others.
func (l *Link) SetRevision(r peers.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Clock.Now()
	l.node.SetRevision(now, r)
	l.node.Flush(now, l.send)
}

// receive handles a datagram.
func (l *Link) receive(from netip.AddrPort, datagram []byte) {
	number, known := l.numberByAddress[from]
	if !known {
		number = -1
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Clock.Now()
	if err := l.node.Receive(now, number, datagram); err != nil {
		return
	}
	l.node.Flush(now, l.send) // it may require an answer
	l.deliverLoads()
}

// Status returns the state of the members and the loads of workers.
func (l *Link) Status() peers.Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.Status(l.options.Clock.Now())
}

// logStateChanges logs members whose state has changed: a line each, or one for all where they are many. The lock is held.
func (l *Link) logStateChanges() {
	l.stateChanges = l.stateChanges[:0]
	l.node.Changes(func(c peers.Change) { l.stateChanges = append(l.stateChanges, c) })
	if len(l.stateChanges) > maxSeparateLines {
		var to [peers.Dead + 1]int
		for _, c := range l.stateChanges {
			to[c.To]++
		}
		l.options.Log.Info("many other schedulers changed", "alive", to[peers.Alive], "doubted", to[peers.Suspect], "gone", to[peers.Dead])
		return
	}
	for _, c := range l.stateChanges {
		l.options.Log.Info("another scheduler changed", "number", c.Number, "addr", l.options.Peers[c.Number], "from", c.From, "to", c.To)
	}
}

// logLags logs members that are behind with the configuration, or have caught up: a line each, or one for all where they are
// many.
func (l *Link) logLags(lags []peers.Lag) {
	if len(lags) > maxSeparateLines {
		caughtUp := 0
		for _, lag := range lags {
			if lag.Over {
				caughtUp++
			}
		}
		l.options.Log.Warn("many schedulers are behind or have caught up", "behind", len(lags)-caughtUp, "level", caughtUp, "newest", lags[0].Newest)
		return
	}
	for _, lag := range lags {
		who := "another scheduler"
		if lag.Number == l.options.Self {
			who = "this scheduler"
		}
		attrs := []any{"number", lag.Number, "addr", l.options.Peers[lag.Number], "revision", lag.Revision, "newest", lag.Newest}
		if lag.Over {
			l.options.Log.Info(who+" has caught up", attrs...)
		} else {
			l.options.Log.Warn(who+" is behind", append(attrs, "for", lag.For.Truncate(time.Second))...)
		}
	}
}

// updateLoads takes the changed loads of a planner, in whose goroutine it is called.
func (l *Link) updateLoads(planner int, changed []dispatcher.WorkerLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Clock.Now()
	for _, t := range changed {
		if len(l.loads) > 1 {
			if t.InFlight == 0 && t.NotStarted == 0 { // so that the map does not grow with workers that were removed
				delete(l.loads[planner], t.Worker)
			} else {
				l.loads[planner][t.Worker] = t.Load
			}
			t.Load = dispatcher.Load{}
			for _, out := range l.loads {
				t.Load = t.Plus(out[t.Worker])
			}
		}
		l.node.SetLoad(now, t.Worker, peers.Load{Slots: int(t.InFlight + 0.5), Waiting: t.NotStarted}, t.Saturated)
	}
	l.node.Flush(now, l.send)
}

// send sends a datagram to a member. The lock is held.
func (l *Link) send(to int, datagram []byte) {
	if l.conn != nil {
		_, _ = l.conn.WriteToUDPAddrPort(datagram, l.options.Peers[to]) // the protocol repairs losses
	}
}

// SetWorkers sets the complete list of workers.
func (l *Link) SetWorkers(list discovery.List) {
	workers := make([]string, len(list.Members))
	for i, m := range list.Members {
		workers[i] = m.ID
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node.SetWorkers(workers)
	l.deliverSubset()
}

// deliverSubset passes the subset of the workers on to the planners, if it has changed. The lock is held.
func (l *Link) deliverSubset() {
	l.node.TakeSubsetChange(func(subset []string, sharers int) {
		subset = slices.Clone(subset)
		for _, p := range l.options.Planners {
			p.SetSubset(subset, sharers)
		}
	})
}

// tickLoop has the protocol do what is due until the context ends.
func (l *Link) tickLoop(ctx context.Context) {
	t := time.NewTicker(peers.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		l.mu.Lock()
		now := l.options.Clock.Now()
		l.node.Tick(now)
		l.node.Flush(now, l.send)
		l.deliverSubset()
		l.deliverLoads()
		l.logStateChanges()
		l.lags = l.lags[:0]
		l.node.Lags(func(lag peers.Lag) { l.lags = append(l.lags, lag) })
		l.logLags(l.lags)
		l.mu.Unlock()
	}
}

// deliverLoads passes changed loads of the other schedulers on to the planners. The lock is held.
func (l *Link) deliverLoads() {
	l.loadChanges = l.loadChanges[:0]
	l.node.TakeLoadChanges(func(id string, slots, waiting int) {
		l.loadChanges = append(l.loadChanges, dispatcher.WorkerLoad{Worker: id, Load: dispatcher.Load{InFlight: float64(slots), NotStarted: waiting}})
	})
	if len(l.loadChanges) == 0 {
		return
	}
	for _, p := range l.options.Planners {
		p.UpdatePeerLoad(l.loadChanges)
	}
}
