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

// acquireLog locks the first log that no process has.
func acquireLog(o Options) (dir string, lock io.Closer, err error) {
	me, err := json.Marshal(o.Owner)
	if err != nil {
		return "", nil, err
	}
	for i := range maxLogs {
		dir = join(o.Dir, logDirName(i))
		if err := o.FS.MkdirAll(dir); err != nil {
			return "", nil, err
		}
		lock, text, err := o.FS.Lock(join(dir, lockName), string(me))
		if err == nil {
			return dir, lock, nil
		}
		if !errors.Is(err, ErrLocked) {
			return "", nil, err
		}
		owner := decodeOwner(text)
		if owner.Name != o.Owner.Name || owner.PID == o.Owner.PID {
			return "", nil, fmt.Errorf("%w, %s: give each scheduler a directory of its own", ErrLocked, owner)
		}
	}
	return "", nil, fmt.Errorf("%w: all %d logs are in use", ErrLocked, maxLogs)
}

// decodeOwner reads the content of a lock. It is empty where its owner has not written all of it yet.
func decodeOwner(text string) (o Owner) {
	_ = json.Unmarshal([]byte(text), &o)
	return o
}

func logDirName(i int) string { return fmt.Sprintf("%s%d", logDirPrefix, i) }

// logDirs returns the directories of a journal's logs, in order.
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

// HasRecords reports whether a directory has segments of a journal. One that cannot be listed counts as having none.
func HasRecords(fsys FS, dir string) bool {
	all, err := logDirs(fsys, dir)
	if err != nil {
		return false
	}
	for _, logDir := range all {
		names, err := fsys.ReadDir(logDir)
		if err == nil && slices.ContainsFunc(names, isSegmentName) {
			return true
		}
	}
	return false
}
