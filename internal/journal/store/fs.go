package store

import (
	"errors"
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// File is a file that is open for appending.
type File interface {
	io.Writer // at the end of the file
	Sync() error
	Close() error
}

// FS is what a journal needs of a file system. Tests use one that fails.
type FS interface {
	MkdirAll(dir string) error
	Create(path string) (File, error) // fails if it is there
	ReadFile(path string) ([]byte, error)
	ReadDir(dir string) (names []string, err error) // sorted
	Rename(from, to string) error
	Remove(path string) error
	SyncDir(dir string) error
	Free(dir string) (bytes int64, err error) // for unprivileged processes
	// Lock locks a file for this process until release is closed, and writes me, a description of this process, to it.
	// Where another process has the lock, the error is ErrLocked and owner is the description that it has written.
	Lock(path, me string) (release io.Closer, owner string, err error)
	// Locked reports whether a process has the lock of a file, and the description that it has written to it.
	Locked(path string) (owner string, locked bool)
}

// ErrLocked is returned where another process has the lock.
var ErrLocked = errors.New("in use by another process")

// OS is the file system of the operating system.
type OS struct{}

// MkdirAll creates a directory that only its owner may use.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, 0o700) }

// Create creates a file that only its owner may read and write.
func (OS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, 0o600)
}

// ReadFile reads a file to its end.
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

// Free returns how many bytes are free for unprivileged processes.
func (OS) Free(dir string) (int64, error) {
	var st unix.Statfs_t
	if err := unix.Statfs(dir, &st); err != nil {
		return 0, err
	}
	return int64(st.Bavail) * st.Bsize, nil
}

// Lock takes a lock that the kernel releases when the process ends, however it ends (flock).
func (OS) Lock(path, me string) (io.Closer, string, error) {
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
	// The lock holds also where its owner cannot be written to it.
	if f.Truncate(0) == nil {
		_, _ = f.WriteAt([]byte(me), 0)
	}
	return f, "", nil
}

// Locked tries a shared lock, which is released at once, so that two callers do not see each other.
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
