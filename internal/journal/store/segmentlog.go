package store

import (
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"time"

	"sedgevale/internal/journal"
)

// segmentLog is a log that one process writes: a sequence of segments. It is not safe for concurrent use. Its methods block on
// disk I/O, except that it can be written between beginSync and endSync while a sync is in flight.
//
// After a failed write or sync the file is no longer written, since it is unknown whether its pages will ever reach the disk. The
// next segment is chained to the last record known to be durable, and the records after it are rewritten there. Truncating the
// file instead is unsafe: a power failure can undo the truncation and keep half of the data written over it, which is
// indistinguishable from altered records.
type segmentLog struct {
	fs           FS
	dir          string
	key          *journal.Key
	segmentBytes int64    // size after which the next write begins another segment
	runID        [16]byte // random ID of this process

	file          File // nil: the next write creates a segment
	currentNumber uint64
	writtenBytes  int64       // bytes written to file without an error
	durableBytes  int64       // bytes of file that are known to be on disk
	fileMAC       journal.MAC // MAC that the next frame of file is chained to
	lastMAC       journal.MAC // MAC of the last record in any segment
	lastSequence  uint64      // sequence number of the last record
	lastRecordAt  int64       // latest time of a record in file, in Unix microseconds

	durableMAC         journal.MAC      // MAC of the last record known to be durable
	durableSequence    uint64           // sequence number of that record
	unsynced           []journal.Record // records after the last durable one
	syncInFlight       *syncPoint       // state that the sync in flight makes durable; nil: none
	unsyncedOfPriorRun bool             // the preceding process, with priorRunID, wrote the records in unsynced
	priorRunID         [16]byte

	table         *journal.JobTable    // jobs that are open or wait for an operator's verdict
	extents       map[uint64]jobExtent // extents of these jobs by serial
	spanning      spanningJobs         // resolved jobs that retention must copy
	segments      []segment            // finished segments, sorted by number
	obsoleteFiles []string             // files that remain to be removed
	buffer        []byte               // encoding buffer, reused between writes
	onProblem     func(Problem)
}

// recovery summarizes the state of a log that openSegmentLog found.
type recovery struct {
	interruptedJobs [journal.Unknown + 1]int // by verdict: jobs that were open when the preceding process ended
	unresolvedJobs  int                      // jobs that wait for an operator's verdict
	problems        []Problem
	cleanShutdown   bool
}

// openSegmentLog replays the segments in a directory, after which the log can be continued. It writes nothing.
func openSegmentLog(fsys FS, dir string, key *journal.Key, segmentBytes int64, onProblem func(Problem)) (*segmentLog, recovery, error) {
	l := &segmentLog{fs: fsys, dir: dir, key: key, segmentBytes: segmentBytes, table: journal.NewJobTable(), extents: map[uint64]jobExtent{}, spanning: spanningJobs{}, onProblem: onProblem}
	_, _ = rand.Read(l.runID[:])
	var rec recovery
	replayed, err := readSegments(fsys, dir, key, visitor{
		processEnd: func() { l.endProcess() },
		record:     func(r *journal.Record, number uint64) { l.apply(r, number) },
		gap:        l.table.MarkMissingRecords,
	})
	if err != nil {
		return nil, rec, err
	}
	rec.interruptedJobs = l.endProcess()
	rec.unresolvedJobs, rec.problems, rec.cleanShutdown = len(l.table.Jobs), replayed.problems, replayed.closed || len(replayed.segments) == 0
	l.currentNumber, l.lastSequence, l.lastMAC, l.segments = replayed.highestNumber, replayed.lastSequence, replayed.lastMAC, replayed.segments
	l.obsoleteFiles = replayed.obsoleteFiles
	// Records that the preceding process did not sync can be read now but may be lost in a power failure, so they are rewritten.
	l.durableSequence, l.durableMAC, l.unsynced = replayed.durableSequence, replayed.durableMAC, replayed.unsynced
	l.priorRunID, l.unsyncedOfPriorRun = replayed.runID, len(replayed.unsynced) > 0
	return l, rec, nil
}

// endProcess handles the end of the process that wrote the records so far, and removes the jobs that are thereby resolved. It
// returns the number of jobs that were open, by verdict.
func (l *segmentLog) endProcess() [journal.Unknown + 1]int {
	counts := l.table.EndProcess()
	for serial, j := range l.table.Jobs {
		l.removeResolved(serial, j)
	}
	return counts
}

// removeResolved removes a job from the table if it is resolved.
func (l *segmentLog) removeResolved(serial uint64, j *journal.Job) {
	if !j.Resolved() {
		return
	}
	l.spanning.add(j, l.extents[serial])
	l.table.Remove(serial)
	delete(l.extents, serial)
}

// apply replays a record of a segment. Contradictory records are counted by the table.
func (l *segmentLog) apply(r *journal.Record, number uint64) {
	j, _ := l.table.Apply(r)
	if j == nil {
		return
	}
	extent, known := l.extents[j.Serial]
	switch {
	case !known || r.Kind == journal.CarriedOver:
		extent = jobExtent{firstSegment: number}
		delete(l.spanning, j.Serial)
	case r.Kind == journal.Intent && number > extent.firstSegment:
		extent.spansSegments = true
	}
	l.extents[j.Serial] = extent
	l.removeResolved(j.Serial, j)
}

// write appends records, which are not durable until the next sync. After an error none of them counts as written.
func (l *segmentLog) write(records []journal.Record) error {
	if l.file != nil && l.writtenBytes > l.segmentBytes && l.syncInFlight == nil { // a segment may exceed its limit during a sync
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
	buf, chain, n := l.appendFrames(l.buffer[:0], l.fileMAC, l.durableBytes, records)
	l.buffer = buf
	if cap(l.buffer) > 1<<20 {
		l.buffer = nil
	}
	if err := l.appendBytes(buf); err != nil {
		return err
	}
	if n > 0 {
		l.fileMAC, l.lastMAC, l.lastSequence = chain, chain, l.lastSequence+n
	}
	l.unsynced = append(l.unsynced, records...)
	for i := range records {
		l.lastRecordAt = max(l.lastRecordAt, records[i].At)
		l.apply(&records[i], l.currentNumber)
	}
	return nil
}

// appendFrames encodes records and returns the MAC of the last one and their number. It omits a record that cannot be encoded,
// so that data from a client cannot prevent other records from being written.
func (l *segmentLog) appendFrames(buf []byte, chain journal.MAC, durable int64, records []journal.Record) ([]byte, journal.MAC, uint64) {
	n := uint64(0)
	for i := range records {
		var err error
		if buf, chain, err = l.key.AppendFrame(buf, chain, durable, &records[i]); err != nil {
			l.onProblem(Problem{join(l.dir, segmentName(l.currentNumber)), l.writtenBytes, "omitted a record that cannot be encoded: " + err.Error(), false})
			continue
		}
		n++
	}
	return buf, chain, n
}

// appendBytes writes to the file and abandons the file after an error.
func (l *segmentLog) appendBytes(b []byte) error {
	n, err := l.file.Write(b)
	if err == nil && n < len(b) {
		err = io.ErrShortWrite
	}
	if err == nil {
		l.writtenBytes += int64(n)
		return nil
	}
	l.abandonFile()
	return err
}

// beginSegment creates a segment that is chained to the last durable record and contains all later records.
func (l *segmentLog) beginSegment() (err error) {
	l.currentNumber++ // incremented even if creation fails, which may leave an unfinished file
	// The file is renamed once it is complete: an incomplete segment would hide the records that it replaces.
	path := l.currentPath() + unfinishedSuffix
	f, err := l.fs.Create(path)
	if err != nil {
		return err
	}
	run := l.runID
	if l.unsyncedOfPriorRun {
		run = l.priorRunID
	}
	h := journal.Header{Number: l.currentNumber, RunID: run, FirstSequence: l.durableSequence + 1, PrevMAC: l.durableMAC}
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
		err = l.fs.Rename(path, l.currentPath())
	}
	if err == nil {
		err = l.fs.SyncDir(l.dir)
	}
	if err != nil {
		_ = f.Close()
		_ = l.fs.Remove(path) // if this fails too, the next start removes the file
		return err
	}
	l.file, l.writtenBytes = f, int64(len(buf))
	l.fileMAC, l.lastMAC, l.lastSequence = chain, l.durableMAC, l.durableSequence+n
	if n > 0 {
		l.lastMAC = chain
	}
	l.markSynced()
	if l.unsyncedOfPriorRun {
		l.unsyncedOfPriorRun = false
		l.seal()
		return l.beginSegment()
	}
	return nil
}

// syncPoint is the state of a file at the start of its sync.
type syncPoint struct {
	file         File
	writtenBytes int64
	lastSequence uint64
	lastMAC      journal.MAC
	records      int  // number of unsynced records that are in the file
	abandoned    bool // the file was abandoned during the sync
}

func (l *segmentLog) currentSyncPoint() *syncPoint {
	return &syncPoint{file: l.file, writtenBytes: l.writtenBytes, lastSequence: l.lastSequence, lastMAC: l.lastMAC, records: len(l.unsynced)}
}

// markSynced marks all records as durable.
func (l *segmentLog) markSynced() { l.markSyncedTo(l.currentSyncPoint()) }

func (l *segmentLog) markSyncedTo(point *syncPoint) {
	l.durableBytes, l.durableSequence, l.durableMAC = point.writtenBytes, point.lastSequence, point.lastMAC
	remaining := copy(l.unsynced, l.unsynced[point.records:])
	clear(l.unsynced[remaining:])
	l.unsynced = l.unsynced[:remaining]
}

// beginSync returns a function that syncs the records written so far. It may run concurrently with writes; endSync must be called
// with its result.
func (l *segmentLog) beginSync() (do func() error) {
	if l.file == nil {
		err := l.sync()
		return func() error { return err }
	}
	l.syncInFlight = l.currentSyncPoint()
	return l.syncInFlight.file.Sync
}

var errAbandoned = errors.New("segment file was abandoned during its sync")

// endSync handles the result of the function that beginSync returned.
func (l *segmentLog) endSync(err error) error {
	point := l.syncInFlight
	l.syncInFlight = nil
	switch {
	case point == nil:
		return err
	case point.abandoned:
		_ = point.file.Close()
		return errors.Join(errAbandoned, err)
	case err != nil:
		l.abandonFile()
		return err
	}
	l.markSyncedTo(point)
	return nil
}

// sync syncs the written records and waits for the result. No other sync may be in flight.
func (l *segmentLog) sync() error {
	if l.file == nil {
		if len(l.unsynced) == 0 {
			return nil
		}
		return l.beginSegment()
	}
	return l.endSync(l.beginSync()())
}

// seal closes the current segment, whose records must be durable.
func (l *segmentLog) seal() {
	if err := l.file.Close(); err != nil {
		l.onProblem(Problem{l.currentPath(), l.writtenBytes, "cannot close the segment file: " + err.Error(), false})
	}
	l.file = nil
	l.segments = append(l.segments, segment{l.currentNumber, l.currentPath(), l.writtenBytes, l.lastRecordAt})
	l.lastRecordAt = 0
}

func (l *segmentLog) currentPath() string { return join(l.dir, segmentName(l.currentNumber)) }

// abandonFile closes the current segment after a failure. It verifies the durable part again, since a disk that fails a sync may
// have lost more than the unsynced data.
func (l *segmentLog) abandonFile() {
	if l.syncInFlight != nil && l.syncInFlight.file == l.file {
		l.syncInFlight.abandoned = true // endSync closes it
	} else {
		_ = l.file.Close()
	}
	l.file = nil
	l.segments = append(l.segments, segment{l.currentNumber, l.currentPath(), l.writtenBytes, l.lastRecordAt})
	if err := l.verifyDurable(); err != nil {
		l.onProblem(Problem{l.currentPath(), 0, "durable records cannot be read back: " + err.Error(), false})
	}
	l.lastMAC, l.lastSequence, l.lastRecordAt = l.durableMAC, l.durableSequence, 0
}

var errDurableOffsetMismatch = errors.New("frames do not end at the durable offset")

// verifyDurable rereads the durable part of the file and verifies its chain.
func (l *segmentLog) verifyDurable() error {
	b, err := l.fs.ReadFile(l.currentPath())
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
			return fmt.Errorf("frame at offset %d: %w", at, err)
		}
		mac, at = f.MAC, at+int64(f.Size)
	}
	if at != l.durableBytes {
		return errDurableOffsetMismatch
	}
	return nil
}

// totalBytes returns the size of all segments.
func (l *segmentLog) totalBytes() (n int64) {
	if l.file != nil {
		n = l.writtenBytes
	}
	for _, s := range l.segments {
		n += s.bytes
	}
	return n
}

// beginPrune writes the records that must be durable before the n oldest finished segments are dropped: copies of the jobs in
// them that are unresolved or continue in later segments, and a record of which records were dropped. endPrune may be called
// once these are durable.
func (l *segmentLog) beginPrune(now time.Time, n int) error {
	lastDropped := l.segments[n-1].number
	var records []journal.Record
	for serial, extent := range l.extents {
		if j := l.table.Jobs[serial]; j != nil && extent.firstSegment <= lastDropped {
			records = append(records, carriedOverRecord(now, j))
		}
	}
	records = append(records, l.spanning.copies(now, lastDropped)...)
	// All records before the first remaining segment are dropped, whether that segment is finished or current.
	dropped, err := l.lastSequenceBefore(n)
	if err != nil {
		return err
	}
	records = append(records, journal.Record{Kind: journal.Pruned, At: now.UnixMicro(), Count: dropped})
	return l.write(records)
}

// endPrune drops the n oldest finished segments.
func (l *segmentLog) endPrune(n int) {
	for _, s := range l.segments[:n] { // including a segment whose file cannot be removed, since its records are obsolete
		l.obsoleteFiles = append(l.obsoleteFiles, s.path)
	}
	l.segments = l.segments[n:]
	l.removeObsoleteFiles()
}

// removeObsoleteFiles removes obsolete files, oldest first. It stops at the first failure; the next call retries.
func (l *segmentLog) removeObsoleteFiles() {
	for len(l.obsoleteFiles) > 0 {
		if err := l.fs.Remove(l.obsoleteFiles[0]); err != nil && !isNotExist(err) {
			return
		}
		l.obsoleteFiles = l.obsoleteFiles[1:]
	}
}

// lastSequenceBefore returns the sequence number of the last record before the segment with index i. An index equal to the
// number of finished segments denotes the current segment.
func (l *segmentLog) lastSequenceBefore(i int) (uint64, error) {
	path := l.currentPath()
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
	return h.FirstSequence - 1, err
}

// close writes a CleanShutdown record and closes the log.
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
