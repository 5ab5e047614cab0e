package statefile

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
)

const logPrefix = "log-"

// fileName returns the name of a file of a generation.
func fileName(prefix string, generation int64) string {
	return fmt.Sprintf("%s%08d", prefix, generation)
}

// generationOf returns the generation of a file by its name; false for a file of another kind.
func generationOf(file string) (int64, bool) {
	file = strings.TrimSuffix(file, tempSuffix)
	for _, prefix := range []string{snapshotPrefix, logPrefix} {
		if digits, ok := strings.CutPrefix(file, prefix); ok {
			n, err := strconv.ParseInt(digits, 10, 64)
			return n, err == nil
		}
	}
	return 0, false
}

// generations are the generations of which a directory holds files.
type generations struct {
	snapshots []int64 // descending
	logs      []int64 // ascending
	newest    int64   // of any file, also of a snapshot that was not renamed; 0 for none
}

// listGenerations returns the generations of which a directory holds files.
func listGenerations(dir string) (generations, error) {
	var found generations
	entries, err := os.ReadDir(dir)
	if err != nil {
		return found, fmt.Errorf("statefile: %w", err)
	}
	for _, entry := range entries {
		generation, ok := generationOf(entry.Name())
		if !ok {
			continue
		}
		found.newest = max(found.newest, generation)
		switch {
		case strings.HasSuffix(entry.Name(), tempSuffix):
		case strings.HasPrefix(entry.Name(), snapshotPrefix):
			found.snapshots = append(found.snapshots, generation)
		default:
			found.logs = append(found.logs, generation)
		}
	}
	sort.Slice(found.snapshots, func(i, j int) bool { return found.snapshots[i] > found.snapshots[j] })
	sort.Slice(found.logs, func(i, j int) bool { return found.logs[i] < found.logs[j] })
	return found, nil
}

// removeBelow removes older generations. What cannot be removed is retried at the next rotation.
func (l *Log) removeBelow(generation int64) {
	entries, err := os.ReadDir(l.dir)
	if err != nil {
		return
	}
	for _, entry := range entries {
		old, ok := generationOf(entry.Name())
		if ok && old < generation {
			_ = os.Remove(filepath.Join(l.dir, entry.Name()))
		}
	}
}

// syncDir makes the names in a directory durable.
func syncDir(dir string) error {
	handle, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = handle.Close() }()
	return handle.Sync()
}
