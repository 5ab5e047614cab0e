package shard

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of key ranges, by hash, that have a digest each.
const Buckets = 64

// Version orders the states of a record: by the fencing token of the owner that wrote it, then by the owner's sequence.
type Version struct {
	Token    int64
	Sequence int64
}

// Compare orders versions; it returns -1, 0 or 1.
func (v Version) Compare(other Version) int {
	if c := cmp.Compare(v.Token, other.Token); c != 0 {
		return c
	}
	return cmp.Compare(v.Sequence, other.Sequence)
}

// Record is one key of a shard with its value. A Deleted record removes the key when it is applied and is not kept.
type Record struct {
	Key     string
	Version Version
	Value   []byte
	Deleted bool
}

// Range is all records of one key range.
type Range struct {
	Bucket  int64 // 0 to Buckets-1
	Records []Record
}

// BucketOf returns the key range of a key.
func BucketOf(key string) int { return int(xxhash.Sum64String(key) % Buckets) }

func recordDigest(key string, v Version) int64 {
	var tail [16]byte
	binary.LittleEndian.PutUint64(tail[:8], uint64(v.Token))
	binary.LittleEndian.PutUint64(tail[8:], uint64(v.Sequence))
	hash := xxhash.New()
	_, _ = hash.WriteString(key)
	_, _ = hash.Write(tail[:])
	return int64(hash.Sum64())
}

// RecordSet is a set of records, one for each key, with a digest for each key range.
type RecordSet struct {
	records map[string]Record
	digests [Buckets]int64 // the exclusive or of recordDigest over the records of a range; independent of their order
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

// Apply takes a record unless the set has the same version or a newer one, and reports whether it took it.
func (s *RecordSet) Apply(r Record) bool {
	old, known := s.records[r.Key]
	if known && old.Version.Compare(r.Version) >= 0 {
		return false
	}
	bucket := BucketOf(r.Key)
	if known {
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

// Digests returns the digest of each key range.
func (s *RecordSet) Digests() []int64 { return slices.Clone(s.digests[:]) }

// InBucket returns the records of a key range, unordered.
func (s *RecordSet) InBucket(bucket int) []Record {
	var found []Record
	for key, r := range s.records {
		if BucketOf(key) == bucket {
			found = append(found, r)
		}
	}
	return found
}

// All returns all records, unordered.
func (s *RecordSet) All() []Record {
	all := make([]Record, 0, len(s.records))
	for _, r := range s.records {
		all = append(all, r)
	}
	return all
}

// ReplaceBucket replaces the content of a key range.
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

// DifferingRanges returns the key ranges of a set whose digests differ from those given.
func DifferingRanges(set *RecordSet, digests []int64) []Range {
	var ranges []Range
	for _, bucket := range DifferingBuckets(set.Digests(), digests) {
		ranges = append(ranges, Range{Bucket: int64(bucket), Records: set.InBucket(bucket)})
	}
	return ranges
}

// DifferingBuckets returns the key ranges in which two lists of digests differ. A digest that is missing differs.
func DifferingBuckets(a, b []int64) []int {
	var buckets []int
	for i := range Buckets {
		if i >= len(a) || i >= len(b) || a[i] != b[i] {
			buckets = append(buckets, i)
		}
	}
	return buckets
}
