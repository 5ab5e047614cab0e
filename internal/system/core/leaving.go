package core

import (
	"context"
	"net/http"
	"time"
)

const (
	maxDrainDuration  = 2500 * time.Millisecond
	drainPollInterval = 40 * time.Millisecond
	finalPingTimeout  = 300 * time.Millisecond
	shutdownMargin    = 100 * time.Millisecond
	drainNoticeDelay  = 10 * time.Millisecond // a ping sent so long after the decision to leave tells of it
)

// closeOwners ends what this scheduler owns, for good.
func (c *Core) closeOwners() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	c.drainingSince = time.Now()
	for _, o := range c.owners {
		o.close()
	}
}

// drain tells the others that this scheduler ends and goes on as a replica until nothing depends on its disk: another one
// holds its seat, where there is a machine for that, and all members that stay hold what was committed. It waits for
// so long at most that the process ends within its grace.
func (c *Core) drain() {
	grace := time.Duration(c.settings.Bounds.GraceS * float64(time.Second))
	until := time.Now().Add(min(maxDrainDuration, grace/2))
	for first := true; first || time.Now().Before(until) && !c.safeToStop(); first = false {
		ctx, cancel := context.WithTimeout(context.Background(), finalPingTimeout)
		c.pingAll(ctx)
		cancel()
		time.Sleep(drainPollInterval)
	}
}

// shutdownOperatorServer takes no more operators' calls and waits for those under way to be answered.
func (c *Core) shutdownOperatorServer(operators *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout+shutdownMargin)
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
		return true // there is nobody to wait for
	}
	staying := 0 // members that are there and stay
	for _, member := range m.Filled() {
		if member.Address != c.address && c.peer(member.Address).alive() {
			staying++
		}
	}
	if seated && len(c.aliveAddresses()) > staying {
		return false // a machine without a seat is there to take this one
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

// inSyncReplicas returns how many members that stay hold all that was committed of a shard, by the word of an owner that knew when
// it gave it that this scheduler leaves. The lock is held.
func (c *Core) inSyncReplicas(shard string) int64 {
	newest := ownershipClaim{}
	for address, one := range c.freshClaims() {
		told := !c.peers[address].lastHeartbeat.Before(c.drainingSince.Add(drainNoticeDelay))
		if told && one.Shard == shard && one.Token > newest.Token {
			newest = one
		}
	}
	return newest.InSync
}
