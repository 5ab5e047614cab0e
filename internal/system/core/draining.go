package core

import (
	"context"
	"net/http"
	"time"

	"sedgevale/internal/system/core/controlplane"
)

const (
	maxDrainDuration  = 2500 * time.Millisecond // upper limit; half of the grace period if that is shorter
	drainPollInterval = 40 * time.Millisecond
	drainPingTimeout  = 300 * time.Millisecond // limit on each round of pings during the drain
	shutdownMargin    = 100 * time.Millisecond // added to controlplane.ChangeTimeout in the wait for operators' requests
	drainNoticeDelay  = 10 * time.Millisecond  // every ping sent later than this after the start of the drain announces it
)

// closeOwners starts the drain: it permanently ends the ownership of all shards.
func (c *Core) closeOwners() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	c.drainingSince = time.Now()
	for _, o := range c.owners {
		o.close()
	}
}

// drain announces the shutdown to the peers and continues to serve as a replica until the cluster no longer depends on this
// disk: another machine holds its seat, if one is available, and all remaining members hold all committed changes. It takes
// at most half of the grace period, so that the process exits before the grace period ends.
func (c *Core) drain(ctx context.Context) {
	grace := time.Duration(c.settings.Bounds.GraceS * float64(time.Second))
	deadline := time.Now().Add(min(maxDrainDuration, grace/2))
	for first := true; first || time.Now().Before(deadline) && !c.safeToStop(); first = false {
		round, cancel := context.WithTimeout(ctx, drainPingTimeout)
		c.pingAll(round)
		cancel()
		sleep(ctx, drainPollInterval)
	}
}

// shutdownOperatorServer stops accepting operators' requests and waits until those in flight are answered.
func (c *Core) shutdownOperatorServer(ctx context.Context, operators *http.Server) {
	ctx, cancel := context.WithTimeout(ctx, controlplane.ChangeTimeout+shutdownMargin)
	defer cancel()
	if err := operators.Shutdown(ctx); err != nil {
		c.logger.Info("waiting for operator requests failed; aborting them and exiting", "error", err.Error())
	}
}

// safeToStop reports whether the cluster no longer depends on this disk.
func (c *Core) safeToStop() bool {
	m := c.store.currentMembership()
	_, _, seated := c.store.self()
	state := c.currentConfig()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.aliveAddresses()) == 0 {
		return true // no peer is alive that could take over
	}
	staying := 0 // number of other members that are alive and not draining
	for _, member := range m.Members() {
		if member.Address != c.address && c.peer(member.Address).alive() {
			staying++
		}
	}
	if seated && len(c.aliveAddresses()) > staying {
		return false // a core scheduler without a seat is alive and will replace this one
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

// inSyncReplicas returns how many of the remaining members hold all committed changes of a shard. It uses the owner's claim
// only from a ping sent after the owner had learned of the drain: an earlier claim still counts this replica. c.mu is held.
func (c *Core) inSyncReplicas(shard string) int64 {
	newest := ownershipClaim{}
	for address, claim := range c.validClaims() {
		afterNotice := !c.peers[address].lastHeartbeat.Before(c.drainingSince.Add(drainNoticeDelay))
		if afterNotice && claim.Shard == shard && claim.Token > newest.Token {
			newest = claim
		}
	}
	return newest.InSync
}
