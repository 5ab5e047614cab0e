package shard

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of buckets into which the keys of a shard are divided by hash. Each bucket has its own digest.
const Buckets = 64

// Version orders the states of a record by the fencing token of the owner that wrote it, then by the owner's sequence number.
type Version struct {
	Token    int64
	Sequence int64
}

// Compare returns -1, 0 or 1 if v is older than other, equal to it or newer.
func (v Version) Compare(other Version) int {
	if c := cmp.Compare(v.Token, other.Token); c != 0 {
		return c
	}
	return cmp.Compare(v.Sequence, other.Sequence)
}

// Record is one key of a shard with its value. A Deleted record removes the key when it is applied and is not itself stored.
type Record struct {
	Key     string
	Version Version
	Value   []byte
	Deleted bool
}

// BucketContent holds all records of one bucket.
type BucketContent struct {
	Bucket  int64 // 0 to Buckets-1
	Records []Record
}

// BucketOf returns the bucket of a key.
func BucketOf(key string) int { return int(xxhash.Sum64String(key) % Buckets) }

func recordDigest(key string, v Version) int64 {
	var version [16]byte
	binary.LittleEndian.PutUint64(version[:8], uint64(v.Token))
	binary.LittleEndian.PutUint64(version[8:], uint64(v.Sequence))
	hash := xxhash.New()
	_, _ = hash.WriteString(key)
	_, _ = hash.Write(version[:])
	return int64(hash.Sum64())
}

// RecordSet is a set of records with distinct keys and a digest of each bucket.
type RecordSet struct {
	records map[string]Record
	digests [Buckets]int64 // XOR of recordDigest over the records of each bucket, so independent of their order
}

// NewRecordSet returns an empty set.
func NewRecordSet() *RecordSet { return &RecordSet{records: map[string]Record{}} }

// Get returns the record of a key and whether there is one.
func (s *RecordSet) Get(key string) (Record, bool) {
	r, ok := s.records[key]
	return r, ok
}

// Len returns the number of records.
func (s *RecordSet) Len() int { return len(s.records) }

// Apply stores a record, or removes its key if it is Deleted, unless the set holds the same version of the record or a
// newer one. It reports whether the set has changed.
func (s *RecordSet) Apply(r Record) bool {
	old, exists := s.records[r.Key]
	if exists && old.Version.Compare(r.Version) >= 0 {
		return false
	}
	bucket := BucketOf(r.Key)
	if exists {
		s.digests[bucket] ^= recordDigest(r.Key, old.Version)
	}
	if r.Deleted {
		delete(s.records, r.Key)
		return true
	}
	s.records[r.Key] = r
	s.digests[bucket] ^= recordDigest(r.Key, r.Version)
	return true
}

// Digests returns the digests of all buckets.
func (s *RecordSet) Digests() []int64 { return slices.Clone(s.digests[:]) }

// InBucket returns the records of a bucket in no particular order.
func (s *RecordSet) InBucket(bucket int) []Record {
	var records []Record
	for key, r := range s.records {
		if BucketOf(key) == bucket {
			records = append(records, r)
		}
	}
	return records
}

// All returns all records in no particular order.
func (s *RecordSet) All() []Record {
	all := make([]Record, 0, len(s.records))
	for _, r := range s.records {
		all = append(all, r)
	}
	return all
}

// ReplaceBucket replaces the content of a bucket.
func (s *RecordSet) ReplaceBucket(bucket int, records []Record) {
	for _, r := range s.InBucket(bucket) {
		delete(s.records, r.Key)
	}
	s.digests[bucket] = 0
	for _, r := range records {
		s.records[r.Key] = r
		s.digests[bucket] ^= recordDigest(r.Key, r.Version)
	}
}

// DifferingBucketContents returns the content of those buckets of a set whose digests differ from the given ones.
func DifferingBucketContents(set *RecordSet, digests []int64) []BucketContent {
	var ranges []BucketContent
	for _, bucket := range DifferingBuckets(set.Digests(), digests) {
		ranges = append(ranges, BucketContent{Bucket: int64(bucket), Records: set.InBucket(bucket)})
	}
	return ranges
}

// withoutDigest returns digests whose value in one bucket matches no content that has the given one.
func withoutDigest(digests []int64, bucket int) []int64 {
	changed := slices.Clone(digests)
	if bucket < len(changed) {
		changed[bucket] = ^changed[bucket]
	}
	return changed
}

// DifferingBuckets returns the buckets in which two lists of digests differ. A missing digest counts as different.
func DifferingBuckets(a, b []int64) []int {
	var buckets []int
	for i := range Buckets {
		if i >= len(a) || i >= len(b) || a[i] != b[i] {
			buckets = append(buckets, i)
		}
	}
	return buckets
}
