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
	segmentEnding = ".seg"
	halfEnding    = ".new" // of a segment that is being made
	lockName      = "lock"
	reserveName   = "reserve"
)

func segmentName(number uint64) string { return fmt.Sprintf("%016x%s", number, segmentEnding) }

// Problem is a place where a journal is not as it was written.
type Problem struct {
	File   string
	Offset int64
	What   string
	Torn   bool // what a crash or a power cut can leave; not damage
}

func (p Problem) String() string { return fmt.Sprintf("%s:%d: %s", p.File, p.Offset, p.What) }

// segment is what is known of a segment's file.
type segment struct {
	number uint64
	path   string
	bytes  int64
	last   int64 // time of its last record, Unix microseconds
}

// replayed is a lane as it was read.
type replayed struct {
	segments []segment
	problems []Problem
	number   uint64 // the highest of any file, good or not
	records  uint64
	seq      uint64      // of the last good record
	tip      journal.Mac // its mac
	run      [16]byte
	pruned   uint64
	stale    []string // files that retention has dropped, and that are still there
	durSeq   uint64   // of the last record that was surely durable, and what follows it
	durTip   journal.Mac
	after    []journal.Record
	closed   bool // the last record says that nothing is missing
	torn     bool // something stands behind the last good record
}

// visitor is shown what is read, in order.
type visitor struct {
	run    func()                                 // the process whose records came so far is gone
	record func(r *journal.Record, number uint64) // number is the segment's
	gap    func()                                 // records are missing here
	skip   func(encoded []byte) bool              // true: not even decoded; may be nil
}

// readLane reads all segments of a lane and checks the chain. Only an error that says
// nothing of the files' content is returned; what is wrong in them is in problems. A
// key or version that is not ours is an error: nothing could be read.
func readLane(fsys FS, dir string, key *journal.Key, v visitor) (*replayed, error) {
	names, err := fsys.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	out := &replayed{}
	type open struct {
		segment
		header journal.Header
		mac    journal.Mac
	}
	var all []open
	for _, name := range names {
		number, ok := segmentNumber(name)
		if !ok {
			if whole, half := strings.CutSuffix(name, halfEnding); half {
				number, _ = segmentNumber(whole)
				out.number = max(out.number, number)
				out.stale = append(out.stale, join(dir, name))
			}
			continue
		}
		s := open{segment: segment{number: number, path: join(dir, name)}}
		out.number = max(out.number, number)
		b, err := fsys.ReadFile(s.path)
		if err != nil {
			return nil, err
		}
		s.bytes = int64(len(b))
		s.header, s.mac, err = key.ReadHeader(b)
		switch {
		case errors.Is(err, journal.ErrKey), errors.Is(err, journal.ErrVersion):
			return nil, fmt.Errorf("%s: %w", s.path, err)
		case err == nil && s.header.Number != number:
			out.problems = append(out.problems, Problem{s.path, 0, fmt.Sprintf("it is segment %d by its header", s.header.Number), false})
			continue
		case err != nil: // a process died, or the disk was full, as it was made; else the chain shows it
			out.problems = append(out.problems, Problem{s.path, 0, "its header is not whole", true})
			continue
		}
		all = append(all, s)
	}
	// Records from there on were written again, in a later segment; 0: none were.
	cuts := make([]uint64, len(all)+1)
	for i := len(all) - 1; i >= 0; i-- {
		if cuts[i] = all[i].header.First; cuts[i+1] != 0 {
			cuts[i] = min(cuts[i], cuts[i+1])
		}
	}
	var breaks []uint64 // where the chain is broken: the first record behind
	for i := range all {
		s := &all[i]
		if i == 0 {
			out.seq, out.tip = s.header.First-1, s.header.Prev
		}
		if i > 0 && s.header.Run != out.run && v.run != nil {
			v.run()
		}
		out.run, out.closed, out.torn = s.header.Run, false, false
		if s.header.First != out.seq+1 || s.header.Prev != out.tip {
			breaks = append(breaks, s.header.First)
			out.problems = append(out.problems, Problem{s.path, 0, fmt.Sprintf(
				"it does not follow on %s: records %d to %d are missing or altered", all[i-1].path, out.seq+1, s.header.First-1), false})
			if v.gap != nil {
				v.gap()
			}
			out.seq, out.tip = s.header.First-1, s.header.Prev
		}
		cut := cuts[i+1]
		b, err := fsys.ReadFile(s.path)
		if err != nil {
			return nil, err
		}
		lastMac, good := s.mac, journal.HeaderSize
		// A segment is begun once all before it is durable.
		out.durSeq, out.durTip, out.after = out.seq, out.tip, nil
		type place struct {
			end int
			mac journal.Mac
		}
		var undurable []place // of the records in after
		for cut == 0 || out.seq+1 < cut {
			f, err := key.ReadFrame(b[good:], lastMac)
			if err != nil {
				break
			}
			r, err := decode(f.Record, v.skip)
			if err != nil {
				out.problems = append(out.problems, Problem{s.path, int64(good), err.Error(), false})
			}
			lastMac, good = f.Mac, good+f.Size
			out.seq, out.tip = out.seq+1, f.Mac
			for len(undurable) > 0 && int64(undurable[0].end) <= f.Durable {
				out.durSeq, out.durTip = out.durSeq+1, undurable[0].mac
				undurable, out.after = undurable[1:], out.after[1:]
			}
			undurable = append(undurable, place{good, f.Mac})
			if r == nil {
				out.after = append(out.after, journal.Record{}) // a question: nothing is written after it
			} else {
				out.after = append(out.after, *r)
			}
			if r != nil {
				out.closed = r.Kind == journal.CleanShutdown
				out.records++
				s.last = max(s.last, r.At)
				if r.Kind == journal.Pruned {
					out.pruned = max(out.pruned, r.Count)
				}
				if v.record != nil {
					v.record(r, s.number)
				}
			}
		}
		switch tail := key.ClassifyTail(b, good); {
		case cut != 0 && out.seq+1 >= cut, good == len(b): // what follows, if anything does, was written again
		case cut != 0: // the next segment says what is missing
			out.problems = append(out.problems, Problem{s.path, int64(good), "records are altered or missing from here on", false})
		default:
			out.torn, out.closed = true, false
			out.problems = append(out.problems, Problem{s.path, int64(good), fmt.Sprintf(
				"%d bytes at the end are no record", len(b)-good), tail == journal.TornTail})
			if tail == journal.DamagedTail && v.gap != nil {
				v.gap()
			}
		}
		out.segments = append(out.segments, s.segment)
	}
	// Of the files that retention drops, an older one may come back after a power cut.
	out.problems = slices.DeleteFunc(out.problems, func(p Problem) bool {
		i := slices.IndexFunc(all, func(s open) bool { return s.path == p.File })
		return i >= 0 && (p.Offset == 0 && slices.Contains(breaks, all[i].header.First) && all[i].header.First-1 <= out.pruned ||
			i+1 < len(all) && all[i+1].header.First-1 <= out.pruned)
	})
	for len(out.segments) > 1 && all[len(all)-len(out.segments)+1].header.First-1 <= out.pruned {
		out.stale = append(out.stale, out.segments[0].path)
		out.segments = out.segments[1:]
	}
	if len(all) > 0 && all[0].header.First-1 > out.pruned {
		out.problems = append(out.problems, Problem{all[0].path, 0, fmt.Sprintf(
			"records 1 to %d are missing, and retention dropped only those up to %d", all[0].header.First-1, out.pruned), false})
	}
	return out, nil
}

func decode(b []byte, skip func([]byte) bool) (*journal.Record, error) {
	if skip != nil && skip(b) {
		return nil, nil
	}
	return journal.Decode(b)
}

func segmentNumber(name string) (uint64, bool) {
	hex, ok := strings.CutSuffix(name, segmentEnding)
	n, err := strconv.ParseUint(hex, 16, 64)
	return n, ok && err == nil && n > 0 && name == segmentName(n)
}

func missing(err error) bool { return errors.Is(err, fs.ErrNotExist) }
