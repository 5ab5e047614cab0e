package store

import (
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"strconv"
	"strings"

	"sedgevale/internal/journal"
)

const (
	segmentEnding    = ".seg"
	unfinishedEnding = ".new" // of a segment that is being made
	lockName         = "lock"
	reserveName      = "reserve"
)

func segmentName(number uint64) string { return fmt.Sprintf("%016x%s", number, segmentEnding) }

// segmentNumber returns the number of a segment's file; false where the name is not one.
func segmentNumber(name string) (uint64, bool) {
	digits, ok := strings.CutSuffix(name, segmentEnding)
	n, err := strconv.ParseUint(digits, 16, 64)
	return n, ok && err == nil && n > 0 && name == segmentName(n)
}

func isSegmentName(name string) bool {
	_, ok := segmentNumber(name)
	return ok
}

func notExist(err error) bool { return errors.Is(err, fs.ErrNotExist) }

// Problem is a place where a journal is not as it was written.
type Problem struct {
	File   string
	Offset int64 // in bytes
	What   string
	Torn   bool // a crash or a power failure can leave this; it is no damage
}

func (p Problem) String() string { return fmt.Sprintf("%s:%d: %s", p.File, p.Offset, p.What) }

// segment is what is known of a segment's file.
type segment struct {
	number       uint64
	path         string
	bytes        int64
	lastRecordAt int64 // Unix microseconds
}

// replayed is a log as it was read.
type replayed struct {
	segments        []segment
	problems        []Problem
	highestNumber   uint64 // of any segment's file, valid or not
	records         uint64
	lastSequence    uint64      // of the last valid record
	lastMac         journal.Mac // of the same
	run             [16]byte    // that wrote it
	prunedThrough   uint64      // retention has dropped the records up to this sequence number
	stale           []string    // files that are obsolete, because of retention or since they were never finished
	durableSequence uint64      // of the last record that was certainly durable
	durableMac      journal.Mac // of the same
	unsynced        []journal.Record
	closed          bool // the last record says that none is missing
}

// visitor is called with what is read, in its order. Each function but record may be nil.
type visitor struct {
	run    func()                                 // the process that wrote the records so far has ended
	record func(r *journal.Record, number uint64) // number is the segment's
	gap    func()                                 // records are missing here, before the first segment too
	skip   func(encoded []byte) bool              // reports whether a record need not be decoded
}

// openedSegment is a segment whose header is valid.
type openedSegment struct {
	segment
	header journal.Header
	mac    journal.Mac // of the header
}

// replay is a reading of all segments of a log.
type replay struct {
	fs       FS
	dir      string
	key      *journal.Key
	visitor  visitor
	segments []openedSegment // by number
	// Of each segment and all behind it the lowest first sequence number: records from there on were written again, in a later
	// segment. The last element, behind all segments, is 0.
	rewrittenFrom []uint64
	breaks        []uint64 // first sequence numbers of segments that are not chained to the one before
	out           *replayed
}

// readSegments reads all segments of a log and verifies the chain. What is wrong with the content of files is reported in
// problems; an error means that nothing could be read: a failure of the file system, journal.ErrKey or journal.ErrVersion.
func readSegments(fsys FS, dir string, key *journal.Key, v visitor) (*replayed, error) {
	r := &replay{fs: fsys, dir: dir, key: key, visitor: v, out: &replayed{}}
	if err := r.openSegments(); err != nil {
		return nil, err
	}
	r.findRewritten()
	for i := range r.segments {
		if err := r.readSegment(i); err != nil {
			return nil, err
		}
	}
	r.applyRetention()
	return r.out, nil
}

func (r *replay) addProblem(path string, offset int, torn bool, format string, args ...any) {
	r.out.problems = append(r.out.problems, Problem{path, int64(offset), fmt.Sprintf(format, args...), torn})
}

// openSegments reads the headers of all segments.
func (r *replay) openSegments() error {
	names, err := r.fs.ReadDir(r.dir)
	if err != nil {
		return err
	}
	for _, name := range names {
		number, ok := segmentNumber(name)
		if !ok {
			if finished, unfinished := strings.CutSuffix(name, unfinishedEnding); unfinished {
				number, _ = segmentNumber(finished)
				r.out.highestNumber = max(r.out.highestNumber, number)
				r.out.stale = append(r.out.stale, join(r.dir, name))
			}
			continue
		}
		r.out.highestNumber = max(r.out.highestNumber, number)
		if err := r.openSegment(number, join(r.dir, name)); err != nil {
			return err
		}
	}
	return nil
}

func (r *replay) openSegment(number uint64, path string) error {
	b, err := r.fs.ReadFile(path)
	if err != nil {
		return err
	}
	s := openedSegment{segment: segment{number: number, path: path, bytes: int64(len(b))}}
	s.header, s.mac, err = r.key.ReadHeader(b)
	switch {
	case errors.Is(err, journal.ErrKey), errors.Is(err, journal.ErrVersion):
		return fmt.Errorf("%s: %w", path, err)
	case err != nil: // the process ended, or the disk was full, while it was made; otherwise the chain shows it
		r.addProblem(path, 0, true, "its header is incomplete or altered")
	case s.header.Number != number:
		r.addProblem(path, 0, false, "it is segment %d by its header", s.header.Number)
	default:
		r.segments = append(r.segments, s)
	}
	return nil
}

func (r *replay) findRewritten() {
	r.rewrittenFrom = make([]uint64, len(r.segments)+1)
	for i := len(r.segments) - 1; i >= 0; i-- {
		r.rewrittenFrom[i] = r.segments[i].header.First
		if later := r.rewrittenFrom[i+1]; later != 0 {
			r.rewrittenFrom[i] = min(r.rewrittenFrom[i], later)
		}
	}
}

// readSegment reads the records of a segment up to the first that is invalid or was written again later.
func (r *replay) readSegment(i int) error {
	s, out := &r.segments[i], r.out
	r.checkChain(i)
	b, err := r.fs.ReadFile(s.path)
	if err != nil {
		return err
	}
	// A segment is begun once all records before it are durable.
	out.durableSequence, out.durableMac, out.unsynced = out.lastSequence, out.lastMac, nil
	end := r.rewrittenFrom[i+1]
	mac, valid := s.mac, journal.HeaderSize
	var undurable []frameEnd // of the records in unsynced
	for end == 0 || out.lastSequence+1 < end {
		f, err := r.key.ReadFrame(b[valid:], mac)
		if err != nil {
			break
		}
		record, err := r.decode(f.Record)
		if err != nil {
			r.addProblem(s.path, valid, false, "%s", err)
		}
		mac, valid = f.Mac, valid+f.Size
		out.lastSequence, out.lastMac = out.lastSequence+1, f.Mac
		for len(undurable) > 0 && int64(undurable[0].offset) <= f.Durable {
			out.durableSequence, out.durableMac = out.durableSequence+1, undurable[0].mac
			undurable, out.unsynced = undurable[1:], out.unsynced[1:]
		}
		undurable = append(undurable, frameEnd{valid, f.Mac})
		r.takeRecord(s, record)
	}
	r.judgeTail(s, b, valid, end)
	out.segments = append(out.segments, s.segment)
	return nil
}

// frameEnd is where a frame ends in its segment, and its mac.
type frameEnd struct {
	offset int
	mac    journal.Mac
}

// checkChain verifies that a segment is chained to the one before it.
func (r *replay) checkChain(i int) {
	s, out := &r.segments[i], r.out
	if i == 0 {
		out.lastSequence, out.lastMac = s.header.First-1, s.header.Prev
		if s.header.First > 1 { // applyRetention says whether that is damage
			r.missing()
		}
	}
	if i > 0 && s.header.Run != out.run && r.visitor.run != nil {
		r.visitor.run()
	}
	out.run, out.closed = s.header.Run, false
	if s.header.First == out.lastSequence+1 && s.header.Prev == out.lastMac {
		return
	}
	r.breaks = append(r.breaks, s.header.First)
	r.addProblem(s.path, 0, false, "it does not follow on %s: records %d to %d are missing or altered",
		r.segments[i-1].path, out.lastSequence+1, s.header.First-1)
	r.missing()
	out.lastSequence, out.lastMac = s.header.First-1, s.header.Prev
}

func (r *replay) missing() {
	if r.visitor.gap != nil {
		r.visitor.gap()
	}
}

// decode returns nil for a record that the visitor skips.
func (r *replay) decode(encoded []byte) (*journal.Record, error) {
	if r.visitor.skip != nil && r.visitor.skip(encoded) {
		return nil, nil
	}
	return journal.Decode(encoded)
}

// takeRecord passes a record on; nil stands for one that was skipped or cannot be decoded.
func (r *replay) takeRecord(s *openedSegment, record *journal.Record) {
	out := r.out
	if record == nil {
		out.unsynced = append(out.unsynced, journal.Record{}) // a reader that skips records writes none of them again
		return
	}
	out.unsynced = append(out.unsynced, *record)
	out.closed = record.Kind == journal.CleanShutdown
	out.records++
	s.lastRecordAt = max(s.lastRecordAt, record.At)
	if record.Kind == journal.Pruned {
		out.prunedThrough = max(out.prunedThrough, record.Count)
	}
	if r.visitor.record != nil {
		r.visitor.record(record, s.number)
	}
}

// judgeTail looks at what follows the valid records of a segment. End is the sequence number from which on records were
// written again, or 0.
func (r *replay) judgeTail(s *openedSegment, b []byte, valid int, end uint64) {
	tail := r.key.ClassifyTail(b, valid)
	switch {
	case end != 0 && r.out.lastSequence+1 >= end, valid == len(b): // what follows, if anything does, was written again
	case end != 0: // the next segment shows what is missing
		r.addProblem(s.path, valid, false, "records are altered or missing from here on")
	default:
		r.out.closed = false
		r.addProblem(s.path, valid, tail == journal.TornTail, "%d bytes at the end are no record", len(b)-valid)
		if tail == journal.DamagedTail {
			r.missing()
		}
	}
}

// applyRetention leaves out what is wrong with records that retention has dropped, and their segments: a power failure may
// bring back an older one of the files that were removed.
func (r *replay) applyRetention() {
	out, all := r.out, r.segments
	out.problems = slices.DeleteFunc(out.problems, func(p Problem) bool {
		i := slices.IndexFunc(all, func(s openedSegment) bool { return s.path == p.File })
		return i >= 0 && (p.Offset == 0 && slices.Contains(r.breaks, all[i].header.First) && all[i].header.First-1 <= out.prunedThrough ||
			i+1 < len(all) && all[i+1].header.First-1 <= out.prunedThrough)
	})
	for len(out.segments) > 1 && all[len(all)-len(out.segments)+1].header.First-1 <= out.prunedThrough {
		out.stale = append(out.stale, out.segments[0].path)
		out.segments = out.segments[1:]
	}
	if len(all) > 0 && all[0].header.First-1 > out.prunedThrough {
		r.addProblem(all[0].path, 0, false, "records 1 to %d are missing, and retention dropped only those up to %d",
			all[0].header.First-1, out.prunedThrough)
	}
}
