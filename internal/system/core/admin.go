package core

import (
	"context"
	"time"

	"sedgevale/coord/membership"
	"sedgevale/internal/system/api"
	"sedgevale/internal/system/rpc"
	"sedgevale/jobs"
)

// The methods that operators' commands call.
const (
	MethodMembers = "admin.members"
	MethodQueues  = "admin.queues"
)

// MembersRequest asks who is there.
type MembersRequest struct{}

// MembersResponse tells it as one core scheduler sees it.
type MembersResponse struct {
	Address       string
	ConfigVersion int64
	ConfigFresh   bool // a quorum has confirmed it a moment ago
	Membership    membership.Membership
	Peers         []PeerInfo
	Owners        []api.Owner
}

// PeerInfo tells of another core scheduler.
type PeerInfo struct {
	Address string
	Zone    string
	HeardMS int64 // since it was last heard; -1 for never
	Leaving bool
	Member  string // its disk
	Epoch   int64  // of the membership that it knows
}

// QueuesRequest asks how the shards that a core scheduler owns stand.
type QueuesRequest struct{}

// QueuesResponse tells it.
type QueuesResponse struct {
	Shards []ShardInfo
}

// ShardInfo tells of one shard.
type ShardInfo struct {
	Shard   string
	Token   int64
	Fresh   bool
	Records int64
	InStep  int64 // replicas that take writes
	Queues  []jobs.QueueSummary
	Workers []jobs.WorkerSummary
	Waiting []jobs.Withheld // units that wait beside room for them
}

func (c *Core) handleAdmin(server *rpc.Server) {
	rpc.Handle(server, MethodMembers, func(context.Context, *MembersRequest) (*MembersResponse, error) {
		return c.members(), nil
	})
	rpc.Handle(server, MethodQueues, func(context.Context, *QueuesRequest) (*QueuesResponse, error) {
		return &QueuesResponse{Shards: c.shardInfos()}, nil
	})
}

func (c *Core) members() *MembersResponse {
	answer := &MembersResponse{Address: c.address, ConfigFresh: c.configFresh(), Membership: c.store.currentMembership()}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.config != nil {
		answer.ConfigVersion = c.config.record.Version
	}
	answer.Owners = c.knownOwners()
	for address, p := range c.peers {
		if address == c.address {
			continue
		}
		info := PeerInfo{Address: address, Zone: p.status.Zone, HeardMS: -1, Leaving: p.status.Draining, Member: p.status.Member, Epoch: p.status.Membership.Epoch}
		if !p.lastHeartbeat.IsZero() {
			info.HeardMS = time.Since(p.lastHeartbeat).Milliseconds()
		}
		answer.Peers = append(answer.Peers, info)
	}
	return answer
}

// shardInfos tells how the shards stand that this scheduler owns.
func (c *Core) shardInfos() []ShardInfo {
	c.mu.Lock()
	owners := make([]*owner, 0, len(c.owners))
	for _, o := range c.owners {
		owners = append(owners, o)
	}
	c.mu.Unlock()
	var infos []ShardInfo
	for _, o := range owners {
		if o.active() {
			infos = append(infos, o.info())
		}
	}
	return infos
}

func (o *owner) info() ShardInfo {
	o.mu.Lock()
	defer o.mu.Unlock()
	info := ShardInfo{Shard: o.name, Token: o.token, Fresh: o.leaseValidLocked(), Records: int64(o.primary.Set.Len())}
	for i := range o.replicators {
		if o.primary.InStep(i) {
			info.InStep++
		}
	}
	info.Queues, info.Workers = o.scheduler.Summary()
	info.Waiting = o.scheduler.Withheld(o.monotonicNow(), unschedulableReportDelay)
	return info
}
