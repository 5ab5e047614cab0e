package fake

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"

	"sedgevale/internal/journal/store"
)

// Disk is an in-memory file system with fault injection that implements store.FS. After a power
// failure each sector of an unsynced write may have been persisted or lost independently, in any
// order, and so may names that were created or removed since the last sync of their directory.
// After a failed sync the writes that it covered never become durable, though they can still be
// read, as on Linux.
type Disk struct {
	mu       sync.Mutex // guards all below, and the files
	random   *rand.Rand
	names    map[string]*inode // directory entries that a process sees, by path
	durable  map[string]*inode // directory entries of the last directory syncs, by path
	locks    map[string]string // lock owners, by path
	capacity int64             // in bytes
	failures map[Op]float64    // failure probability of each operation, from 0 to 1
}

// Op is an operation that can be made to fail.
type Op string

// The operations.
const (
	OpWrite   Op = "write"   // fails with EIO and writes nothing
	OpShort   Op = "short"   // writes a prefix and fails with ENOSPC
	OpSync    Op = "sync"    // fails with EIO
	OpCreate  Op = "create"  // fails with EIO
	OpSyncDir Op = "syncdir" // fails with EIO
	OpRename  Op = "rename"  // fails with EIO
	OpRemove  Op = "remove"  // fails with EIO
)

// inode is the content of a file.
type inode struct {
	data     []byte // content that a process reads
	durable  []byte // content at the last successful sync
	unsynced []write
}

// write is a write of data at an offset of a file.
type write struct {
	offset int
	data   []byte
}

func (c write) apply(b []byte) []byte {
	for len(b) < c.offset+len(c.data) {
		b = append(b, 0)
	}
	copy(b[c.offset:], c.data)
	return b
}

// NewDisk returns an empty Disk with a capacity in bytes. The seed determines all random outcomes.
func NewDisk(seed uint64, capacity int64) *Disk {
	return &Disk{random: rand.New(rand.NewPCG(seed, 0xd15c)), names: map[string]*inode{}, durable: map[string]*inode{},
		locks: map[string]string{}, capacity: capacity, failures: map[Op]float64{}}
}

// Fail sets the probability, from 0 to 1, with which calls of an operation fail.
func (d *Disk) Fail(op Op, share float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failures[op] = share
}

// SetCapacity sets the capacity in bytes.
func (d *Disk) SetCapacity(n int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.capacity = n
}

func (d *Disk) fails(op Op) bool { return d.failures[op] > 0 && d.random.Float64() < d.failures[op] }

func (d *Disk) used() (n int64) {
	for _, f := range d.names {
		n += int64(len(f.data))
	}
	return n
}

// PowerFail returns the disk after a power failure, without injected faults. The old disk must not be used any more.
func (d *Disk) PowerFail() *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	after := &Disk{random: d.random, names: map[string]*inode{}, durable: map[string]*inode{}, locks: map[string]string{},
		capacity: d.capacity, failures: map[Op]float64{}}
	paths := map[string]bool{}
	for p := range d.names {
		paths[p] = true
	}
	for p := range d.durable {
		paths[p] = true
	}
	var sorted []string
	for p := range paths {
		sorted = append(sorted, p)
	}
	slices.Sort(sorted) // the outcome must depend only on the seed, not on map iteration order
	for _, p := range sorted {
		f := d.durable[p]
		if now := d.names[p]; now != f && d.random.IntN(2) == 0 {
			f = now
		}
		if f == nil {
			continue
		}
		b := d.surviving(f)
		g := &inode{data: b, durable: slices.Clone(b)}
		after.names[p], after.durable[p] = g, g
	}
	return after
}

// sectorSize is the number of bytes that a disk writes atomically.
const sectorSize = 512

// surviving returns the content of a file after a power failure: each sector, and the file's
// length, is randomly taken from the state after some number of the unsynced writes.
func (d *Disk) surviving(f *inode) []byte {
	versions := [][]byte{slices.Clone(f.durable)}
	for _, c := range f.unsynced {
		versions = append(versions, c.apply(slices.Clone(versions[len(versions)-1])))
	}
	draw := func() []byte {
		if d.random.IntN(2) == 0 {
			return versions[len(versions)-1]
		}
		return versions[d.random.IntN(len(versions))]
	}
	b := make([]byte, len(draw()))
	for at := 0; at < len(b); at += sectorSize {
		if v := draw(); at < len(v) {
			copy(b[at:min(at+sectorSize, len(b))], v[at:])
		}
	}
	return b
}

// Kill returns the disk as the next process sees it after the current process was killed, without
// injected faults.
func (d *Disk) Kill() *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &Disk{random: d.random, names: d.names, durable: d.durable, locks: map[string]string{}, capacity: d.capacity, failures: map[Op]float64{}}
}

// MkdirAll does nothing: a directory exists as soon as it contains a file.
func (d *Disk) MkdirAll(string) error { return nil }

// Create implements store.FS.
func (d *Disk) Create(path string) (store.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.names[path] != nil {
		return nil, &fs.PathError{Op: "open", Path: path, Err: fs.ErrExist}
	}
	if d.fails(OpCreate) {
		return nil, &fs.PathError{Op: "open", Path: path, Err: syscall.EIO}
	}
	f := &inode{}
	d.names[path] = f
	return &handle{d, f}, nil
}

// ReadFile implements store.FS.
func (d *Disk) ReadFile(path string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.names[path]
	if f == nil {
		return nil, &fs.PathError{Op: "open", Path: path, Err: fs.ErrNotExist}
	}
	return slices.Clone(f.data), nil
}

// WriteFile durably replaces a file's content without the journal's knowledge, as corruption or an
// operator would.
func (d *Disk) WriteFile(path string, b []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := &inode{data: b, durable: slices.Clone(b)}
	d.names[path], d.durable[path] = f, f
}

// ReadDir implements store.FS.
func (d *Disk) ReadDir(dir string) ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	seen := map[string]bool{}
	for p := range d.names {
		if rest, ok := strings.CutPrefix(p, dir+string(filepath.Separator)); ok {
			name, _, _ := strings.Cut(rest, string(filepath.Separator))
			seen[name] = true
		}
	}
	var names []string
	for n := range seen {
		names = append(names, n)
	}
	slices.Sort(names)
	return names, nil
}

// Remove implements store.FS.
func (d *Disk) Remove(path string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.names[path] == nil {
		return &fs.PathError{Op: "remove", Path: path, Err: fs.ErrNotExist}
	}
	if d.fails(OpRemove) {
		return &fs.PathError{Op: "remove", Path: path, Err: syscall.EIO}
	}
	delete(d.names, path)
	return nil
}

// Rename implements store.FS.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.names[from] == nil || d.fails(OpRename) {
		return &fs.PathError{Op: "rename", Path: from, Err: syscall.EIO}
	}
	d.names[to] = d.names[from]
	delete(d.names, from)
	return nil
}

// SyncDir implements store.FS.
func (d *Disk) SyncDir(dir string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fails(OpSyncDir) {
		return &fs.PathError{Op: "sync", Path: dir, Err: syscall.EIO}
	}
	for p := range d.durable {
		if filepath.Dir(p) == dir && d.names[p] == nil {
			delete(d.durable, p)
		}
	}
	for p, f := range d.names {
		if filepath.Dir(p) == dir {
			d.durable[p] = f
		}
	}
	return nil
}

// Free implements store.FS.
func (d *Disk) Free(string) (int64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(0, d.capacity-d.used()), nil
}

// Lock implements store.FS.
func (d *Disk) Lock(path, me string) (io.Closer, string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if owner, ok := d.locks[path]; ok {
		return nil, owner, store.ErrLocked
	}
	d.locks[path] = me
	return unlock{d, path}, "", nil
}

// Locked implements store.FS.
func (d *Disk) Locked(path string) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	owner, ok := d.locks[path]
	return owner, ok
}

// unlock releases a lock when it is closed.
type unlock struct {
	d    *Disk
	path string
}

func (u unlock) Close() error {
	u.d.mu.Lock()
	defer u.d.mu.Unlock()
	delete(u.d.locks, u.path)
	return nil
}

// handle is an open file.
type handle struct {
	d *Disk
	f *inode
}

var errClosed = errors.New("closed")

func (h *handle) Write(b []byte) (int, error) {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	if h.f == nil {
		return 0, errClosed
	}
	if h.d.fails(OpWrite) {
		return 0, fmt.Errorf("write: %w", syscall.EIO)
	}
	n, err := len(b), error(nil)
	if free := h.d.capacity - h.d.used(); int64(n) > free {
		n, err = int(max(0, free)), fmt.Errorf("write: %w", syscall.ENOSPC)
	}
	if h.d.fails(OpShort) {
		n, err = h.d.random.IntN(n+1), fmt.Errorf("write: %w", syscall.ENOSPC)
	}
	c := write{len(h.f.data), slices.Clone(b[:n])}
	if n > 0 {
		h.f.data = c.apply(h.f.data)
		h.f.unsynced = append(h.f.unsynced, c)
	}
	return n, err
}

func (h *handle) Sync() error {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	wait := h.f.unsynced
	h.f.unsynced = nil
	if h.d.fails(OpSync) {
		return fmt.Errorf("sync: %w", syscall.EIO) // as on Linux, later syncs do not retry these writes
	}
	for _, c := range wait {
		h.f.durable = c.apply(h.f.durable)
	}
	return nil
}

func (h *handle) Close() error {
	h.f = nil
	return nil
}
