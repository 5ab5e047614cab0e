package core

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"sync"

	"sedgevale/coord/register"
	"sedgevale/coord/shard"
	"sedgevale/coord/view"
	"sedgevale/internal/avrocodec"
	"sedgevale/internal/system/result"
	"sedgevale/internal/system/statefile"
)

// identity says which replica slot this disk fills, if any.
type identity struct {
	Slot        int64
	Generation  int64 // 0 while it fills none
	Incarnation string
}

// The kinds of entries in the state file.
const (
	entryIdentity = iota + 1
	entryView
	entryPromise
	entryAccept
	entryRegister
	entrySeal
	entryWrite
	entryRepair
	entryReplica
)

// entry is one durable step of a core scheduler.
type entry struct {
	Kind     int
	Name     string // of a register or a shard
	Identity identity
	View     view.View
	Ballot   register.Ballot
	Promised register.Ballot
	Value    []byte
	Token    int64
	Number   int64 // of a repair
	InStep   int64
	Flag     bool
	Records  []shard.Record
	Ranges   []shard.Range
}

// store is the durable state of a core scheduler: its part of the view, of the registers and of the shards.
type store struct {
	mu        sync.Mutex
	address   string
	log       *statefile.Log
	identity  identity
	view      view.View
	registers map[string]*register.Acceptor
	replicas  map[string]*shard.Replica
}

// openStore reads the state of a disk. A first view is used where the disk holds none; bootstrap says
// that all disks are new, so that nothing can have been forgotten.
func openStore(dir, address string, first view.View, bootstrap bool) (*store, error) {
	s := &store{address: address}
	s.reset()
	log, err := statefile.Open(dir, s.replay, s.snapshotFresh(first, bootstrap))
	if err != nil {
		return nil, err
	}
	s.log = log
	return s, nil
}

// reset forgets everything that a disk holds.
func (s *store) reset() {
	s.registers = map[string]*register.Acceptor{}
	s.replicas = map[string]*shard.Replica{}
}

// snapshotFresh returns the snapshot function. At its first call, before any entry was appended, a disk
// without an identity gets one.
func (s *store) snapshotFresh(first view.View, bootstrap bool) func(func([]byte) error) error {
	started := false
	return func(emit func([]byte) error) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !started {
			started = true
			s.begin(first, bootstrap)
		}
		return s.snapshot(emit)
	}
}

func (s *store) begin(first view.View, bootstrap bool) {
	if len(s.view.Slots) == 0 {
		s.view = first.Clone()
	}
	if s.identity.Incarnation != "" || s.identity.Generation > 0 {
		return
	}
	slot := first.IndexOf(s.address)
	if bootstrap && slot >= 0 {
		s.identity = identity{Slot: int64(slot), Generation: first.Slots[slot].Generation}
	}
}

func newIncarnation() string {
	var random [8]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

func (s *store) replay(payload []byte) error {
	e := &entry{}
	if err := avrocodec.Decode(payload, e); err != nil {
		return err
	}
	return s.apply(e)
}

// apply repeats a step of an earlier run.
func (s *store) apply(e *entry) error {
	switch e.Kind {
	case entryIdentity:
		s.identity = e.Identity
	case entryView:
		s.view.Merge(e.View)
	case entryPromise:
		s.acceptor(e.Name).Promised = e.Promised
	case entryAccept:
		s.acceptor(e.Name).Accept(e.Ballot, e.Value)
	case entryRegister:
		s.registers[e.Name] = &register.Acceptor{Promised: e.Promised, Accepted: e.Ballot, Value: e.Value}
	case entrySeal:
		s.replica(e.Name).Seal(e.Token)
	case entryWrite:
		s.replica(e.Name).Write(e.Token, e.Records)
	case entryRepair:
		s.replica(e.Name).Repair(e.Token, e.Number, e.Ranges, e.Flag)
	case entryReplica:
		replica := shard.NewReplica(e.Flag)
		replica.Sealed = e.Token
		replica.InStep = e.InStep
		replica.Repairs = e.Number
		for _, record := range e.Records {
			replica.Set.Apply(record)
		}
		s.replicas[e.Name] = replica
	default:
		return fmt.Errorf("core: entry of unknown kind %d", e.Kind)
	}
	return nil
}

// snapshot emits the whole state. The lock is held.
func (s *store) snapshot(emit func([]byte) error) error {
	entries := []*entry{{Kind: entryIdentity, Identity: s.identity}, {Kind: entryView, View: s.view}}
	for name, a := range s.registers {
		entries = append(entries, &entry{
			Kind: entryRegister, Name: name, Promised: a.Promised, Ballot: a.Accepted, Value: a.Value,
		})
	}
	for name, r := range s.replicas {
		entries = append(entries, &entry{
			Kind: entryReplica, Name: name, Token: r.Sealed, InStep: r.InStep, Number: r.Repairs,
			Flag: r.Voter, Records: r.Set.All(),
		})
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

// append queues a step that was applied to the state. The lock is held.
func (s *store) append(e *entry) (*statefile.Ticket, error) {
	payload, err := avrocodec.Encode(e)
	if err != nil {
		return nil, fmt.Errorf("core: %w", err)
	}
	return s.log.Append(payload), nil
}

// wait waits until a step is durable.
func wait(ctx context.Context, ticket *statefile.Ticket, err error) error {
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

func (s *store) acceptor(name string) *register.Acceptor {
	a := s.registers[name]
	if a == nil {
		a = &register.Acceptor{}
		s.registers[name] = a
	}
	return a
}

// replica returns the replica of a shard. On a disk that was never lost a new one votes at once.
func (s *store) replica(name string) *shard.Replica {
	r := s.replicas[name]
	if r == nil {
		r = shard.NewReplica(true)
		s.replicas[name] = r
	}
	return r
}

// votes reports whether this disk fills its slot as far as is known. The lock is held.
func (s *store) votes() bool {
	if s.identity.Generation == 0 {
		return false
	}
	slot := s.view.Slots[s.identity.Slot]
	return slot.Generation == s.identity.Generation && slot.Incarnation == s.identity.Incarnation && slot.Address == s.address
}

// admit checks the view of a quorum message against the one that is known. The lock is held.
func (s *store) admit(sender view.View) error {
	if s.view.Outdates(sender) {
		return result.Errorf(result.ViewOutdated, "a newer view of the core is known")
	}
	if s.view.Merge(sender) {
		if _, err := s.append(&entry{Kind: entryView, View: s.view}); err != nil {
			return err
		}
	}
	if !s.votes() {
		return result.Errorf(result.NotRecovered, "%s does not vote", s.address)
	}
	return nil
}

func (s *store) prepare(ctx context.Context, r *prepareRequest) (*prepareResponse, error) {
	s.mu.Lock()
	if err := s.admit(r.View); err != nil {
		s.mu.Unlock()
		return nil, err
	}
	promise := s.acceptor(r.Name).Prepare(r.Ballot, r.Known)
	if !promise.Granted {
		s.mu.Unlock()
		return &prepareResponse{Promise: promise}, nil
	}
	ticket, err := s.append(&entry{Kind: entryPromise, Name: r.Name, Promised: r.Ballot})
	s.mu.Unlock()
	if err := wait(ctx, ticket, err); err != nil {
		return nil, err
	}
	return &prepareResponse{Promise: promise}, nil
}

func (s *store) accept(ctx context.Context, r *acceptRequest) (*acceptResponse, error) {
	s.mu.Lock()
	if err := s.admit(r.View); err != nil {
		s.mu.Unlock()
		return nil, err
	}
	if !s.acceptor(r.Name).Accept(r.Ballot, r.Value) {
		s.mu.Unlock()
		return &acceptResponse{}, nil
	}
	ticket, err := s.append(&entry{Kind: entryAccept, Name: r.Name, Ballot: r.Ballot, Value: r.Value})
	s.mu.Unlock()
	if err := wait(ctx, ticket, err); err != nil {
		return nil, err
	}
	return &acceptResponse{Accepted: true}, nil
}

// peek returns what was accepted last, without a promise.
func (s *store) peek(_ context.Context, r *peekRequest) (*peekResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.votes() {
		return nil, result.Errorf(result.NotRecovered, "%s does not vote", s.address)
	}
	a := s.acceptor(r.Name)
	answer := &peekResponse{Accepted: a.Accepted}
	if a.Accepted != r.Known {
		answer.Value = a.Value
	}
	return answer, nil
}

func (s *store) seal(ctx context.Context, r *sealRequest) (*sealResponse, error) {
	s.mu.Lock()
	if err := s.admit(r.View); err != nil {
		s.mu.Unlock()
		return nil, err
	}
	replica := s.replica(r.Shard)
	if !replica.Seal(r.Token) {
		s.mu.Unlock()
		return nil, result.Errorf(result.Fenced, "shard %s: token %d is known, %d came", r.Shard, replica.Sealed, r.Token)
	}
	answer := &sealResponse{
		Incarnation: s.identity.Incarnation, Voter: replica.Voter, InStep: replica.InStep, Digests: replica.Set.Digests(),
	}
	ticket, err := s.append(&entry{Kind: entrySeal, Name: r.Shard, Token: r.Token})
	s.mu.Unlock()
	if err := wait(ctx, ticket, err); err != nil {
		return nil, err
	}
	return answer, nil
}

func (s *store) fetch(_ context.Context, r *fetchRequest) (*fetchResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := &fetchResponse{Incarnation: s.identity.Incarnation}
	replica := s.replica(r.Shard)
	for _, bucket := range r.Buckets {
		answer.Ranges = append(answer.Ranges, shard.Range{Bucket: bucket, Records: replica.Set.InBucket(int(bucket))})
	}
	return answer, nil
}

func (s *store) repair(ctx context.Context, r *repairRequest) (*empty, error) {
	s.mu.Lock()
	if err := s.admitOwner(r.View, r.Shard, r.Incarnation); err != nil {
		s.mu.Unlock()
		return nil, err
	}
	if !s.replica(r.Shard).Repair(r.Token, r.Number, r.Ranges, r.Last) {
		s.mu.Unlock()
		return nil, result.Errorf(result.Fenced, "shard %s: a token above %d or a later repair is known", r.Shard, r.Token)
	}
	ticket, err := s.append(&entry{Kind: entryRepair, Name: r.Shard, Token: r.Token, Number: r.Number, Ranges: r.Ranges, Flag: r.Last})
	s.mu.Unlock()
	return &empty{}, wait(ctx, ticket, err)
}

func (s *store) write(ctx context.Context, r *writeRequest) (*empty, error) {
	s.mu.Lock()
	if err := s.admitOwner(r.View, r.Shard, r.Incarnation); err != nil {
		s.mu.Unlock()
		return nil, err
	}
	replica := s.replica(r.Shard)
	if !replica.Write(r.Token, r.Records) {
		sealed := replica.Sealed
		s.mu.Unlock()
		if sealed > r.Token {
			return nil, result.Errorf(result.Fenced, "shard %s: token %d is known, %d came", r.Shard, sealed, r.Token)
		}
		return nil, result.Errorf(result.NotRecovered, "shard %s: the replica is not in step", r.Shard)
	}
	if len(r.Records) == 0 { // a heartbeat
		s.mu.Unlock()
		return &empty{}, nil
	}
	ticket, err := s.append(&entry{Kind: entryWrite, Name: r.Shard, Token: r.Token, Records: r.Records})
	s.mu.Unlock()
	return &empty{}, wait(ctx, ticket, err)
}

func (s *store) admitOwner(sender view.View, name, incarnation string) error {
	if err := s.admit(sender); err != nil {
		return err
	}
	if incarnation != s.identity.Incarnation {
		return result.Errorf(result.WrongReplica, "shard %s: the replica has another incarnation", name)
	}
	return nil
}

// join stores that another slot has a new occupant, and fences all that may still be on its way, so that
// the occupant can trust what it learns here.
func (s *store) join(ctx context.Context, r *joinRequest, idle func(slot int, by string) bool) (*joinResponse, error) {
	s.mu.Lock()
	if !s.votes() || int(r.Slot) >= len(s.view.Slots) || r.Slot == s.identity.Slot {
		s.mu.Unlock()
		return nil, result.Errorf(result.NotRecovered, "%s cannot grant slot %d", s.address, r.Slot)
	}
	current := s.view.Slots[r.Slot]
	again := current == r.Occupant
	if !again && (r.Occupant.Generation <= current.Generation || !idle(int(r.Slot), r.Occupant.Address)) {
		s.mu.Unlock()
		return nil, result.Errorf(result.Conflict, "slot %d is taken", r.Slot)
	}
	s.view.Slots[r.Slot] = r.Occupant
	answer := &joinResponse{Registers: map[string]register.Acceptor{}, Shards: map[string]int64{}}
	var ticket *statefile.Ticket
	var err error
	for name, a := range s.registers {
		a.Fence(r.Occupant.Incarnation)
		answer.Registers[name] = *a
		if ticket, err = s.append(&entry{Kind: entryPromise, Name: name, Promised: a.Promised}); err != nil {
			break
		}
	}
	for name, replica := range s.replicas {
		answer.Shards[name] = replica.Sealed
	}
	answer.View = s.view.Clone()
	if err == nil {
		ticket, err = s.append(&entry{Kind: entryView, View: s.view})
	}
	s.mu.Unlock()
	if err := wait(ctx, ticket, err); err != nil {
		return nil, err
	}
	return answer, nil
}

// take makes this disk the occupant of a slot, with what enough others told.
func (s *store) take(ctx context.Context, slot int, occupant view.Slot, learned []*joinResponse) error {
	s.mu.Lock()
	var err error
	var entries []*entry
	for _, one := range learned {
		s.view.Merge(one.View)
		for name, a := range one.Registers {
			s.acceptor(name).Restore(a)
		}
		for name, token := range one.Shards {
			replica := s.replica(name)
			replica.Seal(token)
			replica.Voter = false
		}
	}
	s.view.Slots[slot] = occupant
	s.identity = identity{Slot: int64(slot), Generation: occupant.Generation, Incarnation: occupant.Incarnation}
	for name, a := range s.registers {
		entries = append(entries, &entry{
			Kind: entryRegister, Name: name, Promised: a.Promised, Ballot: a.Accepted, Value: a.Value,
		})
	}
	for name, replica := range s.replicas {
		entries = append(entries, &entry{
			Kind: entryReplica, Name: name, Token: replica.Sealed, Flag: replica.Voter, InStep: replica.InStep, Number: replica.Repairs,
			Records: replica.Set.All(),
		})
	}
	entries = append(entries, &entry{Kind: entryView, View: s.view}, &entry{Kind: entryIdentity, Identity: s.identity})
	var ticket *statefile.Ticket
	for _, e := range entries {
		if ticket, err = s.append(e); err != nil {
			break
		}
	}
	s.mu.Unlock()
	return wait(ctx, ticket, err)
}

// currentView returns a copy of the view.
func (s *store) currentView() view.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Clone()
}

// learnView takes what is newer in a view that another scheduler told.
func (s *store) learnView(other view.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(other.Slots) > 0 && s.view.Merge(other) {
		_, _ = s.append(&entry{Kind: entryView, View: s.view})
	}
}

// accepted returns the last accepted ballot of each register.
func (s *store) accepted() map[string]register.Ballot {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := map[string]register.Ballot{}
	for name, a := range s.registers {
		all[name] = a.Accepted
	}
	return all
}
