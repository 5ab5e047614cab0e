package statefile

import (
	"fmt"
	"path/filepath"
)

// Replay reads the newest generation whose snapshot is complete, and the logs from it on, and returns the newest generation
// that any file in dir bears. A directory without a complete snapshot has no entries, also where it has a log. Errors are
// those of replay, of the directory, and ErrLayout.
func Replay(dir string, replay func([]byte) error) (newest int64, err error) {
	found, err := listGenerations(dir)
	if err != nil {
		return 0, err
	}
	start, err := replaySnapshot(dir, found.snapshots, replay)
	if err != nil || start == 0 {
		return found.newest, err
	}
	for _, generation := range found.logs {
		if generation < start {
			continue
		}
		payloads, _ := readFrames(filepath.Join(dir, fileName(logPrefix, generation)), 0)
		for _, payload := range payloads {
			if err := replay(payload); err != nil {
				return found.newest, fmt.Errorf("statefile: log %d: %w", generation, err)
			}
		}
	}
	return found.newest, nil
}

// replaySnapshot replays the first complete one of the snapshots and returns its generation, 0 for none.
func replaySnapshot(dir string, generations []int64, replay func([]byte) error) (int64, error) {
	for _, generation := range generations {
		path := filepath.Join(dir, fileName(snapshotPrefix, generation))
		if err := checkLayout(path); err != nil {
			return 0, err
		}
		payloads, complete := readSnapshot(path)
		if !complete {
			continue
		}
		for _, payload := range payloads {
			if err := replay(payload); err != nil {
				return 0, fmt.Errorf("statefile: snapshot %d: %w", generation, err)
			}
		}
		return generation, nil
	}
	return 0, nil
}
