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
	segmentSuffix    = ".seg"
	unfinishedSuffix = ".new" // suffix of a segment that is being created
	lockName         = "lock"
	reserveName      = "reserve"
)

func segmentName(number uint64) string { return fmt.Sprintf("%016x%s", number, segmentSuffix) }

// segmentNumber returns the number in the file name of a segment, and false for any other name.
func segmentNumber(name string) (uint64, bool) {
	digits, ok := strings.CutSuffix(name, segmentSuffix)
	n, err := strconv.ParseUint(digits, 16, 64)
	return n, ok && err == nil && n > 0 && name == segmentName(n)
}

func isSegmentName(name string) bool {
	_, ok := segmentNumber(name)
	return ok
}

func isNotExist(err error) bool { return errors.Is(err, fs.ErrNotExist) }

// Problem is a deviation of a journal from what was written.
type Problem struct {
	File        string
	Offset      int64 // in bytes
	Description string
	Torn        bool // a crash or a power failure can cause this; it is not damage
}

func (p Problem) String() string { return fmt.Sprintf("%s:%d: %s", p.File, p.Offset, p.Description) }

// segment describes the file of a segment.
type segment struct {
	number       uint64
	path         string
	bytes        int64
	lastRecordAt int64 // in Unix microseconds
}

// replayResult is the state of a log after all its segments were read.
type replayResult struct {
	segments        []segment
	problems        []Problem
	highestNumber   uint64 // highest number of any segment file, valid or not
	records         uint64
	lastSequence    uint64           // sequence number of the last valid record
	lastMAC         journal.MAC      // MAC of that record
	runID           [16]byte         // ID of the process that wrote the last valid record
	prunedThrough   uint64           // last sequence number that retention has dropped
	obsoleteFiles   []string         // files to remove: dropped by retention or never completed
	durableSequence uint64           // sequence number of the last record known to be durable
	durableMAC      journal.MAC      // MAC of that record
	unsynced        []journal.Record // records after the last durable one
	closed          bool             // the log ends with a CleanShutdown record
}

// visitor receives the contents of a log in their order. All functions except record may be nil.
type visitor struct {
	processEnd func()                                 // called when the process that wrote the records so far has ended
	record     func(r *journal.Record, number uint64) // called for each record; number is that of its segment
	gap        func()                                 // called where records are missing, also before the first segment
	skip       func(encoded []byte) bool              // reports whether a record can be skipped without decoding it
}

// openedSegment is a segment with a valid header.
type openedSegment struct {
	segment
	header journal.Header
	mac    journal.MAC // MAC of the header
}

// replayer reads all segments of a log.
type replayer struct {
	fs       FS
	dir      string
	key      *journal.Key
	visitor  visitor
	segments []openedSegment // sorted by number
	// For each segment, the lowest first sequence number of it and the segments after it: records from that number on were
	// rewritten in a later segment. The element after the last segment is 0.
	rewrittenFrom []uint64
	chainBreaks   []uint64 // first sequence numbers of segments that are not chained to the preceding one
	result        *replayResult
}

// readSegments reads all segments of a log and verifies their chain. Invalid contents are reported as problems; an error means
// that the log could not be read: a failure of the file system, journal.ErrKey or journal.ErrVersion.
func readSegments(fsys FS, dir string, key *journal.Key, v visitor) (*replayResult, error) {
	r := &replayer{fs: fsys, dir: dir, key: key, visitor: v, result: &replayResult{}}
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
	return r.result, nil
}

func (r *replayer) addProblem(path string, offset int, torn bool, format string, args ...any) {
	r.result.problems = append(r.result.problems, Problem{path, int64(offset), fmt.Sprintf(format, args...), torn})
}

// openSegments reads the headers of all segments.
func (r *replayer) openSegments() error {
	names, err := r.fs.ReadDir(r.dir)
	if err != nil {
		return err
	}
	for _, name := range names {
		number, ok := segmentNumber(name)
		if !ok {
			if finished, unfinished := strings.CutSuffix(name, unfinishedSuffix); unfinished {
				number, _ = segmentNumber(finished)
				r.result.highestNumber = max(r.result.highestNumber, number)
				r.result.obsoleteFiles = append(r.result.obsoleteFiles, join(r.dir, name))
			}
			continue
		}
		r.result.highestNumber = max(r.result.highestNumber, number)
		if err := r.openSegment(number, join(r.dir, name)); err != nil {
			return err
		}
	}
	return nil
}

func (r *replayer) openSegment(number uint64, path string) error {
	b, err := r.fs.ReadFile(path)
	if err != nil {
		return err
	}
	s := openedSegment{segment: segment{number: number, path: path, bytes: int64(len(b))}}
	s.header, s.mac, err = r.key.ReadHeader(b)
	switch {
	case errors.Is(err, journal.ErrKey), errors.Is(err, journal.ErrVersion):
		return fmt.Errorf("%s: %w", path, err)
	case err != nil: // torn: the process may have ended during its creation. If a later segment exists, checkChain reports the missing records.
		r.addProblem(path, 0, true, "its header is incomplete or altered")
	case s.header.Number != number:
		r.addProblem(path, 0, false, "it is segment %d by its header", s.header.Number)
	default:
		r.segments = append(r.segments, s)
	}
	return nil
}

func (r *replayer) findRewritten() {
	r.rewrittenFrom = make([]uint64, len(r.segments)+1)
	for i := len(r.segments) - 1; i >= 0; i-- {
		r.rewrittenFrom[i] = r.segments[i].header.FirstSequence
		if later := r.rewrittenFrom[i+1]; later != 0 {
			r.rewrittenFrom[i] = min(r.rewrittenFrom[i], later)
		}
	}
}

// readSegment reads the records of a segment up to the first that is invalid or was rewritten in a later segment.
func (r *replayer) readSegment(i int) error {
	s, out := &r.segments[i], r.result
	r.checkChain(i)
	b, err := r.fs.ReadFile(s.path)
	if err != nil {
		return err
	}
	// A segment is created only after all records before it are durable.
	out.durableSequence, out.durableMAC, out.unsynced = out.lastSequence, out.lastMAC, nil
	end := r.rewrittenFrom[i+1]
	mac, valid := s.mac, journal.HeaderSize
	var undurable []frameEnd // ends of the frames of the records in unsynced
	for end == 0 || out.lastSequence+1 < end {
		f, err := r.key.ReadFrame(b[valid:], mac)
		if err != nil {
			break
		}
		record, err := r.decode(f.Record)
		if err != nil {
			r.addProblem(s.path, valid, false, "%s", err)
		}
		mac, valid = f.MAC, valid+f.Size
		out.lastSequence, out.lastMAC = out.lastSequence+1, f.MAC
		for len(undurable) > 0 && int64(undurable[0].offset) <= f.DurableBytes {
			out.durableSequence, out.durableMAC = out.durableSequence+1, undurable[0].mac
			undurable, out.unsynced = undurable[1:], out.unsynced[1:]
		}
		undurable = append(undurable, frameEnd{valid, f.MAC})
		r.visitRecord(s, record)
	}
	r.checkTail(s, b, valid, end)
	out.segments = append(out.segments, s.segment)
	return nil
}

// frameEnd is the end offset of a frame in its segment, with the MAC of the frame.
type frameEnd struct {
	offset int
	mac    journal.MAC
}

// checkChain verifies that a segment is chained to the preceding one.
func (r *replayer) checkChain(i int) {
	s, out := &r.segments[i], r.result
	if i == 0 {
		out.lastSequence, out.lastMAC = s.header.FirstSequence-1, s.header.PrevMAC
		if s.header.FirstSequence > 1 { // applyRetention determines whether this is damage
			r.reportGap()
		}
	}
	if i > 0 && s.header.RunID != out.runID && r.visitor.processEnd != nil {
		r.visitor.processEnd()
	}
	out.runID, out.closed = s.header.RunID, false
	if s.header.FirstSequence == out.lastSequence+1 && s.header.PrevMAC == out.lastMAC {
		return
	}
	r.chainBreaks = append(r.chainBreaks, s.header.FirstSequence)
	r.addProblem(s.path, 0, false, "it does not follow on %s: records %d to %d are missing or altered",
		r.segments[i-1].path, out.lastSequence+1, s.header.FirstSequence-1)
	r.reportGap()
	out.lastSequence, out.lastMAC = s.header.FirstSequence-1, s.header.PrevMAC
}

func (r *replayer) reportGap() {
	if r.visitor.gap != nil {
		r.visitor.gap()
	}
}

// decode returns a nil record if the visitor skips it.
func (r *replayer) decode(encoded []byte) (*journal.Record, error) {
	if r.visitor.skip != nil && r.visitor.skip(encoded) {
		return nil, nil
	}
	return journal.Decode(encoded)
}

// visitRecord passes a record to the visitor; nil stands for a record that was skipped or cannot be decoded.
func (r *replayer) visitRecord(s *openedSegment, record *journal.Record) {
	out := r.result
	if record == nil {
		out.unsynced = append(out.unsynced, journal.Record{}) // a placeholder: readers that skip records never rewrite them
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

// checkTail checks the bytes that follow the valid records of a segment. end is the sequence number from which records were
// rewritten in a later segment, or 0.
func (r *replayer) checkTail(s *openedSegment, b []byte, valid int, end uint64) {
	tail := r.key.ClassifyTail(b, valid)
	switch {
	case end != 0 && r.result.lastSequence+1 >= end, valid == len(b): // any bytes that follow were rewritten in a later segment
	case end != 0: // checkChain reports the missing records at the next segment
		r.addProblem(s.path, valid, false, "records are altered or missing from here on")
	default:
		r.result.closed = false
		r.addProblem(s.path, valid, tail == journal.TornTail, "%d bytes at the end are no record", len(b)-valid)
		if tail == journal.DamagedTail {
			r.reportGap()
		}
	}
}

// applyRetention discards the segments and problems of records that retention has dropped: a power failure may restore the
// removed files of older segments.
func (r *replayer) applyRetention() {
	out, segments := r.result, r.segments
	out.problems = slices.DeleteFunc(out.problems, func(p Problem) bool {
		i := slices.IndexFunc(segments, func(s openedSegment) bool { return s.path == p.File })
		return i >= 0 && (p.Offset == 0 && slices.Contains(r.chainBreaks, segments[i].header.FirstSequence) && segments[i].header.FirstSequence-1 <= out.prunedThrough ||
			i+1 < len(segments) && segments[i+1].header.FirstSequence-1 <= out.prunedThrough)
	})
	for len(out.segments) > 1 && segments[len(segments)-len(out.segments)+1].header.FirstSequence-1 <= out.prunedThrough {
		out.obsoleteFiles = append(out.obsoleteFiles, out.segments[0].path)
		out.segments = out.segments[1:]
	}
	if len(segments) > 0 && segments[0].header.FirstSequence-1 > out.prunedThrough {
		r.addProblem(segments[0].path, 0, false, "records 1 to %d are missing, and retention dropped only those up to %d",
			segments[0].header.FirstSequence-1, out.prunedThrough)
	}
}
