package core

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strconv"
	"sync"

	"sedgevale/coord/membership"
	"sedgevale/coord/register"
	"sedgevale/coord/shard"
	"sedgevale/internal/avrocodec"
	"sedgevale/internal/system/result"
	"sedgevale/internal/system/statefile"
)

// identity identifies the disk. It is durable before the disk is used. It is part of an Avro record: the order and the types
// of the fields must not change.
type identity struct {
	ID          string
	Address     string // address of the machine that the disk belongs to
	Incarnation int64  // number of times the disk was opened; part of the proposer ID in ballots
	JoinEpoch   int64  // epoch in which the disk acquired its current or last seat
	Restored    bool   // set once the disk has restored the state of a quorum of voters in that seat
}

// The kinds of entries, with the fields that each uses. The numbers are stored and must not be reused.
const (
	entryIdentity   = iota + 1 // uses Identity
	entryMembership            // uses Membership
	entryPromise               // uses Name, Promised
	entryAccept                // uses Name, Ballot, Value
	entryRegister              // holds a complete acceptor in Name, Promised, Ballot, Value
	entryFence                 // uses Name, Token
	entryWrite                 // uses Name, Token, Records
	entryRepair                // uses Name, Token, RepairNumber, Ranges; Flag marks the last request of a repair
	entryReplica               // holds a complete replica in Name, Token, InSyncToken, RepairNumber, Records; Flag marks a voter
	entryPrefetch              // uses Name, Ranges
	entryLearnToken            // uses Name, Token
)

// entry is one record of the log and of snapshots and describes a change of the store. It is encoded as an Avro record: the
// order and the types of the fields must not change.
type entry struct {
	Kind         int
	Name         string // name of a register or a shard
	Identity     identity
	Membership   membership.Membership
	Ballot       register.Ballot // ballot under which Value was accepted
	Promised     register.Ballot
	Value        []byte
	Token        int64 // fencing token of an owner
	RepairNumber int64 // counts the owner's repairs of this replica
	InSyncToken  int64 // fencing token of the last owner that the replica was in sync with; 0 if none
	Flag         bool
	Records      []shard.Record
	Ranges       []shard.BucketContent
}

// store is the durable state of a core scheduler: the membership, the acceptors of the registers and the replicas of the
// shards. Each change is durable in the log before it is acknowledged.
type store struct {
	address           string
	membershipChanged signal // notified when a newer membership was installed

	// mu guards the fields below. It is acquired with no other lock held. It is held while an entry is queued in the log, so
	// that the log has the entries in the order of the changes, but never during a disk write.
	mu         sync.Mutex
	log        *statefile.Log
	lastTicket *statefile.AppendFuture // ticket of the newest entry; nil before the first
	identity   identity
	membership membership.Membership
	registers  map[string]*register.Acceptor // keyed by name
	replicas   map[string]*shard.Replica     // keyed by shard
}

// openStore opens the disk of the machine with the given address. If bootstrap is set, the disks of all machines are new and
// the first membership is installed on an empty disk. If the disk belongs to another machine, the error has the code
// result.WrongDisk.
func openStore(dir, address string, first membership.Membership, bootstrap bool) (*store, error) {
	s := newStore(address)
	log, err := statefile.Open(dir, s.replay, s.snapshotFunc(first, bootstrap))
	if err != nil {
		return nil, err
	}
	s.log = log
	return s, nil
}

func newStore(address string) *store {
	return &store{
		address: address, membershipChanged: newSignal(),
		registers: map[string]*register.Acceptor{}, replicas: map[string]*shard.Replica{},
	}
}

// snapshotFunc returns the function that writes snapshots. Its first call, which precedes the first append, assigns an
// identity to a new disk and increments the incarnation.
func (s *store) snapshotFunc(first membership.Membership, bootstrap bool) func(func([]byte) error) error {
	initialized := false
	return func(emit func([]byte) error) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !initialized {
			if err := s.initIdentity(first, bootstrap); err != nil {
				return err
			}
			initialized = true
		}
		return s.snapshot(emit)
	}
}

// initIdentity assigns an identity to a new disk and increments the incarnation. s.mu is held.
func (s *store) initIdentity(first membership.Membership, bootstrap bool) error {
	if s.identity.ID == "" {
		s.identity = identity{ID: newID(), Address: s.address}
		if bootstrap {
			s.bootstrapMembership(first)
		}
	}
	if s.identity.Address != s.address {
		return result.Errorf(result.WrongDisk, "the disk is that of %s, this machine is %s", s.identity.Address, s.address)
	}
	s.identity.Incarnation++
	return nil
}

// bootstrapMembership installs the first membership on an empty disk. s.mu is held.
func (s *store) bootstrapMembership(first membership.Membership) {
	s.membership = first.Clone()
	if seat := first.SeatByAddress(s.address); seat >= 0 {
		member := first.Seats[seat]
		s.identity.ID, s.identity.JoinEpoch, s.identity.Restored = member.ID, member.JoinEpoch, true
	}
}

// newID returns a unique ID of 64 random bits in hexadecimal.
func newID() string {
	var random [8]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// proposer returns the proposer ID for the ballots of this incarnation. It is unique among all incarnations of all disks.
func (s *store) proposer() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.identity.ID + "#" + strconv.FormatInt(s.identity.Incarnation, 10)
}

// highestBallot returns the highest ballot counter that this disk has promised or accepted.
func (s *store) highestBallot() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	highest := int64(0)
	for _, a := range s.registers {
		highest = max(highest, a.Promised.Counter, a.Accepted.Counter)
	}
	return highest
}

// replay applies an entry of the log or of a snapshot.
func (s *store) replay(payload []byte) error {
	e := &entry{}
	if err := avrocodec.Decode(payload, e); err != nil {
		return err
	}
	return s.apply(e)
}

// apply applies a replayed entry to the state.
func (s *store) apply(e *entry) error {
	switch e.Kind {
	case entryIdentity:
		s.identity = e.Identity
	case entryMembership:
		s.applyMembership(e.Membership)
	case entryPromise:
		s.acceptor(e.Name).Promised = e.Promised
	case entryAccept:
		s.acceptor(e.Name).Accept(e.Ballot, e.Value)
	case entryRegister:
		s.registers[e.Name] = &register.Acceptor{Promised: e.Promised, Accepted: e.Ballot, Value: e.Value}
	case entryFence:
		s.replica(e.Name).Fence(e.Token)
	case entryWrite:
		s.replica(e.Name).Write(e.Token, e.Records)
	case entryRepair:
		s.replica(e.Name).Repair(e.Token, e.RepairNumber, e.Ranges, e.Flag)
	case entryPrefetch:
		s.replica(e.Name).ReplaceBuckets(e.Ranges)
	case entryLearnToken:
		s.replica(e.Name).LearnToken(e.Token)
	case entryReplica:
		s.replicas[e.Name] = replicaOf(e, s.identity.Restored)
	default:
		return fmt.Errorf("core: unknown kind %d of a log entry", e.Kind)
	}
	return nil
}

// replicaOf returns the replica that a snapshot's entry holds. restored is the Restored field of the disk's identity.
func replicaOf(e *entry, restored bool) *shard.Replica {
	replica := shard.NewReplica(restored)
	replica.Voter = e.Flag
	replica.FencingToken = e.Token
	replica.InSyncToken = e.InSyncToken
	replica.LastRepair = e.RepairNumber
	for _, record := range e.Records {
		replica.Records.Apply(record)
	}
	return replica
}

// snapshot emits entries that hold the complete state. s.mu is held.
func (s *store) snapshot(emit func([]byte) error) error {
	entries := []*entry{{Kind: entryMembership, Membership: s.membership}, {Kind: entryIdentity, Identity: s.identity}}
	for name := range s.registers {
		entries = append(entries, s.registerEntry(name))
	}
	for name := range s.replicas {
		entries = append(entries, s.replicaEntry(name))
	}
	for _, e := range entries {
		payload, err := avrocodec.Encode(e)
		if err != nil {
			return err
		}
		if err := emit(payload); err != nil {
			return err
		}
	}
	return nil
}

// registerEntry returns the entry that holds the complete acceptor of a register. s.mu is held.
func (s *store) registerEntry(name string) *entry {
	a := s.registers[name]
	return &entry{Kind: entryRegister, Name: name, Promised: a.Promised, Ballot: a.Accepted, Value: a.Value}
}

// replicaEntry returns the entry that holds the complete replica of a shard. s.mu is held.
func (s *store) replicaEntry(name string) *entry {
	r := s.replicas[name]
	return &entry{
		Kind: entryReplica, Name: name, Token: r.FencingToken, InSyncToken: r.InSyncToken, RepairNumber: r.LastRepair, Flag: r.Voter, Records: r.Records.All(),
	}
}

// append queues the entry of an applied change in the log. s.mu is held.
func (s *store) append(e *entry) (*statefile.AppendFuture, error) {
	payload, err := avrocodec.Encode(e)
	if err != nil {
		return nil, fmt.Errorf("core: %w", err)
	}
	s.lastTicket = s.log.Append(payload)
	return s.lastTicket, nil
}

// waitDurable waits until an entry is durable. Its error has the code result.StorageFailed.
func waitDurable(ctx context.Context, ticket *statefile.AppendFuture, err error) error {
	if err != nil {
		return err
	}
	select {
	case <-ticket.Done():
		if ticket.Err() != nil {
			return result.Errorf(result.StorageFailed, "%w", ticket.Err())
		}
		return nil
	case <-ctx.Done():
		return result.Errorf(result.StorageFailed, "the disk did not answer in time")
	}
}

// waitAllDurable waits until all changes applied so far are durable, so that a response never depends on a change that a
// power loss could undo. Its error has the code result.StorageFailed.
func (s *store) waitAllDurable(ctx context.Context) error {
	s.mu.Lock()
	last := s.lastTicket
	s.mu.Unlock()
	if last == nil {
		return nil
	}
	return waitDurable(ctx, last, nil)
}
