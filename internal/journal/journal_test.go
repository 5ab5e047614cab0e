package journal

import (
	"bytes"
	"errors"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"sedgevale/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m, 300) }

func testKey(t testing.TB) *Key {
	t.Helper()
	k, err := NewKey(bytes.Repeat([]byte("k"), MinKeySize))
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// jobModel is a simple model of a job: the state of each attempt.
type jobModel struct {
	attempts []string // "in flight", "served", "never ran", "unknown"
	answered bool
	died     bool
}

func (p *jobModel) verdict() Verdict {
	switch {
	case slices.Contains(p.attempts, "served"):
		return Ran
	case slices.Contains(p.attempts, "in flight"), slices.Contains(p.attempts, "unknown"), !p.answered && !p.died:
		return Unknown
	}
	return DidNotRun
}

func (p *jobModel) open() bool {
	return !p.died && (!p.answered || slices.Contains(p.attempts, "in flight"))
}

// applyIntent applies an intent and reports whether it fits the model.
func (p *jobModel) applyIntent(attempt int) (fits bool) {
	if fits = attempt == len(p.attempts) && !p.answered && !p.died; fits {
		p.attempts = append(p.attempts, "in flight")
	}
	return fits
}

// isInFlight reports whether an attempt is in flight.
func (p *jobModel) isOut(attempt int) bool {
	return attempt < len(p.attempts) && p.attempts[attempt] == "in flight" && !p.died
}

// applyEnd applies the end of an attempt and reports whether it fits the model.
func (p *jobModel) applyEnd(r *Record) (fits bool) {
	state := "unknown"
	if Outcome(r.Code) == OutcomeServed {
		state = "served"
	} else if r.NeverRan {
		state = "never ran"
	}
	if fits = p.isOut(r.Attempt); fits {
		p.attempts[r.Attempt] = state
	}
	return fits || r.Attempt >= len(p.attempts) && r.NeverRan
}

// drawRecord draws a record of some kind and reports whether it fits the model; ok is false where the process ends instead.
func drawRecord(t *rapid.T, b *JobTable, p *jobModel) (r Record, fits, ok bool) {
	r = Record{Serial: 1, Attempt: rapid.IntRange(0, 3).Draw(t, "attempt"), At: rapid.Int64Range(1, 9).Draw(t, "at")}
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		r.Kind, r.Worker = Intent, "w"
		return r, p.applyIntent(r.Attempt), true
	case 1:
		r.Kind = Sent
		return r, p.isOut(r.Attempt), true
	case 2:
		o := Outcome(rapid.IntRange(1, int(OutcomeNotSent)).Draw(t, "outcome"))
		r.Kind, r.Code, r.NeverRan = Ended, uint8(o), o == OutcomeNotSent || o == OutcomeConnectFailed
		return r, p.applyEnd(&r), true
	case 3:
		r.Kind, r.Code = Answered, uint8(Failed)
		fits = !p.answered && !p.died
		p.answered = p.answered || fits
		return r, fits, true
	case 4:
		if rapid.IntRange(0, 3).Draw(t, "dies") == 0 {
			b.EndProcess()
			p.died = p.died || p.open()
		}
		return r, false, false
	}
	r.Kind = Pruned
	return r, true, true
}

// Guards against a verdict that the records do not prove, and against records that are accepted though they contradict the
// ones before.
func TestJobAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, p := NewJobTable(), &jobModel{}
		j, err := b.Apply(&Record{Kind: Accepted, Serial: 1, JobID: "j", At: 1})
		if err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(0, 12).Draw(t, "steps") {
			r, fits, ok := drawRecord(t, b, p)
			if !ok {
				continue
			}
			_, err := b.Apply(&r)
			if fits != (err == nil) {
				t.Fatalf("record %+v on %+v: fits %v, error %v", r, *j, fits, err)
			}
			j.RecordsMissing = false // what did not fit has marked the job; the next step is about the next record
		}
		if v, reason, _ := j.Verdict(); v != p.verdict() || j.Open() != p.open() {
			t.Fatalf("%v (%s), open %v; the model says %v, %v: %+v", v, reason, j.Open(), p.verdict(), p.open(), p)
		}
	})
}

// A job that is settled says so, whatever else is known; after missing records the
// verdict on a job that was open is unknown.
func TestSettledAndGap(t *testing.T) {
	b := NewJobTable()
	j, _ := b.Apply(&Record{Kind: Accepted, Serial: 7, JobID: "j", At: 1})
	if _, err := b.Apply(&Record{Kind: RecordsLost, Count: 3}); err != nil {
		t.Fatal(err)
	}
	b.EndProcess()
	if v, _, _ := j.Verdict(); v != Unknown {
		t.Errorf("with records missing it is %v", v)
	}
	if _, err := b.Apply(&Record{Kind: Decided, Serial: 7, Code: uint8(DidNotRun), Operator: "ann", Text: "the box has no trace"}); err != nil {
		t.Fatal(err)
	}
	if v, reason, _ := j.Verdict(); v != DidNotRun || reason != "settled by ann: the box has no trace" {
		t.Errorf("%v: %s", v, reason)
	}
	if _, err := b.Apply(&Record{Kind: Sent, Serial: 8}); !errors.Is(err, ErrUnknownJob) {
		t.Errorf("a record of an unknown job: %v", err)
	}
}

// The first intent on record of a job may be one of a later attempt only where records before it are missing; a gap between the
// attempts of a job whose records are complete is always a contradiction.
func TestFirstIntentOfALaterAttempt(t *testing.T) {
	later := Record{Kind: Intent, Serial: 7, JobID: "j", Worker: "b", Attempt: 1}
	complete := NewJobTable()
	if j, err := complete.Apply(&later); err == nil || complete.Inconsistent != 1 || !j.RecordsMissing {
		t.Errorf("in a complete journal: %v, %+v", err, j)
	}
	pruned := NewJobTable()
	pruned.MarkMissingRecords() // at the journal's beginning
	j, err := pruned.Apply(&later)
	if err != nil || pruned.Inconsistent != 0 {
		t.Fatalf("behind missing records: %v", err)
	}
	if v, reason, workers := j.Verdict(); v != Unknown || !slices.Equal(workers, []string{"b"}) {
		t.Errorf("%v (%s) at %v", v, reason, workers)
	}
	if _, err := pruned.Apply(&Record{Kind: Ended, Serial: 7, Attempt: 0, Code: uint8(OutcomeServed)}); err != nil {
		t.Errorf("the end of an attempt whose intent is missing: %v", err)
	}
	if v, reason, workers := j.Verdict(); v != Ran || !slices.Equal(workers, []string{"b"}) {
		t.Errorf("%v (%s) at %v", v, reason, workers)
	}
	copied := Job{Serial: 7, ID: "j", Attempts: []Attempt{{Worker: "a", Outcome: OutcomeServed}, {Number: 1, Worker: "b", NeverRan: true, Outcome: OutcomeCancelled}}}
	if j, err = pruned.Apply(&Record{Kind: CarriedOver, Serial: 7, CarriedJob: &copied}); err != nil || j.RecordsMissing {
		t.Fatalf("its copy: %v, %+v", err, j)
	}
	if _, err := pruned.Apply(&Record{Kind: Intent, Serial: 7, JobID: "j", Worker: "c", Attempt: 3}); err == nil || pruned.Inconsistent != 1 {
		t.Errorf("a gap after the copy: %v", err)
	}
}

// An acceptance among missing records leaves nothing open: the first attempt's intent is on record, and so all attempts are.
func TestAcceptanceMissing(t *testing.T) {
	b := NewJobTable()
	b.MarkMissingRecords()
	j, _ := b.Apply(&Record{Kind: Intent, Serial: 7, JobID: "j", Worker: "b"})
	_, _ = b.Apply(&Record{Kind: Ended, Serial: 7, Code: uint8(OutcomeConnectFailed), NeverRan: true})
	_, _ = b.Apply(&Record{Kind: Answered, Serial: 7, Code: uint8(Failed)})
	if v, reason, _ := j.Verdict(); v != DidNotRun {
		t.Errorf("%v: %s", v, reason)
	}
}

// Guards the format: what is encoded decodes to the same, and a truncated record is rejected.
func TestRecordRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringN(0, 40, 400)
		r := Record{Kind: rapid.SampledFrom([]Kind{Accepted, Intent, Sent, Started, RecordsLost, CleanShutdown}).Draw(t, "kind"),
			Serial: rapid.Uint64().Draw(t, "serial"), At: rapid.Int64().Draw(t, "at"), JobID: text.Draw(t, "job"),
			Worker: text.Draw(t, "worker"), Target: text.Draw(t, "target"), Size: rapid.IntRange(0, 1<<16).Draw(t, "size"),
			Attempt: rapid.IntRange(0, MaxAttempts-1).Draw(t, "attempt"), NeverRan: rapid.Bool().Draw(t, "unseen"),
			Digest: rapid.SliceOfN(rapid.Byte(), 1, 16).Draw(t, "digest")}
		r.Truncate()
		b, err := Encode(nil, &r)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(b)
		if err != nil || got.JobID != r.JobID || got.Serial != r.Serial || got.At != r.At || got.Worker != r.Worker ||
			got.Target != r.Target || got.Size != r.Size || !bytes.Equal(got.Digest, r.Digest) || got.Kind != r.Kind {
			t.Fatalf("%+v became %+v, error %v", r, got, err)
		}
		for _, cut := range []int{1, len(b) / 2, len(b) - 1} {
			if _, err := Decode(b[:cut]); err == nil {
				t.Fatalf("%d of %d bytes were taken for a record", cut, len(b))
			}
		}
	})
}

// Records that are out of bounds are not read.
func TestRecordsOutOfBounds(t *testing.T) {
	for _, bad := range []Record{{Kind: 0}, {Kind: lastKind + 1}, {Kind: Ended, Code: 99}, {Kind: Ended}, {Kind: CarriedOver},
		{Kind: Sent, Attempt: MaxAttempts}, {Kind: Accepted, JobID: string(make([]byte, MaxText+1))}} {
		b, err := Encode(nil, &bad)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(b); err == nil {
			t.Errorf("taken: %+v", bad)
		}
	}
}

// segmentOf returns a segment with so many records, as a file.
func segmentOf(t testing.TB, n int) []byte {
	t.Helper()
	k := testKey(t)
	b, mac := k.AppendHeader(nil, Header{Number: 1, First: 1})
	for i := range n {
		var err error
		r := Record{Kind: Accepted, Serial: uint64(i + 1), At: 1e15, JobID: "job", Class: "plan-change", Digest: bytes.Repeat([]byte{byte(i)}, 16)}
		if b, mac, err = k.AppendFrame(b, mac, int64(len(b)), &r); err != nil {
			t.Fatal(err)
		}
	}
	return b
}

// walk reads a segment and returns how many records it has and what follows them.
func walk(k *Key, b []byte) (n int, tail Tail, err error) {
	_, mac, err := k.ReadHeader(b)
	if err != nil {
		return 0, DamagedTail, err
	}
	at := HeaderSize
	for {
		f, err := k.ReadFrame(b[at:], mac)
		if err != nil {
			return n, k.ClassifyTail(b, at), nil
		}
		if _, err := Decode(f.Record); err != nil {
			return n, DamagedTail, nil
		}
		mac, at, n = f.Mac, at+f.Size, n+1
	}
}

// Guards against a record that is altered undetected.
func TestTampering(t *testing.T) {
	k := testKey(t)
	segment := segmentOf(t, 5)
	frame := (len(segment) - HeaderSize) / 5
	if n, tail, err := walk(k, segment); n != 5 || tail != CleanTail || err != nil {
		t.Fatalf("untouched: %d records, %v, %v", n, tail, err)
	}
	for bit := range 8 * len(segment) {
		b := slices.Clone(segment)
		b[bit/8] ^= 1 << (bit % 8)
		n, tail, err := walk(k, b)
		if err == nil && (n == 5 || tail == CleanTail) {
			t.Fatalf("bit %d of byte %d was turned: %d records, %v", bit%8, bit/8, n, tail)
		}
		if last := len(segment) - frame; bit/8 < last && bit/8 >= HeaderSize && tail != DamagedTail && err == nil {
			t.Fatalf("bit %d of byte %d was turned, and that is taken for %v", bit%8, bit/8, tail)
		}
	}
}

// Guards against a record that is left out, moved, or cut off by the end of a process, and against another key or version.
func TestTamperingWithRecords(t *testing.T) {
	k := testKey(t)
	segment := segmentOf(t, 5)
	frame := (len(segment) - HeaderSize) / 5
	at := func(i int) int { return HeaderSize + i*frame }
	removed := slices.Concat(segment[:at(2)], segment[at(3):])
	swapped := slices.Concat(segment[:at(1)], segment[at(2):at(3)], segment[at(1):at(2)], segment[at(3):])
	for what, b := range map[string][]byte{"left out": removed, "swapped": swapped} {
		if n, tail, err := walk(k, b); n == 5 || tail != DamagedTail || err != nil {
			t.Errorf("a record was %s: %d records, %v, %v", what, n, tail, err)
		}
	}
	for cut := at(4) + 1; cut < len(segment); cut++ { // a process that was killed as it wrote
		if n, tail, _ := walk(k, segment[:cut]); n != 4 || tail != TornTail {
			t.Fatalf("cut to %d bytes: %d records, %v", cut, n, tail)
		}
	}
	if other, _ := NewKey(bytes.Repeat([]byte("x"), MinKeySize)); other != nil {
		if _, _, err := walk(other, segment); !errors.Is(err, ErrKey) {
			t.Errorf("another key: %v", err)
		}
	}
	newer := slices.Clone(segment)
	newer[8]++
	if _, _, err := walk(k, newer); !errors.Is(err, ErrVersion) {
		t.Errorf("another version: %v", err)
	}
}

// FuzzSegment: no bytes make the reader panic or read what is not authentic.
func FuzzSegment(f *testing.F) {
	segment := segmentOf(f, 3)
	f.Add(segment, 0, byte(0))
	f.Add(segment, 90, byte(0xff))
	f.Add(segment[:len(segment)-3], 100, byte(1))
	k := testKey(f)
	f.Fuzz(func(t *testing.T, b []byte, at int, x byte) {
		if n, _, err := walk(k, b); err == nil && n > 3 {
			t.Errorf("%d records of bytes that nobody has written", n)
		}
		if at >= 0 && at < len(segment) && x != 0 {
			c := slices.Clone(segment)
			c[at] ^= x
			if n, tail, err := walk(k, c); err == nil && n == 3 && tail == CleanTail {
				t.Errorf("byte %d was changed undetected", at)
			}
		}
	})
}

// FuzzRecord: what is read is within its bounds, and is written the same again.
func FuzzRecord(f *testing.F) {
	for _, r := range []Record{{Kind: Accepted, Serial: 1, JobID: "j"}, {Kind: Ended, Code: 1}, {Kind: CarriedOver, CarriedJob: &Job{ID: "j"}}} {
		b, err := Encode(nil, &r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := Decode(b)
		if err != nil {
			return
		}
		again, err := Encode(nil, r)
		if err != nil {
			t.Fatalf("%+v was read and cannot be written: %v", r, err)
		}
		if _, err := Decode(again); err != nil {
			t.Fatalf("%+v: %v", r, err)
		}
	})
}
