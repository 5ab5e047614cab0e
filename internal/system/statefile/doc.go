// Package statefile persists the state of a core scheduler on its local disk as a snapshot and an append-only log.
//
// A generation consists of a snapshot file, which is written under a temporary name, synced and renamed, and a log of the
// entries appended after the snapshot. Each start and each compaction begins a new generation; older generations are removed
// once the directory entries of the new one are durable. Each frame has a length and a CRC-32C, so a write that a power loss
// left incomplete is detected and ignored: nothing after the first invalid frame was ever acknowledged. Appends use group
// commit: one write and one sync for all entries that are queued.
package statefile
