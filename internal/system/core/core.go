package core

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"sedgevale/coord/register"
	"sedgevale/coord/view"
	"sedgevale/internal/system/node"
	"sedgevale/internal/system/rpc"
	"sedgevale/internal/system/settings"
	"sedgevale/workeragent"
)

// Core is a scheduler on a core machine.
type Core struct {
	settings *settings.Settings
	logger   logr.Logger
	client   *rpc.Client
	store    *store
	address  string
	timing   workeragent.Timing
	started  time.Time

	mu       sync.Mutex
	peers    map[string]*peerState
	learned  map[string]chosen // registers as far as they are known to be chosen
	config   *configState
	past     []configRecord // the configurations before it, the oldest first
	owners   map[string]*owner
	changed  chan struct{} // closed when what watchers are told changes
	counter  int64         // the highest ballot counter that was met
	leaving  bool
	reading  map[string]bool
	takeover map[string]time.Time // when an attempt may be made again
}

// chosen is a register's value that a majority has accepted.
type chosen struct {
	ballot register.Ballot
	value  []byte
}

// Run serves until the context ends.
func Run(ctx context.Context, process *node.Process) error {
	s := process.Settings
	first := view.New(slotsFor(s.FaultTolerance), s.SeedAddresses())
	store, err := openStore(s.DataDir, s.InternalAddress(), first, s.Bootstrap)
	if err != nil {
		return err
	}
	c := &Core{
		settings: s, logger: process.Logger, client: process.Client, store: store, address: s.InternalAddress(),
		timing: node.Timing(s), started: time.Now(),
		peers: map[string]*peerState{}, learned: map[string]chosen{}, owners: map[string]*owner{},
		changed: make(chan struct{}), reading: map[string]bool{}, takeover: map[string]time.Time{},
	}
	for _, seed := range s.SeedAddresses() {
		c.peer(seed)
	}
	server := rpc.NewServer()
	c.handleRegisters(server)
	c.handleShards(server)
	c.handlePeers(server)
	c.handleWatch(server)
	c.handleJobs(server)
	c.handleAdmin(server)
	process.Measure(collector{c})
	if err := process.Listen(c.address, server.Handler()); err != nil {
		return err
	}
	if err := process.Listen(s.BindAddrs.ControlPlane, c.operatorHandler()); err != nil {
		return err
	}
	go c.pingLoop(ctx)
	go c.ownLoop(ctx)
	go c.joinLoop(ctx)
	<-ctx.Done()
	c.leave()
	c.store.log.Close()
	return nil
}

// slotsFor returns how many replica slots bear the losses that a deployment names. Where a zone or a region may go,
// three are the least; that they stand in different ones is up to the seeds.
func slotsFor(t settings.FaultTolerance) int {
	lost := t.Machines
	if t.Zones > 0 || t.Regions > 0 {
		lost = max(lost, 1)
	}
	return 2*lost + 1
}

// leave tells the others that this process ends, so that they need not find out.
func (c *Core) leave() {
	c.mu.Lock()
	c.leaving = true
	for _, o := range c.owners {
		o.close()
	}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	c.pingAll(ctx)
}

// notify wakes those who wait for a change of what watchers are told. The lock is held.
func (c *Core) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// jitter returns a random time of up to the given one.
func jitter(most time.Duration) time.Duration { return time.Duration(rand.Int64N(int64(most) + 1)) }

// coreAddresses returns all core schedulers that are known, sorted. The lock is held.
func (c *Core) coreAddresses() []string {
	addresses := []string{c.address}
	for address, p := range c.peers {
		if address != c.address && p.known {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}
