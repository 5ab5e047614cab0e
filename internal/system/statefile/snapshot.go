package statefile

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
)

const (
	formatVersion  = 2 // of the layout; another one is rejected, never taken for an empty disk
	snapshotPrefix = "state-"
	tempSuffix     = ".aside" // of a snapshot that is being written
)

var (
	magic     = []byte("sedgevale-state\x00")
	endMarker = []byte("end") // the payload of a snapshot's last frame
)

// writeSnapshot writes a snapshot of the complete state under a temporary name, syncs and renames it.
func (l *Log) writeSnapshot(generation int64) error {
	temp := filepath.Join(l.dir, fileName(snapshotPrefix, generation)+tempSuffix)
	file, err := os.Create(temp)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // synced before
	buffer := append([]byte{}, magic...)
	buffer = append(buffer, formatVersion)
	err = l.snapshot(func(payload []byte) error {
		buffer = appendFrame(buffer, payload)
		return nil
	})
	if err != nil {
		return err
	}
	buffer = appendFrame(buffer, endMarker)
	if _, err := file.Write(buffer); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	if err := os.Rename(temp, strings.TrimSuffix(temp, tempSuffix)); err != nil {
		return err
	}
	return syncDir(l.dir)
}

// checkLayout returns ErrLayout where a snapshot has a layout other than this release's.
func checkLayout(path string) error {
	head, err := readHead(path)
	if err != nil || string(head[:len(magic)]) != string(magic) {
		return nil // torn, or not there any more
	}
	if version := head[len(magic)]; version != 0 && version != formatVersion {
		return fmt.Errorf("%w: %s has layout %d, this release writes %d; where the other members of the core are up, "+
			"move the directory away, and this machine joins them with an empty disk", ErrLayout, path, version, formatVersion)
	}
	return nil
}

// readHead returns the first bytes of a snapshot: the magic and the layout's number.
func readHead(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	head := make([]byte, len(magic)+1)
	_, err = io.ReadFull(file, head)
	return head, err
}

// readSnapshot returns the entries of a snapshot and whether it is complete.
func readSnapshot(path string) ([][]byte, bool) {
	head, err := readHead(path)
	if err != nil || string(head[:len(magic)]) != string(magic) || head[len(magic)] != formatVersion {
		return nil, false
	}
	payloads, _ := readFrames(path, int64(len(head)))
	if len(payloads) == 0 || string(payloads[len(payloads)-1]) != string(endMarker) {
		return nil, false
	}
	return payloads[:len(payloads)-1], true
}
