// Package shard replicates the records of a shard from its one owner to the replicas of the core.
//
// The owner holds a fencing token. It seals the shard at a majority of replicas, takes the records of
// those that were in step with the newest owner before it, brings a majority of replicas to its own
// state and then writes records, each with a version. A replica turns down lower tokens. There is no log: a
// replica that fell behind is repaired by comparing digests of ranges of keys.
//
// The parts are pure. The caller stores what a Replica returns before it passes answers on.
package shard

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of key ranges, by hash, that have a digest each.
const Buckets = 64

// Version orders the states of a record.
type Version struct {
	Token    int64
	Sequence int64
}

// Compare orders versions.
func (v Version) Compare(other Version) int {
	if c := cmp.Compare(v.Token, other.Token); c != 0 {
		return c
	}
	return cmp.Compare(v.Sequence, other.Sequence)
}

// Record is one key of a shard. Deleted tells a write to drop the key.
type Record struct {
	Key     string
	Version Version
	Value   []byte
	Deleted bool
}

// BucketOf returns the key range that a key belongs to.
func BucketOf(key string) int { return int(xxhash.Sum64String(key) % Buckets) }

func digestOf(key string, v Version) int64 {
	var tail [16]byte
	binary.LittleEndian.PutUint64(tail[:8], uint64(v.Token))
	binary.LittleEndian.PutUint64(tail[8:], uint64(v.Sequence))
	hash := xxhash.New()
	_, _ = hash.WriteString(key)
	_, _ = hash.Write(tail[:])
	return int64(hash.Sum64())
}

// Set is a set of records with a digest for each key range.
type Set struct {
	records map[string]Record
	digests [Buckets]int64
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{records: map[string]Record{}} }

// Get returns the record of a key.
func (s *Set) Get(key string) (Record, bool) {
	r, ok := s.records[key]
	return r, ok
}

// Len returns the number of records.
func (s *Set) Len() int { return len(s.records) }

// Apply takes a record unless the set has a newer version, and reports whether it took it.
func (s *Set) Apply(r Record) bool {
	old, known := s.records[r.Key]
	if known && old.Version.Compare(r.Version) >= 0 {
		return false
	}
	bucket := BucketOf(r.Key)
	if known {
		s.digests[bucket] ^= digestOf(r.Key, old.Version)
	}
	if r.Deleted {
		delete(s.records, r.Key)
		return true
	}
	s.records[r.Key] = r
	s.digests[bucket] ^= digestOf(r.Key, r.Version)
	return true
}

// Digests returns the digest of each key range.
func (s *Set) Digests() []int64 { return slices.Clone(s.digests[:]) }

// InBucket returns the records of a key range.
func (s *Set) InBucket(bucket int) []Record {
	var found []Record
	for key, r := range s.records {
		if BucketOf(key) == bucket {
			found = append(found, r)
		}
	}
	return found
}

// All returns all records, in no order.
func (s *Set) All() []Record {
	all := make([]Record, 0, len(s.records))
	for _, r := range s.records {
		all = append(all, r)
	}
	return all
}

// ReplaceBucket makes a key range hold just these records.
func (s *Set) ReplaceBucket(bucket int, records []Record) {
	for _, r := range s.InBucket(bucket) {
		delete(s.records, r.Key)
	}
	s.digests[bucket] = 0
	for _, r := range records {
		s.records[r.Key] = r
		s.digests[bucket] ^= digestOf(r.Key, r.Version)
	}
}

// Replica is what one core machine stores of a shard.
type Replica struct {
	Set     *Set
	Sealed  int64 // the highest fencing token that was met
	InStep  int64 // the token of the owner whose whole state it has; 0 for none
	Repairs int64 // the number of that owner's last repair
	Voter   bool  // false while it may have forgotten what its seat once stored
	Trusted bool  // a quorum has told its disk which tokens there are: from then on a repair makes it a voter
}

// NewReplica returns an empty replica. On a disk that knows of all shards that there are it votes at once.
func NewReplica(trusted bool) *Replica {
	return &Replica{Set: NewSet(), Voter: trusted, Trusted: trusted}
}

// Seal turns down all lower tokens from now on. It reports whether the token was high enough.
func (r *Replica) Seal(token int64) bool {
	if token < r.Sealed {
		return false
	}
	if token > r.Sealed {
		r.Repairs = 0
	}
	r.Sealed = token
	return true
}

// Write applies records of the owner with a token. It reports false where the token is outdated or the
// replica was not brought in step by this owner.
func (r *Replica) Write(token int64, records []Record) bool {
	if token != r.Sealed || r.InStep != token {
		return false
	}
	for _, record := range records {
		r.Set.Apply(record)
	}
	return true
}

// Copy replaces key ranges by what another replica stores. It makes a later repair short and counts for nothing itself.
func (r *Replica) Copy(ranges []Range) {
	for _, part := range ranges {
		r.Set.ReplaceBucket(int(part.Bucket), part.Records)
	}
}

// Forget notes that this replica may have missed anything from now on: it counts again once an owner has repaired it.
func (r *Replica) Forget() {
	r.Voter = false
	r.Trusted = false
	r.InStep = 0
}

// Trust notes the highest token that a quorum has told. A replica that the owner with that token, or a later one, has
// repaired before is a voter from now on; a repair by an earlier owner, which may have been deposed without knowing
// it, made it none.
func (r *Replica) Trust(token int64) {
	r.Seal(token)
	r.Trusted = true
	r.Voter = r.InStep > 0 && r.InStep >= token
}

// Range is all records of one key range.
type Range struct {
	Bucket  int64
	Records []Record
}

// Repair replaces key ranges by those of the owner. The last call of a repair brings the replica in step. The owner
// numbers its repairs: one that was held up on its way must not undo what came after it.
func (r *Replica) Repair(token, number int64, ranges []Range, last bool) bool {
	if token == r.Sealed && number < r.Repairs {
		return false
	}
	if !r.Seal(token) {
		return false
	}
	r.Repairs = number
	r.Copy(ranges)
	if last {
		r.InStep = token
		r.Voter = r.Voter || r.Trusted
	}
	return true
}

// Ranges returns the key ranges of a set whose digests differ from those given.
func Ranges(set *Set, digests []int64) []Range {
	var ranges []Range
	for _, bucket := range Differing(set.Digests(), digests) {
		ranges = append(ranges, Range{Bucket: int64(bucket), Records: set.InBucket(bucket)})
	}
	return ranges
}

// Differing returns the key ranges in which two lists of digests differ.
func Differing(a, b []int64) []int {
	var buckets []int
	for i := range Buckets {
		if i >= len(a) || i >= len(b) || a[i] != b[i] {
			buckets = append(buckets, i)
		}
	}
	return buckets
}
