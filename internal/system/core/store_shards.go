package core

import (
	"context"

	"sedgevale/coord/shard"
	"sedgevale/internal/system/result"
)

// replica returns the replica of a shard and creates it if there is none. A new replica is a voter at once if the disk has
// held its seat since the bootstrap or has restored a quorum's state: such a disk cannot have lost a record of the shard.
// s.mu is held.
func (s *store) replica(name string) *shard.Replica {
	r := s.replicas[name]
	if r == nil {
		r = shard.NewReplica(s.identity.Restored)
		s.replicas[name] = r
	}
	return r
}

// fence handles a sealRequest. Its error has the code result.Fenced if a higher fencing token is known.
func (s *store) fence(ctx context.Context, r *sealRequest) (*sealResponse, error) {
	response := &sealResponse{}
	err := s.applyDurably(ctx, s.admitSeated, r.To, func(from origin) (*entry, error) {
		replica := s.replica(r.Shard)
		if !replica.Fence(r.Token) {
			return nil, result.Errorf(result.Fenced, "shard %s: token %d is known, %d came", r.Shard, replica.FencingToken, r.Token)
		}
		*response = sealResponse{From: from, Voter: replica.Voter, InSyncToken: replica.InSyncToken, Digests: replica.Records.Digests()}
		return &entry{Kind: entryFence, Name: r.Shard, Token: r.Token}, nil
	})
	if err != nil {
		return nil, err
	}
	return response, nil
}

// fetch returns the records of the requested buckets.
func (s *store) fetch(_ context.Context, r *fetchRequest) (*fetchResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from, _, err := s.admit(r.To)
	if err != nil {
		return nil, err
	}
	response := &fetchResponse{From: from}
	set := shard.NewRecordSet()
	if replica := s.replicas[r.Shard]; replica != nil {
		set = replica.Records
	}
	for _, bucket := range r.Buckets {
		if bucket < 0 || bucket >= shard.Buckets {
			return nil, result.Errorf(result.BadRequest, "shard %s: there is no key range %d", r.Shard, bucket)
		}
		response.Ranges = append(response.Ranges, shard.BucketContent{Bucket: bucket, Records: set.InBucket(int(bucket))})
	}
	return response, nil
}

// servePrefetch returns the buckets of a shard in which this replica differs from the sender's.
func (s *store) servePrefetch(_ context.Context, r *prefetchRequest) (*prefetchResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	replica := s.replicas[r.Shard]
	if replica == nil {
		return &prefetchResponse{}, nil
	}
	return &prefetchResponse{Ranges: shard.DifferingBucketContents(replica.Records, r.Digests)}, nil
}

// storePrefetched stores buckets ahead of a repair. It does nothing if this disk holds a seat.
func (s *store) storePrefetched(ctx context.Context, name string, ranges []shard.BucketContent) error {
	s.mu.Lock()
	if _, seated := s.membership.Member(s.identity.ID); seated || len(ranges) == 0 {
		s.mu.Unlock()
		return nil
	}
	s.replica(name).ReplaceBuckets(ranges)
	ticket, err := s.append(&entry{Kind: entryPrefetch, Name: name, Ranges: ranges})
	s.mu.Unlock()
	return waitDurable(ctx, ticket, err)
}

// digests returns the digests of the buckets of a shard on this disk.
func (s *store) digests(name string) []int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	replica := s.replicas[name]
	if replica == nil {
		return shard.NewRecordSet().Digests()
	}
	return replica.Records.Digests()
}

// repair handles a repairRequest. Its error has the code result.Fenced if a higher fencing token or a later repair is known, and
// result.NotRecovered if the owner must begin anew with the replica's current digests.
func (s *store) repair(ctx context.Context, r *repairRequest) (*ackResponse, error) {
	response := &ackResponse{}
	err := s.applyDurably(ctx, s.admitSeated, r.To, func(from origin) (*entry, error) {
		response.From = from
		if !s.replica(r.Shard).AcceptsRepair(r.Token, r.Ranges, r.Last) {
			return nil, result.Errorf(result.NotRecovered, "shard %s: the replica has changed since it sent its digests", r.Shard)
		}
		if !s.replica(r.Shard).Repair(r.Token, r.RepairNumber, r.Ranges, r.Last) {
			return nil, result.Errorf(result.Fenced, "shard %s: a token above %d or a later repair is known", r.Shard, r.Token)
		}
		return &entry{Kind: entryRepair, Name: r.Shard, Token: r.Token, RepairNumber: r.RepairNumber, Ranges: r.Ranges, Flag: r.Last}, nil
	})
	return response, err
}

// write handles a writeRequest. Its error has the code result.Fenced if a higher fencing token is known, and
// result.NotRecovered if the replica must be repaired first.
func (s *store) write(ctx context.Context, r *writeRequest) (*ackResponse, error) {
	response := &ackResponse{}
	err := s.applyDurably(ctx, s.admitSeated, r.To, func(from origin) (*entry, error) {
		response.From = from
		replica := s.replica(r.Shard)
		written := replica.AcceptsWrite(r.Token, r.Records) && replica.Write(r.Token, r.Records)
		switch {
		case !written && replica.FencingToken > r.Token:
			return nil, result.Errorf(result.Fenced, "shard %s: token %d is known, %d came", r.Shard, replica.FencingToken, r.Token)
		case !written:
			return nil, result.Errorf(result.NotRecovered, "shard %s: the replica is not in sync", r.Shard)
		case len(r.Records) == 0: // a heartbeat
			return nil, nil
		}
		return &entry{Kind: entryWrite, Name: r.Shard, Token: r.Token, Records: r.Records}, nil
	})
	return response, err
}
