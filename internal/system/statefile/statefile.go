// Package statefile keeps the durable state of a core scheduler on its disk.
//
// A generation is a snapshot file, written aside, synced and renamed, and a log of what came after it.
// Each start and each compaction begins a new generation; the older ones are removed once the names of
// the new one are durable. Frames have a length and a CRC-32C, so what a loss of power tore is found and
// left out: nothing after the first bad frame was ever acknowledged. Appends are committed in groups, one
// sync for all that wait.
package statefile

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"

	"golang.org/x/sys/unix"
)

const (
	formatVersion  = 2 // of the layout; another one is refused, never taken for an empty disk
	frameHeader    = 8
	maxFrame       = 64 << 20
	maxLogBytes    = 6 << 20  // bytes of log before a new generation
	maxQueuedBytes = 48 << 20 // bytes that wait for a slow disk
	snapshotPrefix = "state-"
	logPrefix      = "log-"
	tempSuffix     = ".aside"
)

var (
	crcTable  = crc32.MakeTable(crc32.Castagnoli)
	magic     = []byte("sedgevale-state\x00")
	endMarker = []byte("end")
)

// ErrQueueFull tells that the disk is too slow for more.
var ErrQueueFull = errors.New("statefile: too much waits for the disk")

// ErrLayout tells that a directory was written by another release.
var ErrLayout = errors.New("statefile: written by another release")

// Log appends entries to the newest generation.
type Log struct {
	dir      string
	snapshot func(emit func([]byte) error) error

	mu          sync.Mutex
	queue       []*Ticket
	queuedBytes int
	closed      bool
	wake        chan struct{}

	// Of the writer alone.
	generation   int64
	file         *os.File
	writtenBytes int64
}

// Ticket is an append under way.
type Ticket struct {
	payload []byte
	done    chan struct{}
	err     error
}

// Done is closed when the entry is durable or has failed.
func (t *Ticket) Done() <-chan struct{} { return t.done }

// Err returns how the append ended, once Done is closed.
func (t *Ticket) Err() error { return t.err }

// Open replays the newest whole generation in dir, entry by entry, and begins a new one. The state that
// snapshot emits must hold every entry that was appended so far; it is called from the writer.
func Open(dir string, replay func([]byte) error, snapshot func(emit func([]byte) error) error) (*Log, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("statefile: %w", err)
	}
	newest, err := Replay(dir, replay)
	if err != nil {
		return nil, err
	}
	l := &Log{dir: dir, snapshot: snapshot, wake: make(chan struct{}, 1), generation: newest}
	if err := l.rotate(); err != nil {
		return nil, err
	}
	go l.write()
	return l, nil
}

// Append queues an entry. The state that snapshots are made of must hold it already.
func (l *Log) Append(payload []byte) *Ticket {
	t := &Ticket{payload: payload, done: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		t.err = os.ErrClosed
		close(t.done)
		return t
	}
	if l.queuedBytes > maxQueuedBytes {
		t.err = ErrQueueFull
		close(t.done)
		return t
	}
	l.queue = append(l.queue, t)
	l.queuedBytes += len(payload)
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return t
}

// Close ends the writer. What waits for it fails.
func (l *Log) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.closed = true
		close(l.wake)
	}
}

func (l *Log) write() {
	for range l.wake {
		l.mu.Lock()
		batch := l.queue
		l.queue = nil
		l.queuedBytes = 0
		l.mu.Unlock()
		if len(batch) == 0 {
			continue
		}
		err := l.commit(batch)
		for _, t := range batch {
			t.err = err
			close(t.done)
		}
	}
}

// commit makes a batch durable, by a new generation where the log is long or a write to it has failed.
func (l *Log) commit(batch []*Ticket) error {
	if l.file == nil || l.writtenBytes > maxLogBytes {
		return l.rotate()
	}
	var buffer []byte
	for _, t := range batch {
		buffer = appendFrame(buffer, t.payload)
	}
	_, err := l.file.Write(buffer)
	if err == nil {
		err = unix.Fdatasync(int(l.file.Fd()))
	}
	if err != nil {
		l.file.Close()
		l.file = nil
		return fmt.Errorf("statefile: %w", err)
	}
	l.writtenBytes += int64(len(buffer))
	return nil
}

func appendFrame(buffer, payload []byte) []byte {
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.LittleEndian.AppendUint32(buffer, crc32.Checksum(payload, crcTable))
	return append(buffer, payload...)
}

// rotate writes a snapshot of the whole state and begins an empty log beside it.
func (l *Log) rotate() error {
	next := l.generation + 1
	if err := l.writeSnapshot(next); err != nil {
		return fmt.Errorf("statefile: snapshot %d: %w", next, err)
	}
	file, err := os.OpenFile(filepath.Join(l.dir, fileName(logPrefix, next)), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o644)
	if err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = syncDir(l.dir)
	}
	if err != nil {
		return fmt.Errorf("statefile: log %d: %w", next, err)
	}
	if l.file != nil {
		l.file.Close()
	}
	l.file = file
	l.generation = next
	l.writtenBytes = 0
	l.removeBelow(next)
	return nil
}

func (l *Log) writeSnapshot(generation int64) error {
	aside := filepath.Join(l.dir, fileName(snapshotPrefix, generation)+tempSuffix)
	file, err := os.Create(aside)
	if err != nil {
		return err
	}
	defer file.Close()
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
	if err := os.Rename(aside, strings.TrimSuffix(aside, tempSuffix)); err != nil {
		return err
	}
	return syncDir(l.dir)
}

func syncDir(dir string) error {
	handle, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer handle.Close()
	return handle.Sync()
}

// removeBelow drops older generations. What cannot be removed is tried again at the next rotation.
func (l *Log) removeBelow(generation int64) {
	entries, err := os.ReadDir(l.dir)
	if err != nil {
		return
	}
	for _, entry := range entries {
		old, ok := generationOf(entry.Name())
		if ok && old < generation {
			_ = os.Remove(filepath.Join(l.dir, entry.Name()))
		}
	}
}

func fileName(prefix string, generation int64) string {
	return fmt.Sprintf("%s%08d", prefix, generation)
}

func generationOf(file string) (int64, bool) {
	file = strings.TrimSuffix(file, tempSuffix)
	for _, prefix := range []string{snapshotPrefix, logPrefix} {
		if digits, ok := strings.CutPrefix(file, prefix); ok {
			n, err := strconv.ParseInt(digits, 10, 64)
			return n, err == nil
		}
	}
	return 0, false
}

// Replay reads the newest generation whose snapshot is whole, and the logs from it on, and returns the
// newest generation that any file in dir bears.
func Replay(dir string, replay func([]byte) error) (newest int64, err error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0, fmt.Errorf("statefile: %w", err)
	}
	var snapshots, logs []int64
	for _, entry := range entries {
		generation, ok := generationOf(entry.Name())
		if !ok {
			continue
		}
		newest = max(newest, generation)
		switch {
		case strings.HasSuffix(entry.Name(), tempSuffix):
		case strings.HasPrefix(entry.Name(), snapshotPrefix):
			snapshots = append(snapshots, generation)
		default:
			logs = append(logs, generation)
		}
	}
	sort.Slice(snapshots, func(i, j int) bool { return snapshots[i] > snapshots[j] })
	sort.Slice(logs, func(i, j int) bool { return logs[i] < logs[j] })
	from := int64(0)
	for _, generation := range snapshots {
		path := filepath.Join(dir, fileName(snapshotPrefix, generation))
		if err := checkLayout(path); err != nil {
			return newest, err
		}
		payloads, whole := readSnapshot(path)
		if !whole {
			continue
		}
		for _, payload := range payloads {
			if err := replay(payload); err != nil {
				return newest, fmt.Errorf("statefile: snapshot %d: %w", generation, err)
			}
		}
		from = generation
		break
	}
	if from == 0 {
		return newest, nil // a log without its snapshot is no state: the disk counts as empty
	}
	for _, generation := range logs {
		if generation < from {
			continue
		}
		payloads, _ := readFrames(filepath.Join(dir, fileName(logPrefix, generation)), 0)
		for _, payload := range payloads {
			if err := replay(payload); err != nil {
				return newest, fmt.Errorf("statefile: log %d: %w", generation, err)
			}
		}
	}
	return newest, nil
}

// checkLayout returns an error where a snapshot has a layout other than this release's.
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
	defer file.Close()
	head := make([]byte, len(magic)+1)
	_, err = io.ReadFull(file, head)
	return head, err
}

// readSnapshot returns the entries of a snapshot and whether it is whole.
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

// readFrames returns the whole frames of a file and how many bytes behind them are no frame.
func readFrames(path string, from int64) (payloads [][]byte, torn int64) {
	text, err := os.ReadFile(path)
	if err != nil || int64(len(text)) < from {
		return nil, 0
	}
	text = text[from:]
	for len(text) >= frameHeader {
		size := binary.LittleEndian.Uint32(text)
		sum := binary.LittleEndian.Uint32(text[4:])
		if size > maxFrame || int(size) > len(text)-frameHeader {
			break
		}
		payload := text[frameHeader : frameHeader+int(size)]
		if crc32.Checksum(payload, crcTable) != sum {
			break
		}
		payloads = append(payloads, payload)
		text = text[frameHeader+int(size):]
	}
	return payloads, int64(len(text))
}

// FileInfo tells of one file of a state directory.
type FileInfo struct {
	Name   string
	Bytes  int64
	Frames int   // whole frames
	Torn   int64 // bytes at the end that are no whole frame
	Whole  bool  // a snapshot with its end; always true for a log
	Live   bool  // it is read at a start
}

// Inspect tells what the files of a state directory hold. It changes nothing.
func Inspect(dir string) ([]FileInfo, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("statefile: %w", err)
	}
	var infos []FileInfo
	newest := int64(-1)
	for _, entry := range entries {
		generation, ok := generationOf(entry.Name())
		if !ok {
			continue
		}
		info := inspectFile(dir, entry.Name())
		snapshot := strings.HasPrefix(entry.Name(), snapshotPrefix) && !strings.HasSuffix(entry.Name(), tempSuffix)
		if snapshot && info.Whole {
			newest = max(newest, generation)
		}
		infos = append(infos, info)
	}
	for i := range infos {
		generation, _ := generationOf(infos[i].Name)
		isLog := strings.HasPrefix(infos[i].Name, logPrefix)
		infos[i].Live = newest >= 0 && infos[i].Whole && (isLog && generation >= newest || !isLog && generation == newest)
	}
	return infos, nil
}

func inspectFile(dir, file string) FileInfo {
	path := filepath.Join(dir, file)
	info := FileInfo{Name: file}
	if stat, err := os.Stat(path); err == nil {
		info.Bytes = stat.Size()
	}
	if strings.HasPrefix(file, logPrefix) {
		payloads, torn := readFrames(path, 0)
		info.Frames, info.Torn, info.Whole = len(payloads), torn, true
		return info
	}
	payloads, whole := readSnapshot(path)
	info.Frames, info.Whole = len(payloads), whole && !strings.HasSuffix(file, tempSuffix)
	if !whole {
		info.Torn = info.Bytes
	}
	return info
}
