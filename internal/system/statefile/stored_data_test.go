package statefile_test

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"sedgevale/internal/system/statefile"
)

// storedDirectory describes a data directory of a core scheduler under testdata, which TestCoreDirectoryHoldsTheWholeState of
// internal/system/simulation wrote with -update.
type storedDirectory struct {
	name       string
	generation int64
	files      []statefile.FileInfo
	kinds      map[int64]int // number of entries of each kind in snapshot and log
	digest     string        // digest of all entries in order
}

var storedDirectories = []storedDirectory{
	{
		name: "takeover", generation: 1, digest: "c8c22faaabc52441",
		files: []statefile.FileInfo{
			{Name: "log-00000001", Bytes: 4382, Frames: 33, Complete: true, Live: true},
			{Name: "state-00000001", Bytes: 247, Frames: 2, Complete: true, Live: true},
		},
		kinds: map[int64]int{1: 1, 2: 1, 3: 4, 4: 4, 6: 4, 7: 19, 8: 2},
	},
	{
		name: "generation", generation: 3, digest: "1f8f0b99aa516e30",
		files: []statefile.FileInfo{
			{Name: "log-00000003", Bytes: 369, Frames: 3, Complete: true, Live: true},
			{Name: "state-00000003", Bytes: 2295, Frames: 6, Complete: true, Live: true},
		},
		kinds: map[int64]int{1: 1, 2: 1, 5: 3, 7: 3, 9: 1},
	},
	{
		name: "rejoined", generation: 1, digest: "c66d21971f40f99f",
		files: []statefile.FileInfo{
			{Name: "log-00000001", Bytes: 3813, Frames: 19, Complete: true, Live: true},
			{Name: "state-00000001", Bytes: 117, Frames: 2, Complete: true, Live: true},
		},
		kinds: map[int64]int{1: 2, 2: 4, 3: 1, 4: 1, 5: 3, 6: 1, 7: 6, 8: 1, 10: 1, 11: 1},
	},
}

// kindOf returns the kind of an entry, which is its first field, an Avro long.
func kindOf(payload []byte) int64 {
	kind, _ := binary.Varint(payload)
	return kind
}

func digestOf(payloads [][]byte) string {
	hash := sha256.New()
	for _, payload := range payloads {
		hash.Write(fmt.Appendf(nil, "%d:%s", len(payload), payload))
	}
	return fmt.Sprintf("%x", hash.Sum(nil)[:8])
}

// Directories written by earlier releases are read completely: each file, and each entry in order.
func TestStoredDirectoriesAreReadCompletely(t *testing.T) {
	for _, stored := range storedDirectories {
		t.Run(stored.name, func(t *testing.T) {
			dir := filepath.Join("testdata", stored.name)
			files, err := statefile.Inspect(dir)
			if err != nil || !slices.Equal(files, stored.files) {
				t.Errorf("files %+v, error %v, want %+v", files, err, stored.files)
			}
			payloads := replayEntries(t, dir, stored.generation)
			kinds := map[int64]int{}
			for _, payload := range payloads {
				kinds[kindOf(payload)]++
			}
			if len(kinds) != len(stored.kinds) {
				t.Errorf("entries by kind: %v, want %v", kinds, stored.kinds)
			}
			for kind, want := range stored.kinds {
				if kinds[kind] != want {
					t.Errorf("%d entries of kind %d, want %d", kinds[kind], kind, want)
				}
			}
			if got := digestOf(payloads); got != stored.digest {
				t.Errorf("the entries have the digest %s, want %s", got, stored.digest)
			}
		})
	}
}

// replayEntries returns the entries of a directory and checks its newest generation.
func replayEntries(t *testing.T, dir string, generation int64) [][]byte {
	t.Helper()
	var payloads [][]byte
	newest, err := statefile.Replay(dir, func(payload []byte) error {
		payloads = append(payloads, slices.Clone(payload))
		return nil
	})
	if err != nil || newest != generation {
		t.Fatalf("%s: generation %d, want %d, error %v", dir, newest, generation, err)
	}
	return payloads
}

// Open replays the entries of a stored directory and begins the next generation, whose snapshot has the same layout as the
// stored one.
func TestStoredDirectoriesAreOpened(t *testing.T) {
	for _, stored := range storedDirectories {
		t.Run(stored.name, func(t *testing.T) {
			dir := t.TempDir()
			if err := os.CopyFS(dir, os.DirFS(filepath.Join("testdata", stored.name))); err != nil {
				t.Fatal(err)
			}
			var payloads [][]byte
			log, err := statefile.Open(dir, func(payload []byte) error {
				payloads = append(payloads, slices.Clone(payload))
				return nil
			}, func(emit func([]byte) error) error {
				for _, payload := range payloads {
					if err := emit(payload); err != nil {
						return err
					}
				}
				return nil
			})
			if err != nil {
				t.Fatal(err)
			}
			if err := log.Close(t.Context()); err != nil {
				t.Error(err)
			}
			if got := digestOf(payloads); got != stored.digest {
				t.Errorf("the entries have the digest %s, want %s", got, stored.digest)
			}
			if got := digestOf(replayEntries(t, dir, stored.generation+1)); got != stored.digest {
				t.Errorf("the entries of the next generation have the digest %s, want %s", got, stored.digest)
			}
			snapshot, err := os.ReadFile(filepath.Join(dir, fmt.Sprintf("state-%08d", stored.generation+1)))
			if err != nil || len(snapshot) < 16 || string(snapshot[:16]) != "sedgevale-state\x00" || snapshot[16] != 2 {
				t.Errorf("the snapshot begins with %q, error %v", snapshot[:min(17, len(snapshot))], err)
			}
		})
	}
}
