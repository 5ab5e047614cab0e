package store

import (
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"time"

	"sedgevale/internal/journal"
)

// lane is the segments that one process writes. It is for one goroutine and waits for
// the disk, but for syncs of records: between beginSync and endSync it can be written.
//
// After a failed write or sync the file is not written any more: whether its pages will
// ever reach the disk is then unknown. The next segment follows on the last record that
// is surely durable, and what came after that is written there again. Cutting the file
// back instead was tried: a power cut can undo the cut and keep the half of what was
// written over it, which looks like records that somebody has altered.
type lane struct {
	fs    FS
	dir   string
	key   *journal.Key
	limit int64 // bytes of a segment
	run   [16]byte

	file    File // nil: the next write begins a segment
	number  uint64
	off     int64       // bytes written and good
	durable int64       // of those, surely on the disk
	chain   journal.Mac // on which the next frame follows, in this file
	tip     journal.Mac // of the last record, whichever segment has it
	seq     uint64      // of the last record
	last    int64       // time of the last record

	durTip journal.Mac // the same at the last good sync
	durSeq uint64
	pend   []journal.Record // written since, or to be written again
	mark   *syncMark        // what the sync that is under way makes durable; nil for none
	behind bool             // pend is of the process before, whose run was
	before [16]byte

	book     *journal.JobTable // open jobs, and those that an operator must look at
	first    map[uint64]uint64 // by serial: the segment with the oldest record of such a job
	segments []segment         // sealed
	stale    []string          // files that do not count any more
	buf      []byte
	doubts   func(Problem)
}

// recovery is what was found at the start.
type recovery struct {
	open     [journal.Unknown + 1]int // by verdict: jobs that the process before had open
	kept     int                      // jobs that wait for an operator
	problems []Problem
	clean    bool
}

// openLane reads what there is and gets ready to go on after it. It writes nothing.
func openLane(fsys FS, dir string, key *journal.Key, limit int64, doubts func(Problem)) (*lane, recovery, error) {
	l := &lane{fs: fsys, dir: dir, key: key, limit: limit, book: journal.NewJobTable(), first: map[uint64]uint64{}, doubts: doubts}
	_, _ = rand.Read(l.run[:])
	var rec recovery
	got, err := readLane(fsys, dir, key, visitor{
		run:    func() { l.died() },
		record: func(r *journal.Record, number uint64) { l.learn(r, number) },
		gap:    l.book.MarkMissingRecords,
	})
	if err != nil {
		return nil, rec, err
	}
	rec.open = l.died()
	rec.kept, rec.problems, rec.clean = len(l.book.Jobs), got.problems, got.closed || len(got.segments) == 0
	l.number, l.seq, l.tip, l.segments = got.number, got.seq, got.tip, got.segments
	l.stale = got.stale
	// What the process before had not synced may be gone at the next power cut though it
	// can be read now, so it is written again.
	l.durSeq, l.durTip, l.pend = got.durSeq, got.durTip, got.after
	l.before, l.behind = got.run, len(got.after) > 0
	return l, rec, nil
}

// died closes the books of a process that is gone, and forgets what nobody need look at.
func (l *lane) died() [journal.Unknown + 1]int {
	counts := l.book.EndProcess()
	for serial, j := range l.book.Jobs {
		l.forget(serial, j)
	}
	return counts
}

func (l *lane) forget(serial uint64, j *journal.Job) {
	if j.Resolved() {
		l.book.Remove(serial)
		delete(l.first, serial)
	}
}

// learn keeps the book. A record that does not fit was counted there.
func (l *lane) learn(r *journal.Record, number uint64) {
	j, _ := l.book.Apply(r)
	if j == nil {
		return
	}
	if _, ok := l.first[j.Serial]; !ok || r.Kind == journal.CarriedOver {
		l.first[j.Serial] = number
	}
	l.forget(j.Serial, j)
}

// write appends records; they are not durable yet. After an error none of them is in
// the journal.
func (l *lane) write(recs []journal.Record) error {
	if l.file != nil && l.off > l.limit && l.mark == nil { // the limit may be passed by what comes during a sync
		if err := l.sync(); err != nil {
			return err
		}
		l.seal()
	}
	if l.file == nil {
		if err := l.next(); err != nil {
			return err
		}
	}
	buf, chain, n := l.frames(l.buf[:0], l.chain, l.durable, recs)
	l.buf = buf
	if cap(l.buf) > 1<<20 {
		l.buf = nil
	}
	if err := l.put(buf); err != nil {
		return err
	}
	if n > 0 {
		l.chain, l.tip, l.seq = chain, chain, l.seq+n
	}
	l.pend = append(l.pend, recs...)
	for i := range recs {
		l.last = max(l.last, recs[i].At)
		l.learn(&recs[i], l.number)
	}
	return nil
}

// frames encodes records. One that cannot be is left out: nothing that was read from a
// client may keep the others from being written.
func (l *lane) frames(buf []byte, chain journal.Mac, durable int64, recs []journal.Record) ([]byte, journal.Mac, uint64) {
	n := uint64(0)
	for i := range recs {
		var err error
		if buf, chain, err = l.key.AppendFrame(buf, chain, durable, &recs[i]); err != nil {
			l.doubts(Problem{join(l.dir, segmentName(l.number)), l.off, "a record was left out: " + err.Error(), false})
			continue
		}
		n++
	}
	return buf, chain, n
}

// put appends to the file, whole or not at all.
func (l *lane) put(b []byte) error {
	n, err := l.file.Write(b)
	if err == nil && n < len(b) {
		err = io.ErrShortWrite
	}
	if err == nil {
		l.off += int64(n)
		return nil
	}
	l.distrust()
	return err
}

// next begins a segment that follows on the last durable record.
func (l *lane) next() (err error) {
	l.number++ // also if it fails: a file that is half made is left behind, or was
	// It gets its name once it is whole: half of it would hide what it is to replace.
	path := l.path() + halfEnding
	f, err := l.fs.Create(path)
	if err != nil {
		return err
	}
	run := l.run
	if l.behind {
		run = l.before
	}
	h := journal.Header{Number: l.number, Run: run, First: l.durSeq + 1, Prev: l.durTip}
	buf, mac := l.key.AppendHeader(nil, h)
	buf, chain, n := l.frames(buf, mac, 0, l.pend)
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
		_ = l.fs.Remove(path) // where this fails too, the next start does it
		return err
	}
	l.file, l.off = f, int64(len(buf))
	l.chain, l.tip, l.seq = chain, l.durTip, l.durSeq+n
	if n > 0 {
		l.tip = chain
	}
	l.synced()
	if l.behind {
		l.behind = false
		l.seal()
		return l.next()
	}
	return nil
}

// syncMark is how far a file was written when its sync began.
type syncMark struct {
	file    File
	off     int64
	seq     uint64
	tip     journal.Mac
	records int  // of pend
	given   bool // the file was given up meanwhile
}

func (l *lane) markNow() *syncMark {
	return &syncMark{file: l.file, off: l.off, seq: l.seq, tip: l.tip, records: len(l.pend)}
}

// synced notes that all that was written is durable.
func (l *lane) synced() { l.syncedTo(l.markNow()) }

func (l *lane) syncedTo(m *syncMark) {
	l.durable, l.durSeq, l.durTip = m.off, m.seq, m.tip
	left := copy(l.pend, l.pend[m.records:])
	clear(l.pend[left:])
	l.pend = l.pend[:left]
}

// beginSync returns what makes all that was written so far durable. That may run beside what the lane writes meanwhile;
// endSync takes its result.
func (l *lane) beginSync() (do func() error) {
	if l.file == nil {
		err := l.sync()
		return func() error { return err }
	}
	l.mark = l.markNow()
	return l.mark.file.Sync
}

var errGivenUp = errors.New("the file was given up while it was synced")

// endSync takes the result of a sync.
func (l *lane) endSync(err error) error {
	m := l.mark
	l.mark = nil
	switch {
	case m == nil:
		return err
	case m.given:
		_ = m.file.Close()
		return errors.Join(errGivenUp, err)
	case err != nil:
		l.distrust()
		return err
	}
	l.syncedTo(m)
	return nil
}

// sync makes all that was written durable, and waits for it. None may be under way.
func (l *lane) sync() error {
	if l.file == nil {
		if len(l.pend) == 0 {
			return nil
		}
		return l.next()
	}
	return l.endSync(l.beginSync()())
}

// seal ends a segment that is durable.
func (l *lane) seal() {
	if err := l.file.Close(); err != nil {
		l.doubts(Problem{l.path(), l.off, "closing it: " + err.Error(), false})
	}
	l.file = nil
	l.segments = append(l.segments, segment{l.number, l.path(), l.off, l.last})
	l.last = 0
}

func (l *lane) path() string { return join(l.dir, segmentName(l.number)) }

// distrust gives the file up. What was durable is read again, since a disk that fails
// a sync may have lost more than that.
func (l *lane) distrust() {
	if l.mark != nil && l.mark.file == l.file {
		l.mark.given = true // endSync closes it
	} else {
		_ = l.file.Close()
	}
	l.file = nil
	l.segments = append(l.segments, segment{l.number, l.path(), l.off, l.last})
	if err := l.verify(); err != nil {
		l.doubts(Problem{l.path(), 0, "it was durable and cannot be read back: " + err.Error(), false})
	}
	l.tip, l.seq, l.last = l.durTip, l.durSeq, 0
}

var errShrunk = errors.New("records are missing")

func (l *lane) verify() error {
	b, err := l.fs.ReadFile(l.path())
	if err != nil {
		return err
	}
	_, mac, err := l.key.ReadHeader(b)
	if err != nil {
		return err
	}
	at := int64(journal.HeaderSize)
	for at < l.durable {
		f, err := l.key.ReadFrame(b[at:], mac)
		if err != nil {
			return fmt.Errorf("at %d: %w", at, err)
		}
		mac, at = f.Mac, at+int64(f.Size)
	}
	if at != l.durable {
		return errShrunk
	}
	return nil
}

// bytes returns how much the segments hold.
func (l *lane) bytes() (n int64) {
	if l.file != nil {
		n = l.off
	}
	for _, s := range l.segments {
		n += s.bytes
	}
	return n
}

// beginPrune writes what allows to drop the n oldest sealed segments: again what they say of jobs that must be kept, and that
// they are dropped on purpose. Only once that is durable, endPrune drops the files.
func (l *lane) beginPrune(now time.Time, n int) error {
	var recs []journal.Record
	for serial, number := range l.first {
		if j := l.book.Jobs[serial]; j != nil && number <= l.segments[n-1].number {
			whole := *j
			whole.Attempts = append([]journal.Attempt(nil), j.Attempts...)
			recs = append(recs, journal.Record{Kind: journal.CarriedOver, Serial: serial, At: now.UnixMicro(), CarriedJob: &whole})
		}
	}
	// The records before the next segment go, whichever that is.
	dropped, err := l.lastBefore(n)
	if err != nil {
		return err
	}
	recs = append(recs, journal.Record{Kind: journal.Pruned, At: now.UnixMicro(), Count: dropped})
	return l.write(recs)
}

// endPrune drops the n oldest sealed segments.
func (l *lane) endPrune(n int) {
	for _, s := range l.segments[:n] { // also if it cannot be removed: nothing in it counts any more
		l.stale = append(l.stale, s.path)
	}
	l.segments = l.segments[n:]
	l.clean()
}

// clean removes files that do not count any more, the oldest first.
func (l *lane) clean() {
	for len(l.stale) > 0 {
		if err := l.fs.Remove(l.stale[0]); err != nil && !missing(err) {
			return // another time
		}
		l.stale = l.stale[1:]
	}
}

// lastBefore returns the sequence number of the last record before a segment.
func (l *lane) lastBefore(i int) (uint64, error) {
	path := l.path()
	if i < len(l.segments) {
		path = l.segments[i].path
	} else if l.file == nil { // all was sealed; what comes next follows on the last
		return l.durSeq, nil
	}
	b, err := l.fs.ReadFile(path)
	if err != nil {
		return 0, err
	}
	h, _, err := l.key.ReadHeader(b)
	return h.First - 1, err
}

// close ends the lane in order.
func (l *lane) close(now time.Time) error {
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
