package statefile

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
)

const (
	layoutVersion  = 2 // a snapshot with another version is rejected; it must never count as an empty disk
	snapshotPrefix = "state-"
	tempSuffix     = ".aside" // suffix of a snapshot that is being written
)

var (
	magic     = []byte("sedgevale-state\x00")
	endMarker = []byte("end") // payload of the last frame of a complete snapshot
)

// writeSnapshot writes a snapshot of the complete state under a temporary name, syncs it and renames it.
func (l *Log) writeSnapshot(generation int64) error {
	temp := filepath.Join(l.dir, fileName(snapshotPrefix, generation)+tempSuffix)
	file, err := os.Create(temp)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // Sync has reported any write error
	buffer := append([]byte{}, magic...)
	buffer = append(buffer, layoutVersion)
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

// checkLayout returns an error that wraps ErrLayout if a snapshot has another layout version than this release. Version 0
// passes and is left to readSnapshot, which treats the snapshot as incomplete.
func checkLayout(path string) error {
	header, err := readHeader(path)
	if err != nil || string(header[:len(magic)]) != string(magic) {
		return nil // incomplete or removed
	}
	if version := header[len(magic)]; version != 0 && version != layoutVersion {
		return fmt.Errorf("%w: %s has layout version %d, this release supports only %d; if the other members of the core are up, "+
			"move the directory away and restart: this machine rejoins with an empty disk", ErrLayout, path, version, layoutVersion)
	}
	return nil
}

// readHeader returns the header of a snapshot: the magic and the layout version.
func readHeader(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	header := make([]byte, len(magic)+1)
	_, err = io.ReadFull(file, header)
	return header, err
}

// readSnapshot returns the entries of a snapshot and whether it is complete.
func readSnapshot(path string) ([][]byte, bool) {
	header, err := readHeader(path)
	if err != nil || string(header[:len(magic)]) != string(magic) || header[len(magic)] != layoutVersion {
		return nil, false
	}
	payloads, _ := readFrames(path, int64(len(header)))
	if len(payloads) == 0 || string(payloads[len(payloads)-1]) != string(endMarker) {
		return nil, false
	}
	return payloads[:len(payloads)-1], true
}
