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

// fileName returns the name of the snapshot or log of a generation.
func fileName(prefix string, generation int64) string {
	return fmt.Sprintf("%s%08d", prefix, generation)
}

// generationOf parses the generation from a file name. It returns false if the file is neither a snapshot nor a log.
func generationOf(name string) (int64, bool) {
	name = strings.TrimSuffix(name, tempSuffix)
	for _, prefix := range []string{snapshotPrefix, logPrefix} {
		if digits, ok := strings.CutPrefix(name, prefix); ok {
			n, err := strconv.ParseInt(digits, 10, 64)
			return n, err == nil
		}
	}
	return 0, false
}

// generations lists the generations of the files in a directory.
type generations struct {
	snapshots []int64 // generations with a snapshot, descending
	logs      []int64 // generations with a log, ascending
	newest    int64   // highest generation of any file, including temporary ones; 0 if there is none
}

// listGenerations returns the generations of the files in a directory.
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

// removeBelow removes the files of all generations older than the given one. The removal of a file that fails is retried at
// the next rotation.
func (l *Log) removeBelow(generation int64) {
	entries, err := os.ReadDir(l.dir)
	if err != nil {
		return
	}
	for _, entry := range entries {
		older, ok := generationOf(entry.Name())
		if ok && older < generation {
			_ = os.Remove(filepath.Join(l.dir, entry.Name()))
		}
	}
}

// syncDir makes the entries of a directory durable.
func syncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = dir.Close() }()
	return dir.Sync()
}
