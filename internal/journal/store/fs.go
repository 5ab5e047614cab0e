package store

import (
	"errors"
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// File is a file that is appended to.
type File interface {
	io.Writer // at the end, wherever that is
	Sync() error
	Close() error
}

// FS is what a journal needs of a file system. Tests put one in its place that fails.
type FS interface {
	MkdirAll(dir string) error
	Create(path string) (File, error) // fails if it is there
	ReadFile(path string) ([]byte, error)
	ReadDir(dir string) (names []string, err error) // sorted
	Rename(from, to string) error
	Remove(path string) error
	SyncDir(dir string) error
	Free(dir string) (bytes int64, err error) // for who has no privileges
	// Lock takes a file for this process until it is closed and writes who has it there.
	// Where another has it, the error is ErrLocked and owner says who.
	Lock(path, me string) (release io.Closer, owner string, err error)
	// Locked reports whether a process has that lock.
	Locked(path string) (owner string, locked bool)
}

// ErrLocked is returned where another process has a lock.
var ErrLocked = errors.New("in use by another process")

// OS is the operating system's files.
type OS struct{}

// MkdirAll makes a directory, for its owner alone.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, 0o700) }

// Create makes a file, for its owner alone.
func (OS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, 0o600)
}

// ReadFile reads a whole file.
func (OS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// ReadDir lists a directory.
func (OS) ReadDir(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = e.Name()
	}
	return names, err
}

// Rename gives a file another name.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (OS) Remove(path string) error { return os.Remove(path) }

// SyncDir makes the names in a directory durable.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// Free returns the bytes that are free.
func (OS) Free(dir string) (int64, error) {
	var st unix.Statfs_t
	if err := unix.Statfs(dir, &st); err != nil {
		return 0, err
	}
	return int64(st.Bavail) * st.Bsize, nil
}

// Lock takes a lock that the kernel gives back when the process ends, however it ends.
func (OS) Lock(path, me string) (io.Closer, string, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, "", err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		owner, _ := io.ReadAll(io.LimitReader(f, 4096))
		f.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			err = ErrLocked
		}
		return nil, string(owner), err
	}
	// A lock that cannot say whose it is still holds.
	if f.Truncate(0) == nil {
		_, _ = f.WriteAt([]byte(me), 0)
	}
	return f, "", nil
}

// Locked asks without taking the lock for longer than a moment, and shared, so that two
// who ask do not meet.
func (OS) Locked(path string) (string, bool) {
	f, err := os.Open(path)
	if err != nil {
		return "", false
	}
	defer f.Close()
	if err := unix.Flock(int(f.Fd()), unix.LOCK_SH|unix.LOCK_NB); err == nil {
		return "", false
	}
	owner, _ := io.ReadAll(io.LimitReader(f, 4096))
	return string(owner), true
}

func join(parts ...string) string { return filepath.Join(parts...) }
