package core

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"sedgevale/coord/membership"
	"sedgevale/coord/register"
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
	proposer string // names this life of the disk in ballots
	seeds    func() []string
	timing   workeragent.Timing
	started  time.Time

	mu                sync.Mutex
	peers             map[string]*peerState
	learned           map[string]chosenValue // registers as far as they are known to be chosen
	config            *configState
	previousConfigs   []configRecord // the configurations before it, the oldest first
	owners            map[string]*owner
	changed           chan struct{} // closed when what watchers are told changes
	ballotCounter     int64         // the highest ballot counter that was met
	draining          bool
	readsInFlight     map[string]bool
	takeoverNotBefore map[string]time.Time // when an attempt may be made again

	drainingSince time.Time // when this scheduler was told to end
}

// chosenValue is a register's value that a majority has accepted.
type chosenValue struct {
	ballot register.Ballot
	value  []byte
}

// Run serves until the context ends.
func Run(ctx context.Context, process *node.Process) error {
	s := process.Settings
	first := membership.First(seatsFor(s.FaultTolerance, len(s.Seeds)), s.SeedAddresses())
	store, err := openStore(s.DataDir, s.InternalAddress(), first, s.Bootstrap)
	if err != nil {
		return err
	}
	defer store.log.Close()
	c := &Core{
		settings: s, logger: process.Logger, client: process.Client, store: store, address: s.InternalAddress(),
		timing: node.Timing(s), started: time.Now(),
		peers: map[string]*peerState{}, learned: map[string]chosenValue{}, owners: map[string]*owner{},
		changed: make(chan struct{}), readsInFlight: map[string]bool{}, takeoverNotBefore: map[string]time.Time{},
		proposer: store.proposer(), ballotCounter: store.highestBallot(),
		seeds: func() []string { return process.Current().SeedAddresses() },
	}
	server := rpc.NewServer()
	c.handleRegisters(server)
	c.handleShards(server)
	c.handlePeers(server)
	c.handleMembership(server)
	c.handleWatch(server)
	c.handleJobs(server)
	c.handleAdmin(server)
	process.Measure(collector{c})
	if err := process.Listen(c.address, server.Handler()); err != nil {
		return err
	}
	operators, err := process.ListenServer(s.BindAddrs.ControlPlane, &http.Server{Handler: c.operatorHandler()})
	if err != nil {
		return err
	}
	running, stop := context.WithCancel(context.Background())
	defer stop()
	go c.pingLoop(running)
	go c.ownershipLoop(running)
	go c.joinLoop(running)
	go c.followMembership(running)
	<-ctx.Done()
	c.closeOwners()
	if context.Cause(ctx) != node.ErrKilled {
		c.drain()
		c.shutdownOperatorServer(operators)
	}
	return nil
}

// followMembership has what depends on the membership look at a newer one at once.
func (c *Core) followMembership(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.store.membershipChanged:
		}
		m := c.store.currentMembership()
		c.logger.Info("membership updated", "epoch", m.Epoch, "seats", m.Seats)
		c.mu.Lock()
		owners := slices.Collect(maps.Values(c.owners))
		c.mu.Unlock()
		for _, o := range owners {
			o.wakeReplicators()
		}
	}
}

// currentSeeds returns the addresses of the seeds as the settings name them by now.
func (c *Core) currentSeeds() []string { return c.seeds() }

// seatsFor returns how many seats bear the losses that a deployment names. Where a zone or a region may go, three are the
// least; that they stand in different ones is up to the seeds. The seeds of the first start are all that vote then, so
// that there are no more seats than they make a quorum of.
func seatsFor(t settings.FaultTolerance, seeds int) int {
	lost := t.Machines
	if t.Zones > 0 || t.Regions > 0 {
		lost = max(lost, 1)
	}
	return min(2*lost+1, 2*seeds-1)
}

// notifyWatchers wakes those who wait for a change of what watchers are told. The lock is held.
func (c *Core) notifyWatchers() {
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
