// Package statefile keeps the durable state of a core scheduler on its disk.
//
// A generation is a snapshot file, written under a temporary name, synced and renamed, and a log of the entries after it.
// Each start and each compaction begins a new generation; the older ones are removed once the names of the new one are
// durable. Frames have a length and a CRC-32C, so a write that a power loss tore is found and ignored: nothing after the
// first bad frame was ever acknowledged. Appends are committed in groups, one sync for all that wait.
package statefile
