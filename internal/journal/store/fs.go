package store

import (
	"errors"
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// File is a file opened for appending.
type File interface {
	io.Writer // appends to the file
	Sync() error
	Close() error
}

// FS is the part of a file system that a journal uses. Tests substitute one that injects faults.
type FS interface {
	MkdirAll(dir string) error
	Create(path string) (File, error) // fails if the file exists
	ReadFile(path string) ([]byte, error)
	ReadDir(dir string) (names []string, err error) // sorted
	Rename(from, to string) error
	Remove(path string) error
	SyncDir(dir string) error
	Free(dir string) (bytes int64, err error) // available to unprivileged processes
	// Lock locks a file for this process until release is closed, and writes a description of this process to the file. If
	// another process holds the lock, the error is ErrLocked and owner is the description written by that process.
	Lock(path, description string) (release io.Closer, owner string, err error)
	// Locked reports whether a process holds the lock of a file, and returns the description written by that process.
	Locked(path string) (owner string, locked bool)
}

// ErrLocked is returned if another process holds the lock.
var ErrLocked = errors.New("in use by another process")

// OS implements FS on the operating system's file system.
type OS struct{}

// MkdirAll creates a directory that is accessible only to its owner.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, 0o700) }

// Create creates a file that is accessible only to its owner.
func (OS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, 0o600)
}

// ReadFile returns the contents of a file.
func (OS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// ReadDir returns the sorted names in a directory.
func (OS) ReadDir(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = e.Name()
	}
	return names, err
}

// Rename renames a file.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (OS) Remove(path string) error { return os.Remove(path) }

// SyncDir makes the entries of a directory durable.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// Free returns the number of bytes available to unprivileged processes.
func (OS) Free(dir string) (int64, error) {
	var st unix.Statfs_t
	if err := unix.Statfs(dir, &st); err != nil {
		return 0, err
	}
	return int64(st.Bavail) * st.Bsize, nil
}

// Lock acquires an flock lock, which the kernel releases when the process ends for any reason.
func (OS) Lock(path, description string) (io.Closer, string, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, "", err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		owner, _ := io.ReadAll(io.LimitReader(f, 4096))
		_ = f.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			err = ErrLocked
		}
		return nil, string(owner), err
	}
	// The lock is held even if the description cannot be written.
	if f.Truncate(0) == nil {
		_, _ = f.WriteAt([]byte(description), 0)
	}
	return f, "", nil
}

// Locked tries to acquire a shared lock and releases it immediately. A shared lock does not conflict with that of a concurrent
// caller of Locked.
func (OS) Locked(path string) (string, bool) {
	f, err := os.Open(path)
	if err != nil {
		return "", false
	}
	defer func() { _ = f.Close() }()
	if err := unix.Flock(int(f.Fd()), unix.LOCK_SH|unix.LOCK_NB); err == nil {
		return "", false
	}
	owner, _ := io.ReadAll(io.LimitReader(f, 4096))
	return string(owner), true
}

func join(parts ...string) string { return filepath.Join(parts...) }
