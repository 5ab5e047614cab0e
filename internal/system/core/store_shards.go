package core

import (
	"context"

	"sedgevale/coord/shard"
	"sedgevale/internal/system/result"
)

// replica returns the replica of a shard, a new one where there is none. On a disk that has held its seat from the start, or
// has restored a quorum's state, a new one votes at once: there is nothing that it may have lost. s.mu is held.
func (s *store) replica(name string) *shard.Replica {
	r := s.replicas[name]
	if r == nil {
		r = shard.NewReplica(s.identity.Restored)
		s.replicas[name] = r
	}
	return r
}

// seal handles a sealRequest. Its error has the code result.Fenced where a higher fencing token is known.
func (s *store) seal(ctx context.Context, r *sealRequest) (*sealResponse, error) {
	answer := &sealResponse{}
	err := s.commitChange(ctx, s.admitSeated, r.To, func(from origin) (*entry, error) {
		replica := s.replica(r.Shard)
		if !replica.Fence(r.Token) {
			return nil, result.Errorf(result.Fenced, "shard %s: token %d is known, %d came", r.Shard, replica.FencingToken, r.Token)
		}
		*answer = sealResponse{From: from, Voter: replica.Voter, InSync: replica.InSyncToken, Digests: replica.Records.Digests()}
		return &entry{Kind: entrySeal, Name: r.Shard, Token: r.Token}, nil
	})
	if err != nil {
		return nil, err
	}
	return answer, nil
}

// fetch returns the records of key ranges.
func (s *store) fetch(_ context.Context, r *fetchRequest) (*fetchResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from, _, err := s.admit(r.To)
	if err != nil {
		return nil, err
	}
	answer := &fetchResponse{From: from}
	set := shard.NewRecordSet()
	if replica := s.replicas[r.Shard]; replica != nil {
		set = replica.Records
	}
	for _, bucket := range r.Buckets {
		if bucket < 0 || bucket >= shard.Buckets {
			return nil, result.Errorf(result.BadRequest, "shard %s: there is no key range %d", r.Shard, bucket)
		}
		answer.Ranges = append(answer.Ranges, shard.Range{Bucket: bucket, Records: set.InBucket(int(bucket))})
	}
	return answer, nil
}

// servePrefetch returns the key ranges of a shard in which this replica differs from the sender's.
func (s *store) servePrefetch(_ context.Context, r *prefetchRequest) (*prefetchResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	replica := s.replicas[r.Shard]
	if replica == nil {
		return &prefetchResponse{}, nil
	}
	return &prefetchResponse{Ranges: shard.DifferingRanges(replica.Records, r.Digests)}, nil
}

// storePrefetched stores key ranges ahead of a repair, as long as this disk holds no seat.
func (s *store) storePrefetched(ctx context.Context, name string, ranges []shard.Range) error {
	s.mu.Lock()
	if _, seated := s.membership.Member(s.identity.ID); seated || len(ranges) == 0 {
		s.mu.Unlock()
		return nil
	}
	s.replica(name).ReplaceRanges(ranges)
	ticket, err := s.append(&entry{Kind: entryPrefetch, Name: name, Ranges: ranges})
	s.mu.Unlock()
	return waitDurable(ctx, ticket, err)
}

// digests returns the digests of the key ranges of this replica of a shard.
func (s *store) digests(name string) []int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	replica := s.replicas[name]
	if replica == nil {
		return shard.NewRecordSet().Digests()
	}
	return replica.Records.Digests()
}

// repair handles a repairRequest. Its error has the code result.Fenced where a higher fencing token or a later repair is
// known.
func (s *store) repair(ctx context.Context, r *repairRequest) (*ackResponse, error) {
	answer := &ackResponse{}
	err := s.commitChange(ctx, s.admitSeated, r.To, func(from origin) (*entry, error) {
		answer.From = from
		if !s.replica(r.Shard).Repair(r.Token, r.Number, r.Ranges, r.Last) {
			return nil, result.Errorf(result.Fenced, "shard %s: a token above %d or a later repair is known", r.Shard, r.Token)
		}
		return &entry{Kind: entryRepair, Name: r.Shard, Token: r.Token, Number: r.Number, Ranges: r.Ranges, Flag: r.Last}, nil
	})
	return answer, err
}

// write handles a writeRequest. Its error has the code result.Fenced where a higher fencing token is known, and
// result.NotRecovered where the replica has to be repaired first.
func (s *store) write(ctx context.Context, r *writeRequest) (*ackResponse, error) {
	answer := &ackResponse{}
	err := s.commitChange(ctx, s.admitSeated, r.To, func(from origin) (*entry, error) {
		answer.From = from
		replica := s.replica(r.Shard)
		written := replica.Write(r.Token, r.Records)
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
	return answer, err
}
