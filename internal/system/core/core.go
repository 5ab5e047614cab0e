package core

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"sedgevale/coord/membership"
	"sedgevale/coord/register"
	"sedgevale/internal/system/core/controlplane"
	"sedgevale/internal/system/node"
	"sedgevale/internal/system/rpc"
	"sedgevale/internal/system/settings"
	"sedgevale/internal/taskgroup"
	"sedgevale/workeragent"
)

const logCloseTimeout = 500 * time.Millisecond

// Core is a scheduler on a core machine.
type Core struct {
	settings *settings.Settings
	logger   logr.Logger
	client   *rpc.Client
	store    *store
	address  string
	proposer string          // names this incarnation of the disk in ballots
	seeds    func() []string // the addresses of the seeds as the settings name them by now
	timing   workeragent.Timing
	started  time.Time

	goroutines *taskgroup.Group // all that this scheduler starts

	// mu guards the fields below and all of each peerState. It is taken before owner.mu and never held over a call.
	mu                sync.Mutex
	peers             map[string]*peerState  // by address
	learned           map[string]chosenValue // by register, as far as values are known to be chosen; ballots only rise
	config            *configState           // nil before the first configuration
	previousConfigs   []configRecord         // those before config, the oldest first; at most maxPreviousConfigs
	owners            map[string]*owner      // by shard
	changed           chan struct{}          // closed and made anew when what watchers are sent changes
	ballotCounter     int64                  // the highest ballot counter that was met; never falls
	readsInFlight     map[string]bool        // by register
	takeoverNotBefore map[string]time.Time   // by shard, when another attempt may be made
	draining          bool                   // never reset
	drainingSince     time.Time
}

// chosenValue is a register's value that a majority has accepted.
type chosenValue struct {
	ballot register.Ballot
	value  []byte
}

// Run is the role of a core machine: it serves until the context ends, and then drains, unless the cause of the end is
// node.ErrKilled. It returns an error where the disk cannot be opened or an address cannot be listened on.
func Run(ctx context.Context, process *node.Process) error {
	s := process.Settings
	first := membership.Bootstrap(seatsFor(s.FaultTolerance, len(s.Seeds)), s.SeedAddresses())
	store, err := openStore(s.DataDir, s.InternalAddress(), first, s.Bootstrap)
	if err != nil {
		return err
	}
	running, stop := context.WithCancel(context.WithoutCancel(ctx)) // the loops go on while this scheduler drains
	defer stop()
	c := newCore(running, process, store)
	defer c.closeLog(running)
	defer c.goroutines.Shutdown()
	process.RegisterMetrics(collector{c})
	if err := process.Listen(ctx, c.address, c.internalHandler()); err != nil {
		return err
	}
	operators, err := process.ListenServer(ctx, s.BindAddrs.ControlPlane, &http.Server{Handler: controlplane.Handler(c, c.logger)})
	if err != nil {
		return err
	}
	for _, loop := range []func(context.Context){c.pingLoop, c.ownershipLoop, c.joinLoop, c.followMembership} {
		c.goroutines.Go(loop)
	}
	<-ctx.Done()
	c.closeOwners()
	if !errors.Is(context.Cause(ctx), node.ErrKilled) {
		c.drain(running)
		c.shutdownOperatorServer(running, operators)
	}
	return nil
}

// newCore returns a scheduler whose goroutines end with the context.
func newCore(ctx context.Context, process *node.Process, store *store) *Core {
	s := process.Settings
	return &Core{
		settings: s, logger: process.Logger, client: process.Client, store: store, address: s.InternalAddress(),
		timing: node.LeaseTiming(s), started: time.Now(), goroutines: taskgroup.New(ctx),
		peers: map[string]*peerState{}, learned: map[string]chosenValue{}, owners: map[string]*owner{},
		changed: make(chan struct{}), readsInFlight: map[string]bool{}, takeoverNotBefore: map[string]time.Time{},
		proposer: store.proposer(), ballotCounter: store.highestBallot(),
		seeds: func() []string { return process.CurrentSettings().SeedAddresses() },
	}
}

// closeLog closes the disk's log. A disk that does not answer holds the end of the process up for logCloseTimeout at most;
// what was acknowledged is durable before.
func (c *Core) closeLog(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, logCloseTimeout)
	defer cancel()
	if err := c.store.log.Close(ctx); err != nil {
		c.logger.Info("log not closed", "error", err.Error())
	}
}

// internalHandler serves the internal protocol.
func (c *Core) internalHandler() http.Handler {
	server := rpc.NewServer()
	c.handleRegisters(server)
	c.handleShards(server)
	c.handlePeers(server)
	c.handleMembership(server)
	c.handleWatch(server)
	c.handleJobs(server)
	c.handleAdmin(server)
	return server.Handler()
}

// followMembership has the replicators of all owned shards look at a newer membership at once.
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

// seatsFor returns how many seats tolerate the failures that a deployment names. Where a zone or a region may fail, there
// are at least three; that they are in different ones is up to the seeds. Only the seeds of the first start vote at
// first, so there are no more seats than they are a quorum of.
func seatsFor(t settings.FaultTolerance, seeds int) int {
	failures := t.Machines
	if t.Zones > 0 || t.Regions > 0 {
		failures = max(failures, 1)
	}
	return min(2*failures+1, 2*seeds-1)
}

// notifyWatchers wakes those who wait for a change of what watchers are sent. c.mu is held.
func (c *Core) notifyWatchers() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// coreAddresses returns the addresses of all known core schedulers, sorted, this one's included. c.mu is held.
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
