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

// identity identifies the disk. It is written before the disk is used. It is part of an Avro record: fields are not moved.
type identity struct {
	ID          string
	Address     string // of the machine that the disk belongs to
	Incarnation int64  // how often it was opened; part of its ballots
	Joined      int64  // the epoch in which it took the seat that it holds or held last
	Restored    bool   // it has restored what a quorum of voters held after it had taken its seat
}

// The kinds of entries, with the fields that each uses. The numbers are stored: they are never reused.
const (
	entryIdentity   = iota + 1 // Identity
	entryMembership            // Membership
	entryPromise               // Name, Promised
	entryAccept                // Name, Ballot, Value
	entryRegister              // a complete acceptor: Name, Promised, Ballot, Value
	entrySeal                  // Name, Token
	entryWrite                 // Name, Token, Records
	entryRepair                // Name, Token, Number, Ranges; Flag for the last part
	entryReplica               // a complete replica: Name, Token, InSync, Number, Records; Flag for a voter
	entryPrefetch              // Name, Ranges
	entryTrust                 // Name, Token
)

// entry is one record of the log and of snapshots: a change of the store. It is an Avro record, so that fields are read by
// their order, and must be neither moved nor retyped.
type entry struct {
	Kind       int
	Name       string // of a register or a shard
	Identity   identity
	Membership membership.Membership
	Ballot     register.Ballot // under which Value was accepted
	Promised   register.Ballot
	Value      []byte
	Token      int64 // the fencing token of an owner
	Number     int64 // of an owner's repairs of this replica
	InSync     int64 // the fencing token of the owner with which the replica was in sync last; 0 for none
	Flag       bool
	Records    []shard.Record
	Ranges     []shard.Range
}

// store is the durable state of a core scheduler: the membership, its acceptors of the registers and its replicas of the
// shards. Every change is in the log before it is acknowledged.
type store struct {
	address           string
	membershipChanged signal // sent when a newer membership was installed

	// mu guards the fields below. It is taken with no other lock held, and held while an entry is queued in the log, so that
	// the entries are in the order of the changes; never while the disk writes.
	mu         sync.Mutex
	log        *statefile.Log
	lastTicket *statefile.Ticket // of the newest entry; nil before the first
	identity   identity
	membership membership.Membership
	registers  map[string]*register.Acceptor // by name
	replicas   map[string]*shard.Replica     // by shard
}

// openStore opens the disk of the machine at an address. bootstrap says that the disks of all machines are new; only then
// the first membership is installed on an empty disk. A disk of another machine is an error with the code result.WrongDisk.
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

// snapshotFunc returns what writes snapshots. Its first call, before any entry is appended, gives a new disk its identity,
// and each disk its next incarnation.
func (s *store) snapshotFunc(first membership.Membership, bootstrap bool) func(func([]byte) error) error {
	started := false
	return func(emit func([]byte) error) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !started {
			if err := s.initIdentity(first, bootstrap); err != nil {
				return err
			}
			started = true
		}
		return s.snapshot(emit)
	}
}

// initIdentity gives a new disk its identity and counts the incarnation. s.mu is held.
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
	if seat := first.SeatAt(s.address); seat >= 0 {
		member := first.Seats[seat]
		s.identity.ID, s.identity.Joined, s.identity.Restored = member.ID, member.JoinEpoch, true
	}
}

// newID returns a unique name: 64 random bits in hexadecimal.
func newID() string {
	var random [8]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// proposer returns the name under which this incarnation of the disk makes ballots: no two incarnations of any disk share
// one.
func (s *store) proposer() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.identity.ID + "#" + strconv.FormatInt(s.identity.Incarnation, 10)
}

// highestBallot returns the highest ballot counter that this disk has met.
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

// apply repeats a change of an earlier incarnation.
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
	case entrySeal:
		s.replica(e.Name).Fence(e.Token)
	case entryWrite:
		s.replica(e.Name).Write(e.Token, e.Records)
	case entryRepair:
		s.replica(e.Name).Repair(e.Token, e.Number, e.Ranges, e.Flag)
	case entryPrefetch:
		s.replica(e.Name).ReplaceRanges(e.Ranges)
	case entryTrust:
		s.replica(e.Name).LearnToken(e.Token)
	case entryReplica:
		s.replicas[e.Name] = replicaOf(e, s.identity.Restored)
	default:
		return fmt.Errorf("core: entry of unknown kind %d", e.Kind)
	}
	return nil
}

// replicaOf returns the replica in a snapshot's entry.
func replicaOf(e *entry, trusted bool) *shard.Replica {
	replica := shard.NewReplica(trusted)
	replica.Voter = e.Flag
	replica.FencingToken = e.Token
	replica.InSyncToken = e.InSync
	replica.LastRepair = e.Number
	for _, record := range e.Records {
		replica.Records.Apply(record)
	}
	return replica
}

// snapshot emits the complete state. s.mu is held.
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

func (s *store) registerEntry(name string) *entry {
	a := s.registers[name]
	return &entry{Kind: entryRegister, Name: name, Promised: a.Promised, Ballot: a.Accepted, Value: a.Value}
}

func (s *store) replicaEntry(name string) *entry {
	r := s.replicas[name]
	return &entry{
		Kind: entryReplica, Name: name, Token: r.FencingToken, InSync: r.InSyncToken, Number: r.LastRepair, Flag: r.Voter, Records: r.Records.All(),
	}
}

// append queues the entry of a change that was applied. s.mu is held.
func (s *store) append(e *entry) (*statefile.Ticket, error) {
	payload, err := avrocodec.Encode(e)
	if err != nil {
		return nil, fmt.Errorf("core: %w", err)
	}
	s.lastTicket = s.log.Append(payload)
	return s.lastTicket, nil
}

// waitDurable waits until an entry is durable. Its error has the code result.StorageFailed.
func waitDurable(ctx context.Context, ticket *statefile.Ticket, err error) error {
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

// waitAllDurable waits until all that was applied so far is durable, so that no answer depends on what a power loss could undo.
func (s *store) waitAllDurable(ctx context.Context) error {
	s.mu.Lock()
	last := s.lastTicket
	s.mu.Unlock()
	if last == nil {
		return nil
	}
	return waitDurable(ctx, last, nil)
}
