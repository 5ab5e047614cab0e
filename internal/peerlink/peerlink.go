// Package peerlink runs the protocol of internal/peers on a UDP socket: it sends the load that a scheduler's planners put on workers to
// the other schedulers of the site, and passes the load that those report to the planners.
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
	"sedgevale/internal/dispatchdriver"
	"sedgevale/internal/peers"
)

const (
	// bindRetryInterval is the time between two attempts to bind the address, which the process that this one replaces may still
	// hold.
	bindRetryInterval = 100 * time.Millisecond
	// maxSeparateLogLines is the maximum number of simultaneous changes of members that are logged individually. More are
	// summarized in one line.
	maxSeparateLogLines = 4
	// generationMillis is the unit of generations in milliseconds. A process that starts up to 70 minutes after its predecessor
	// has a later generation; the numbers wrap around after twice that time.
	generationMillis = 128
)

// Options configure a Link.
type Options struct {
	Listen           netip.AddrPort
	Peers            []netip.AddrPort // by member number, including this one
	Self             int              // number of this member
	Site             uint64           // fingerprint of the site, see peers.Options
	FailureDetection bool             // must be the same at all members
	Seed             uint64           // seed of the failure detector's random choices
	Revision         peers.Revision   // revision in force at the start; gossiped only with failure detection
	MinSubscribers   int              // minimum number of subscribers per worker
	MinSubset        int              // minimum number of workers per subset
	Planners         []*dispatchdriver.Planner
	Clock            dispatchdriver.Clock
	Log              *slog.Logger
}

// Link exchanges the loads of its planners with the other schedulers of the site. Its methods are safe for concurrent use.
type Link struct {
	options         Options
	numberByAddress map[netip.AddrPort]int
	bindRequested   chan struct{} // holds an element while a bind of the address is requested

	mu     sync.Mutex   // guards the fields below
	conn   *net.UDPConn // nil while the address is not bound
	paused bool
	node   *peers.Node
	loads  []map[string]dispatcher.Load // non-zero loads by worker for each planner; used only with several planners

	// Buffers that are reused between calls.
	loadChanges  []dispatcher.WorkerLoad
	stateChanges []peers.Change
	lags         []peers.Lag
}

// New returns a Link and registers it for load changes of the planners. Run binds its socket.
func New(o Options) *Link {
	l := &Link{options: o, numberByAddress: map[netip.AddrPort]int{}, bindRequested: make(chan struct{}, 1)}
	l.bindRequested <- struct{}{}
	for i, addr := range o.Peers {
		l.numberByAddress[addr] = i
	}
	nodeOptions := peers.Options{Self: o.Self, Members: len(o.Peers), Site: o.Site, MinSubscribers: o.MinSubscribers, MinSubset: o.MinSubset, Revision: o.Revision,
		Generation: uint16(time.Now().UnixMilli() / generationMillis)}
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

// Run sends and receives datagrams until the context ends.
func (l *Link) Run(ctx context.Context) {
	var tickers sync.WaitGroup
	tickers.Go(func() { l.tickLoop(ctx) })
	defer tickers.Wait()
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
		if err != nil { // e.g. an ICMP error for a peer whose port is closed; no received datagram is lost
			continue
		}
		l.receive(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buf[:n])
	}
}

// bind returns a socket bound to the address, retrying until it succeeds. It returns nil if the Link is paused or the context has
// ended.
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
			l.options.Log.Warn("cannot bind the UDP address for peer schedulers; retrying", "addr", l.options.Listen, "err", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(bindRetryInterval):
		}
	}
	return nil
}

// Pause closes the socket, so that the process that takes over as this scheduler can bind the address.
func (l *Link) Pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused = true
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}

// Resume requests that the address be bound again after Pause.
func (l *Link) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused = false
	select {
	case l.bindRequested <- struct{}{}:
	default:
	}
}

// SetRevision sets the configuration revision that this scheduler has in force, and starts to gossip it.
func (l *Link) SetRevision(r peers.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Clock.Now()
	l.node.SetRevision(now, r)
	l.node.Flush(now, l.send)
}

// receive handles a received datagram.
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
	l.node.Flush(now, l.send) // the datagram may require a reply
	l.deliverLoads()
}

// Status returns the state of the members and the loads on workers.
func (l *Link) Status() peers.Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.Status(l.options.Clock.Now())
}

// logStateChanges logs the members whose state has changed, one line per member or a summary of more than maxSeparateLogLines. The
// caller holds mu.
func (l *Link) logStateChanges() {
	l.stateChanges = l.stateChanges[:0]
	l.node.Changes(func(c peers.Change) { l.stateChanges = append(l.stateChanges, c) })
	if len(l.stateChanges) > maxSeparateLogLines {
		var counts [peers.Dead + 1]int
		for _, c := range l.stateChanges {
			counts[c.To]++
		}
		l.options.Log.Info("several peer schedulers changed state", "alive", counts[peers.Alive], "doubted", counts[peers.Suspect], "gone", counts[peers.Dead])
		return
	}
	for _, c := range l.stateChanges {
		l.options.Log.Info("peer scheduler changed state", "number", c.Number, "addr", l.options.Peers[c.Number], "from", c.From, "to", c.To)
	}
}

// logLags logs the members that are behind the newest configuration revision or have caught up, one line per member or a summary of
// more than maxSeparateLogLines.
func (l *Link) logLags(lags []peers.Lag) {
	if len(lags) > maxSeparateLogLines {
		caughtUp := 0
		for _, lag := range lags {
			if lag.CaughtUp {
				caughtUp++
			}
		}
		l.options.Log.Warn("several schedulers are behind the newest configuration revision or have caught up", "behind", len(lags)-caughtUp, "level", caughtUp, "newest", lags[0].Newest)
		return
	}
	for _, lag := range lags {
		subject := "peer scheduler"
		if lag.Number == l.options.Self {
			subject = "this scheduler"
		}
		attrs := []any{"number", lag.Number, "addr", l.options.Peers[lag.Number], "revision", lag.Revision, "newest", lag.Newest}
		if lag.CaughtUp {
			l.options.Log.Info(subject+" has caught up with the newest configuration revision", attrs...)
		} else {
			l.options.Log.Warn(subject+" is behind the newest configuration revision", append(attrs, "for", lag.BehindFor.Truncate(time.Second))...)
		}
	}
}

// updateLoads records and sends the changed loads of a planner. It is called on the planner's goroutine.
func (l *Link) updateLoads(planner int, changed []dispatcher.WorkerLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Clock.Now()
	for _, load := range changed {
		if len(l.loads) > 1 {
			if load.InFlight == 0 && load.NotStarted == 0 { // so that the map does not retain removed workers
				delete(l.loads[planner], load.Worker)
			} else {
				l.loads[planner][load.Worker] = load.Load
			}
			load.Load = dispatcher.Load{}
			for _, byWorker := range l.loads {
				load.Load = load.Add(byWorker[load.Worker])
			}
		}
		l.node.SetLoad(now, load.Worker, peers.Load{Slots: int(load.InFlight + 0.5), Waiting: load.NotStarted}, load.Saturated)
	}
	l.node.Flush(now, l.send)
}

// send sends a datagram to a member. The caller holds mu.
func (l *Link) send(to int, datagram []byte) {
	if l.conn != nil {
		_, _ = l.conn.WriteToUDPAddrPort(datagram, l.options.Peers[to]) // the protocol repairs losses, so errors are ignored
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

// deliverSubset passes the subset of workers to the planners if it has changed. The caller holds mu.
func (l *Link) deliverSubset() {
	l.node.TakeSubsetChange(func(subset []string, sharers int) {
		subset = slices.Clone(subset)
		for _, p := range l.options.Planners {
			p.SetSubset(subset, sharers)
		}
	})
}

// tickLoop calls Tick and handles its results at every peers.TickInterval until the context ends.
func (l *Link) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(peers.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
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

// deliverLoads passes changed loads of the other schedulers to the planners. The caller holds mu.
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
