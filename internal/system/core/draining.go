package core

import (
	"context"
	"net/http"
	"time"

	"sedgevale/internal/system/core/controlplane"
)

const (
	maxDrainDuration  = 2500 * time.Millisecond // nor longer than half of the grace period
	drainPollInterval = 40 * time.Millisecond
	finalPingTimeout  = 300 * time.Millisecond
	shutdownMargin    = 100 * time.Millisecond // beyond the time-out of an operator's request
	drainNoticeDelay  = 10 * time.Millisecond  // a ping sent so long after the decision to drain carries it
)

// closeOwners begins to drain: it ends the ownership of all shards, for good.
func (c *Core) closeOwners() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	c.drainingSince = time.Now()
	for _, o := range c.owners {
		o.close()
	}
}

// drain announces to the peers that this scheduler shuts down, and goes on as a replica until nothing depends on its disk: another
// machine holds its seat, where there is one for that, and all members that stay hold what was committed. It takes at most
// half of the grace period, so that the process ends within it.
func (c *Core) drain(ctx context.Context) {
	grace := time.Duration(c.settings.Bounds.GraceS * float64(time.Second))
	deadline := time.Now().Add(min(maxDrainDuration, grace/2))
	for first := true; first || time.Now().Before(deadline) && !c.safeToStop(); first = false {
		round, cancel := context.WithTimeout(ctx, finalPingTimeout)
		c.pingAll(round)
		cancel()
		sleep(ctx, drainPollInterval)
	}
}

// shutdownOperatorServer takes no more operators' requests and waits for those in flight to be answered.
func (c *Core) shutdownOperatorServer(ctx context.Context, operators *http.Server) {
	ctx, cancel := context.WithTimeout(ctx, controlplane.ChangeTimeout+shutdownMargin)
	defer cancel()
	if err := operators.Shutdown(ctx); err != nil {
		c.logger.Info("operator requests aborted at shutdown", "error", err.Error())
	}
}

// safeToStop reports whether the system no longer depends on this disk.
func (c *Core) safeToStop() bool {
	m := c.store.currentMembership()
	_, _, seated := c.store.self()
	state := c.currentConfig()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.aliveAddresses()) == 0 {
		return true // there is no peer to wait for
	}
	staying := 0 // members that are alive and do not drain
	for _, member := range m.Members() {
		if member.Address != c.address && c.peer(member.Address).alive() {
			staying++
		}
	}
	if seated && len(c.aliveAddresses()) > staying {
		return false // a machine without a seat is alive and will take this one
	}
	if state == nil {
		return true
	}
	for _, service := range state.config.Services {
		if c.inSyncReplicas(service.Name) < int64(max(staying, m.Quorum())) {
			return false
		}
	}
	return true
}

// inSyncReplicas returns how many members that stay hold all that was committed of a shard, as its owner said in a ping
// that it sent after it had learned that this scheduler drains. c.mu is held.
func (c *Core) inSyncReplicas(shard string) int64 {
	newest := ownershipClaim{}
	for address, claim := range c.freshClaims() {
		afterNotice := !c.peers[address].lastHeartbeat.Before(c.drainingSince.Add(drainNoticeDelay))
		if afterNotice && claim.Shard == shard && claim.Token > newest.Token {
			newest = claim
		}
	}
	return newest.InSync
}
