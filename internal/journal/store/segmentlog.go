package store

import (
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"time"

	"sedgevale/internal/journal"
)

// segmentLog is the sequence of segments that one process writes. It is not safe for concurrent use and waits for the disk, but
// for syncs of records: between beginSync and endSync it can be written.
//
// After a failed write or sync the file is not written any more, since it is unknown whether its pages will ever reach the disk.
// The next segment is chained to the last record that is certainly durable, and the ones after it are written there again.
// Truncating the file instead was tried: a power failure can undo that and keep half of what was written over it, which looks
// like records that somebody has altered.
type segmentLog struct {
	fs         FS
	dir        string
	key        *journal.Key
	maxSegment int64    // bytes
	run        [16]byte // random id of this process

	file         File // nil: the next write begins a segment
	number       uint64
	written      int64       // bytes of file that were written without an error
	durableBytes int64       // of those, certainly on the disk
	fileMac      journal.Mac // that the next frame of file is chained to
	lastMac      journal.Mac // of the last record, in whichever segment
	lastSequence uint64      // of the last record
	lastRecordAt int64       // the latest time of a record in file, Unix microseconds

	durableMac         journal.Mac // of the last record that is certainly durable
	durableSequence    uint64      // of the same
	unsynced           []journal.Record
	syncing            *syncPoint // what the sync in flight makes durable; nil: none
	unsyncedOfPriorRun bool       // unsynced was written by the process before, whose id was priorRun
	priorRun           [16]byte

	table     *journal.JobTable // jobs that are open or wait for an operator
	extents   map[uint64]extent // of these jobs, by serial
	straddled straddledJobs     // resolved jobs that retention must copy all the same
	segments  []segment         // finished, by number
	stale     []string          // obsolete files that are still to be removed
	buffer    []byte            // for encoding, reused
	onProblem func(Problem)
}

// recovery is what openSegmentLog has found.
type recovery struct {
	open       [journal.Unknown + 1]int // by verdict: jobs that were open when the process before ended
	unresolved int                      // jobs that wait for an operator
	problems   []Problem
	clean      bool
}

// openSegmentLog replays the segments in a directory, to be continued. It writes nothing.
func openSegmentLog(fsys FS, dir string, key *journal.Key, limit int64, onProblem func(Problem)) (*segmentLog, recovery, error) {
	l := &segmentLog{fs: fsys, dir: dir, key: key, maxSegment: limit, table: journal.NewJobTable(), extents: map[uint64]extent{}, straddled: straddledJobs{}, onProblem: onProblem}
	_, _ = rand.Read(l.run[:])
	var rec recovery
	got, err := readSegments(fsys, dir, key, visitor{
		run:    func() { l.endProcess() },
		record: func(r *journal.Record, number uint64) { l.apply(r, number) },
		gap:    l.table.MarkMissingRecords,
	})
	if err != nil {
		return nil, rec, err
	}
	rec.open = l.endProcess()
	rec.unresolved, rec.problems, rec.clean = len(l.table.Jobs), got.problems, got.closed || len(got.segments) == 0
	l.number, l.lastSequence, l.lastMac, l.segments = got.highestNumber, got.lastSequence, got.lastMac, got.segments
	l.stale = got.stale
	// What the process before has not synced may be lost at the next power failure though it can be read now, so it is written
	// again.
	l.durableSequence, l.durableMac, l.unsynced = got.durableSequence, got.durableMac, got.unsynced
	l.priorRun, l.unsyncedOfPriorRun = got.run, len(got.unsynced) > 0
	return l, rec, nil
}

// endProcess notes the end of the process that wrote the records so far, and drops the jobs that are resolved by it. It
// returns the number of jobs that were open, by verdict.
func (l *segmentLog) endProcess() [journal.Unknown + 1]int {
	counts := l.table.EndProcess()
	for serial, j := range l.table.Jobs {
		l.removeResolved(serial, j)
	}
	return counts
}

// removeResolved drops a job if it is resolved.
func (l *segmentLog) removeResolved(serial uint64, j *journal.Job) {
	if !j.Resolved() {
		return
	}
	l.straddled.keep(j, l.extents[serial])
	l.table.Remove(serial)
	delete(l.extents, serial)
}

// apply replays a record of a segment. The table counts records that contradict others.
func (l *segmentLog) apply(r *journal.Record, number uint64) {
	j, _ := l.table.Apply(r)
	if j == nil {
		return
	}
	where, known := l.extents[j.Serial]
	switch {
	case !known || r.Kind == journal.CarriedOver:
		where = extent{first: number}
		delete(l.straddled, j.Serial)
	case r.Kind == journal.Intent && number > where.first:
		where.straddles = true
	}
	l.extents[j.Serial] = where
	l.removeResolved(j.Serial, j)
}

// write appends records; they are not durable yet. After an error none of them counts as written.
func (l *segmentLog) write(records []journal.Record) error {
	if l.file != nil && l.written > l.maxSegment && l.syncing == nil { // a segment may outgrow its limit during a sync
		if err := l.sync(); err != nil {
			return err
		}
		l.seal()
	}
	if l.file == nil {
		if err := l.beginSegment(); err != nil {
			return err
		}
	}
	buf, chain, n := l.appendFrames(l.buffer[:0], l.fileMac, l.durableBytes, records)
	l.buffer = buf
	if cap(l.buffer) > 1<<20 {
		l.buffer = nil
	}
	if err := l.appendBytes(buf); err != nil {
		return err
	}
	if n > 0 {
		l.fileMac, l.lastMac, l.lastSequence = chain, chain, l.lastSequence+n
	}
	l.unsynced = append(l.unsynced, records...)
	for i := range records {
		l.lastRecordAt = max(l.lastRecordAt, records[i].At)
		l.apply(&records[i], l.number)
	}
	return nil
}

// appendFrames encodes records and returns the Mac of the last and their number. A record that cannot be encoded is left out:
// nothing that a client has sent may keep the others from being written.
func (l *segmentLog) appendFrames(buf []byte, chain journal.Mac, durable int64, records []journal.Record) ([]byte, journal.Mac, uint64) {
	n := uint64(0)
	for i := range records {
		var err error
		if buf, chain, err = l.key.AppendFrame(buf, chain, durable, &records[i]); err != nil {
			l.onProblem(Problem{join(l.dir, segmentName(l.number)), l.written, "a record was left out: " + err.Error(), false})
			continue
		}
		n++
	}
	return buf, chain, n
}

// appendBytes writes to the file; after an error the file is abandoned.
func (l *segmentLog) appendBytes(b []byte) error {
	n, err := l.file.Write(b)
	if err == nil && n < len(b) {
		err = io.ErrShortWrite
	}
	if err == nil {
		l.written += int64(n)
		return nil
	}
	l.abandonFile()
	return err
}

// beginSegment begins a segment that is chained to the last durable record and has all later ones.
func (l *segmentLog) beginSegment() (err error) {
	l.number++ // also after a failure, which may leave an unfinished file
	// It is renamed once it is complete: an incomplete one would hide the records that it replaces.
	path := l.path() + unfinishedEnding
	f, err := l.fs.Create(path)
	if err != nil {
		return err
	}
	run := l.run
	if l.unsyncedOfPriorRun {
		run = l.priorRun
	}
	h := journal.Header{Number: l.number, Run: run, First: l.durableSequence + 1, Prev: l.durableMac}
	buf, mac := l.key.AppendHeader(nil, h)
	buf, chain, n := l.appendFrames(buf, mac, 0, l.unsynced)
	if w, werr := f.Write(buf); werr != nil || w < len(buf) {
		err = werr
		if err == nil {
			err = io.ErrShortWrite
		}
	}
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = l.fs.Rename(path, l.path())
	}
	if err == nil {
		err = l.fs.SyncDir(l.dir)
	}
	if err != nil {
		_ = f.Close()
		_ = l.fs.Remove(path) // if that fails too, the next start does it
		return err
	}
	l.file, l.written = f, int64(len(buf))
	l.fileMac, l.lastMac, l.lastSequence = chain, l.durableMac, l.durableSequence+n
	if n > 0 {
		l.lastMac = chain
	}
	l.markSynced()
	if l.unsyncedOfPriorRun {
		l.unsyncedOfPriorRun = false
		l.seal()
		return l.beginSegment()
	}
	return nil
}

// syncPoint is the state of a file when its sync began.
type syncPoint struct {
	file         File
	written      int64
	lastSequence uint64
	lastMac      journal.Mac
	records      int  // of unsynced that are in the file
	abandoned    bool // the file was abandoned meanwhile
}

func (l *segmentLog) currentSyncPoint() *syncPoint {
	return &syncPoint{file: l.file, written: l.written, lastSequence: l.lastSequence, lastMac: l.lastMac, records: len(l.unsynced)}
}

// markSynced notes that all records are durable.
func (l *segmentLog) markSynced() { l.markSyncedTo(l.currentSyncPoint()) }

func (l *segmentLog) markSyncedTo(m *syncPoint) {
	l.durableBytes, l.durableSequence, l.durableMac = m.written, m.lastSequence, m.lastMac
	left := copy(l.unsynced, l.unsynced[m.records:])
	clear(l.unsynced[left:])
	l.unsynced = l.unsynced[:left]
}

// beginSync returns a function that makes durable what was written so far. It may run concurrently to writes; endSync has to be
// called with its result.
func (l *segmentLog) beginSync() (do func() error) {
	if l.file == nil {
		err := l.sync()
		return func() error { return err }
	}
	l.syncing = l.currentSyncPoint()
	return l.syncing.file.Sync
}

var errAbandoned = errors.New("the file was abandoned while it was synced")

// endSync takes the result of what beginSync returned.
func (l *segmentLog) endSync(err error) error {
	m := l.syncing
	l.syncing = nil
	switch {
	case m == nil:
		return err
	case m.abandoned:
		_ = m.file.Close()
		return errors.Join(errAbandoned, err)
	case err != nil:
		l.abandonFile()
		return err
	}
	l.markSyncedTo(m)
	return nil
}

// sync makes durable what was written, and waits for it. No other sync may be in flight.
func (l *segmentLog) sync() error {
	if l.file == nil {
		if len(l.unsynced) == 0 {
			return nil
		}
		return l.beginSegment()
	}
	return l.endSync(l.beginSync()())
}

// seal ends the segment, whose records are durable.
func (l *segmentLog) seal() {
	if err := l.file.Close(); err != nil {
		l.onProblem(Problem{l.path(), l.written, "closing it: " + err.Error(), false})
	}
	l.file = nil
	l.segments = append(l.segments, segment{l.number, l.path(), l.written, l.lastRecordAt})
	l.lastRecordAt = 0
}

func (l *segmentLog) path() string { return join(l.dir, segmentName(l.number)) }

// abandonFile ends the segment after a failure. What was durable in it is read again, since a disk that fails a sync may have
// lost more than that.
func (l *segmentLog) abandonFile() {
	if l.syncing != nil && l.syncing.file == l.file {
		l.syncing.abandoned = true // endSync closes it
	} else {
		_ = l.file.Close()
	}
	l.file = nil
	l.segments = append(l.segments, segment{l.number, l.path(), l.written, l.lastRecordAt})
	if err := l.verifyDurable(); err != nil {
		l.onProblem(Problem{l.path(), 0, "it was durable and cannot be read back: " + err.Error(), false})
	}
	l.lastMac, l.lastSequence, l.lastRecordAt = l.durableMac, l.durableSequence, 0
}

var errRecordsMissing = errors.New("records are missing")

// verifyDurable reads the durable part of the file again and verifies its chain.
func (l *segmentLog) verifyDurable() error {
	b, err := l.fs.ReadFile(l.path())
	if err != nil {
		return err
	}
	_, mac, err := l.key.ReadHeader(b)
	if err != nil {
		return err
	}
	at := int64(journal.HeaderSize)
	for at < l.durableBytes {
		f, err := l.key.ReadFrame(b[at:], mac)
		if err != nil {
			return fmt.Errorf("at %d: %w", at, err)
		}
		mac, at = f.Mac, at+int64(f.Size)
	}
	if at != l.durableBytes {
		return errRecordsMissing
	}
	return nil
}

// bytes returns the size of all segments.
func (l *segmentLog) bytes() (n int64) {
	if l.file != nil {
		n = l.written
	}
	for _, s := range l.segments {
		n += s.bytes
	}
	return n
}

// beginPrune writes what the n oldest finished segments must not be dropped without: copies of the jobs in them that are not resolved or go
// on behind them, and a record that says which records were dropped. EndPrune may be called once those are durable.
func (l *segmentLog) beginPrune(now time.Time, n int) error {
	lastDropped := l.segments[n-1].number
	var records []journal.Record
	for serial, where := range l.extents {
		if j := l.table.Jobs[serial]; j != nil && where.first <= lastDropped {
			records = append(records, carriedOver(now, j))
		}
	}
	records = append(records, l.straddled.copies(now, lastDropped)...)
	// The records before the next segment go, whichever that is.
	dropped, err := l.lastSequenceBefore(n)
	if err != nil {
		return err
	}
	records = append(records, journal.Record{Kind: journal.Pruned, At: now.UnixMicro(), Count: dropped})
	return l.write(records)
}

// endPrune drops the n oldest finished segments.
func (l *segmentLog) endPrune(n int) {
	for _, s := range l.segments[:n] { // also one whose file cannot be removed: its records are obsolete
		l.stale = append(l.stale, s.path)
	}
	l.segments = l.segments[n:]
	l.removeStale()
}

// removeStale removes obsolete files, the oldest first. After a failure it has to be called again.
func (l *segmentLog) removeStale() {
	for len(l.stale) > 0 {
		if err := l.fs.Remove(l.stale[0]); err != nil && !notExist(err) {
			return
		}
		l.stale = l.stale[1:]
	}
}

// lastSequenceBefore returns the sequence number of the last record before a segment, given by its index. The number of finished
// segments stands for the current one.
func (l *segmentLog) lastSequenceBefore(i int) (uint64, error) {
	path := l.path()
	if i < len(l.segments) {
		path = l.segments[i].path
	} else if l.file == nil { // the next segment will follow the last record
		return l.durableSequence, nil
	}
	b, err := l.fs.ReadFile(path)
	if err != nil {
		return 0, err
	}
	h, _, err := l.key.ReadHeader(b)
	return h.First - 1, err
}

// close ends the log gracefully: with a record that says so.
func (l *segmentLog) close(now time.Time) error {
	err := l.write([]journal.Record{{Kind: journal.CleanShutdown, At: now.UnixMicro()}})
	if err == nil {
		err = l.sync()
	}
	if l.file != nil {
		err = errors.Join(err, l.file.Close())
		l.file = nil
	}
	return err
}
