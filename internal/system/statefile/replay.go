package statefile

import (
	"fmt"
	"path/filepath"
)

// Replay calls replay with the entries of the newest complete snapshot and of all logs from its generation on. It returns the
// highest generation of any file in dir. A directory without a complete snapshot has no entries, even if it has a log. The
// error is that of replay or of reading the directory, or wraps ErrLayout.
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

// replaySnapshot replays the first complete snapshot in a list of generations and returns its generation, or 0 if there is
// none.
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
