package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

const logDirPrefix = "lane-" // part of the stored format

// acquireLog locks the first log directory that no process holds.
func acquireLog(o Options) (dir string, lock io.Closer, err error) {
	description, err := json.Marshal(o.Owner)
	if err != nil {
		return "", nil, err
	}
	for i := range maxLogs {
		dir = join(o.Dir, logDirName(i))
		if err := o.FS.MkdirAll(dir); err != nil {
			return "", nil, err
		}
		lock, text, err := o.FS.Lock(join(dir, lockName), string(description))
		if err == nil {
			return dir, lock, nil
		}
		if !errors.Is(err, ErrLocked) {
			return "", nil, err
		}
		owner := decodeOwner(text)
		if owner.Name != o.Owner.Name || owner.PID == o.Owner.PID {
			return "", nil, fmt.Errorf("%w, %s; configure a separate journal directory for each scheduler", ErrLocked, owner)
		}
	}
	return "", nil, fmt.Errorf("%w: all %d log directories are locked", ErrLocked, maxLogs)
}

// decodeOwner decodes the contents of a lock file. It returns an empty Owner if the contents are incomplete.
func decodeOwner(text string) (o Owner) {
	_ = json.Unmarshal([]byte(text), &o)
	return o
}

func logDirName(i int) string { return fmt.Sprintf("%s%d", logDirPrefix, i) }

// logDirs returns the sorted paths of a journal's log directories.
func logDirs(fsys FS, dir string) (out []string, err error) {
	names, err := fsys.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		if strings.HasPrefix(name, logDirPrefix) {
			out = append(out, join(dir, name))
		}
	}
	slices.Sort(out)
	return out, nil
}

// HasRecords reports whether a journal's directory contains segments. A directory that cannot be listed counts as empty.
func HasRecords(fsys FS, dir string) bool {
	dirs, err := logDirs(fsys, dir)
	if err != nil {
		return false
	}
	for _, logDir := range dirs {
		names, err := fsys.ReadDir(logDir)
		if err == nil && slices.ContainsFunc(names, isSegmentName) {
			return true
		}
	}
	return false
}
