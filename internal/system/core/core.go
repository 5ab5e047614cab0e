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

// Core is the scheduler process of a core machine.
type Core struct {
	settings *settings.Settings
	logger   logr.Logger
	client   *rpc.Client
	store    *store
	address  string
	proposer string          // proposer ID in ballots; unique to this incarnation of the disk
	seeds    func() []string // returns the seed addresses in the current settings
	timing   workeragent.Timing
	started  time.Time

	goroutines *taskgroup.Group // contains the goroutines of this scheduler; see the package comment

	// mu guards the fields below and all fields of each peerState. It is acquired before owner.mu and never held during a
	// call.
	mu                sync.Mutex
	peers             map[string]*peerState  // keyed by address
	learned           map[string]chosenValue // newest known chosen value, keyed by register; the ballots only increase
	config            *configState           // nil before the first configuration
	previousConfigs   []configRecord         // predecessors of config, oldest first; at most maxPreviousConfigs
	owners            map[string]*owner      // keyed by shard
	changed           chan struct{}          // closed and replaced when the content of watch responses changes
	ballotCounter     int64                  // highest ballot counter seen; never decreases
	readsInFlight     map[string]bool        // keyed by register
	takeoverNotBefore map[string]time.Time   // earliest time of the next takeover attempt, keyed by shard
	draining          bool                   // set when the drain begins; never reset
	drainingSince     time.Time
}

// chosenValue is a register's value that a majority has accepted.
type chosenValue struct {
	ballot register.Ballot
	value  []byte
}

// Run runs the core scheduler until the context is canceled, and then drains it unless the cause of the cancellation is
// node.ErrKilled. It returns an error if it cannot open the disk or listen on an address.
func Run(ctx context.Context, process *node.Process) error {
	s := process.Settings
	first := membership.Bootstrap(seatCount(s.FaultTolerance, len(s.Seeds)), s.SeedAddresses())
	store, err := openStore(s.DataDir, s.InternalAddress(), first, s.Bootstrap)
	if err != nil {
		return err
	}
	running, stop := context.WithCancel(context.WithoutCancel(ctx)) // keeps the loops running during the drain
	defer stop()
	c := newCore(running, process, store)
	defer c.closeLog(running)
	defer c.goroutines.Shutdown()
	process.RegisterMetrics(collector{c})
	if err := process.ListenInternal(ctx, c.internalHandler()); err != nil {
		return err
	}
	operators, err := process.ListenServer(ctx, s.BindAddrs.ControlPlane, &http.Server{Handler: controlplane.Handler(c, c.logger)})
	if err != nil {
		return err
	}
	for _, loop := range []func(context.Context){c.pingLoop, c.ownershipLoop, c.joinLoop, c.followMembership, c.forgetFormerRoutesLoop} {
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

// newCore returns a scheduler whose goroutines end when the context is canceled.
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

// closeLog closes the store's log. A disk that does not respond delays the exit of the process by at most logCloseTimeout.
// No acknowledged change is lost then, since each is durable before it is acknowledged.
func (c *Core) closeLog(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, logCloseTimeout)
	defer cancel()
	if err := c.store.log.Close(ctx); err != nil {
		c.logger.Info("closing the state log failed; exiting anyway", "error", err.Error())
	}
}

// internalHandler returns the handler of the internal protocol.
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

// followMembership wakes the replicators of all owned shards when a newer membership is installed.
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

// seatCount returns the number of seats of which a majority survives the failures given in the settings. To tolerate the
// failure of a zone or a region takes at least three seats; whether they are in different zones or regions depends on the
// choice of the seeds. Initially only the seeds vote, so there are at most 2*seeds-1 seats, of which they are a majority.
func seatCount(t settings.FaultTolerance, seeds int) int {
	failures := t.Machines
	if t.Zones > 0 || t.Regions > 0 {
		failures = max(failures, 1)
	}
	return min(2*failures+1, 2*seeds-1)
}

// notifyWatchers wakes the watch calls in progress to re-evaluate their response. c.mu is held.
func (c *Core) notifyWatchers() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// coreAddresses returns the sorted addresses of all known core schedulers, including this one. c.mu is held.
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
