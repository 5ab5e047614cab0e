package shard

import "encoding/binary"

// positionKey is the key of the record that holds a replica's position.
const positionKey = "position"

// PositionBucket is the bucket of the record that holds a replica's position.
var PositionBucket = int64(BucketOf(positionKey))

// positionRecord returns the record by which an owner tells a replica its position with a write or a repair: with that message
// the replica holds all of the owner's changes up to the version, deletions included. The value is the stateDigest of the owner,
// which the replica must have as well. It is an ordinary record, so that releases which do not evaluate it store and copy it
// like any other.
func positionRecord(version Version, digest int64) Record {
	return Record{Key: positionKey, Version: version, Value: binary.LittleEndian.AppendUint64(nil, uint64(digest))}
}

// digestMatches reports whether a position record was written for a state with the given digest.
func digestMatches(position Record, digest int64) bool {
	return len(position.Value) == 8 && int64(binary.LittleEndian.Uint64(position.Value)) == digest
}

// findPosition returns the position record of an owner among records.
func findPosition(records []Record, token int64) (Record, bool) {
	for _, record := range records {
		if record.Key == positionKey && record.Version.Token == token {
			return record, true
		}
	}
	return Record{}, false
}

// PositionOf returns the position of a replica from the content of its PositionBucket. It reports false if the replica has none
// from the owner with which it is in sync, which is an owner of a release without positions.
func PositionOf(content []Record, inSyncToken int64) (Version, bool) {
	record, ok := findPosition(content, inSyncToken)
	return record.Version, ok
}

// Position returns up to which change the replica holds all changes of the owner with which it is in sync. It reports false if
// that owner's release has no positions.
func (r *Replica) Position() (Version, bool) {
	record, _ := r.Records.Get(positionKey)
	return PositionOf([]Record{record}, r.InSyncToken)
}

// MostCurrent returns the replica with the highest position, the lowest of several. A new owner takes over the records of that
// replica alone. It holds each committed change, since one of a quorum's replicas has acknowledged all of them. The records of
// another one may include some whose deletion that one has missed. MostCurrent reports false if there are no positions.
func MostCurrent(positions map[int]Version) (replica int, ok bool) {
	for candidate, position := range positions {
		c := position.Compare(positions[replica])
		if !ok || c > 0 || c == 0 && candidate < replica {
			replica, ok = candidate, true
		}
	}
	return replica, ok
}

// AcceptsWrite reports whether the replica has the owner's state after a write of the given records. Otherwise the write was
// delayed until after a later message, or an earlier one is missing, and the replica must be repaired. It must hold before Write
// is called, except during the replay of a log. Writes of a release without positions cannot be checked.
func (r *Replica) AcceptsWrite(token int64, records []Record) bool {
	position, ok := findPosition(records, token)
	if !ok {
		return true
	}
	current, _ := r.Position()
	return current.Compare(position.Version) <= 0 && digestMatches(position, r.Records.digestAfter(records))
}

// AcceptsRepair reports whether the replica has the owner's state after the last message of a repair with the given content.
// Otherwise the replica has changed since it sent its digests, by a delayed message, and the owner must begin anew. It must hold
// before Repair is called, except during the replay of a log. Repairs of a release without positions cannot be checked.
func (r *Replica) AcceptsRepair(token int64, ranges []BucketContent, last bool) bool {
	for _, replacement := range ranges {
		if position, ok := findPosition(replacement.Records, token); ok && last {
			return digestMatches(position, r.Records.digestAfterReplacing(ranges))
		}
	}
	return true
}

// stateDigest returns a digest of all records except the position. It is the XOR of their recordDigests.
func (s *RecordSet) stateDigest() int64 {
	digest := int64(0)
	for bucket := range s.digests {
		digest ^= s.bucketStateDigest(bucket)
	}
	return digest
}

// bucketStateDigest returns the part of stateDigest that belongs to a bucket.
func (s *RecordSet) bucketStateDigest(bucket int) int64 {
	digest := s.digests[bucket]
	if position, ok := s.records[positionKey]; ok && bucket == int(PositionBucket) {
		digest ^= recordDigest(positionKey, position.Version)
	}
	return digest
}

// digestAfter returns the stateDigest after Apply of records with distinct keys.
func (s *RecordSet) digestAfter(records []Record) int64 {
	digest := s.stateDigest()
	for _, record := range records {
		old, exists := s.records[record.Key]
		if record.Key == positionKey || exists && old.Version.Compare(record.Version) >= 0 {
			continue
		}
		if exists {
			digest ^= recordDigest(old.Key, old.Version)
		}
		if !record.Deleted {
			digest ^= recordDigest(record.Key, record.Version)
		}
	}
	return digest
}

// digestAfterReplacing returns the stateDigest after ReplaceBucket of the given buckets.
func (s *RecordSet) digestAfterReplacing(ranges []BucketContent) int64 {
	digest := s.stateDigest()
	for _, replacement := range ranges {
		digest ^= s.bucketStateDigest(int(replacement.Bucket))
		for _, record := range replacement.Records {
			if record.Key != positionKey {
				digest ^= recordDigest(record.Key, record.Version)
			}
		}
	}
	return digest
}
