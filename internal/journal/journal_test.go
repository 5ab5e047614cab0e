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

// jobModel is a reference model of a job: the state of each attempt.
type jobModel struct {
	attempts []string // each "in flight", "served", "never ran" or "unknown"
	answered bool
	died     bool
}

func (m *jobModel) verdict() Verdict {
	switch {
	case slices.Contains(m.attempts, "served"):
		return Ran
	case slices.Contains(m.attempts, "in flight"), slices.Contains(m.attempts, "unknown"), !m.answered && !m.died:
		return Unknown
	}
	return DidNotRun
}

func (m *jobModel) open() bool {
	return !m.died && (!m.answered || slices.Contains(m.attempts, "in flight"))
}

// applyIntent applies an intent and reports whether it is consistent with the model.
func (m *jobModel) applyIntent(attempt int) (fits bool) {
	if fits = attempt == len(m.attempts) && !m.answered && !m.died; fits {
		m.attempts = append(m.attempts, "in flight")
	}
	return fits
}

func (m *jobModel) isInFlight(attempt int) bool {
	return attempt < len(m.attempts) && m.attempts[attempt] == "in flight" && !m.died
}

// applyEnd applies the end of an attempt and reports whether it is consistent with the model.
func (m *jobModel) applyEnd(r *Record) (fits bool) {
	state := "unknown"
	if Outcome(r.Code) == OutcomeServed {
		state = "served"
	} else if r.NeverRan {
		state = "never ran"
	}
	if fits = m.isInFlight(r.Attempt); fits {
		m.attempts[r.Attempt] = state
	}
	return fits || r.Attempt >= len(m.attempts) && r.NeverRan
}

// drawRecord generates a record and reports whether it is consistent with the model; ok is false if it ends the process instead.
func drawRecord(t *rapid.T, table *JobTable, model *jobModel) (r Record, fits, ok bool) {
	r = Record{Serial: 1, Attempt: rapid.IntRange(0, 3).Draw(t, "attempt"), At: rapid.Int64Range(1, 9).Draw(t, "at")}
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		r.Kind, r.Worker = Intent, "w"
		return r, model.applyIntent(r.Attempt), true
	case 1:
		r.Kind = Sent
		return r, model.isInFlight(r.Attempt), true
	case 2:
		o := Outcome(rapid.IntRange(1, int(OutcomeNotSent)).Draw(t, "outcome"))
		r.Kind, r.Code, r.NeverRan = Ended, uint8(o), o == OutcomeNotSent || o == OutcomeConnectFailed
		return r, model.applyEnd(&r), true
	case 3:
		r.Kind, r.Code = Answered, uint8(Failed)
		fits = !model.answered && !model.died
		model.answered = model.answered || fits
		return r, fits, true
	case 4:
		if rapid.IntRange(0, 3).Draw(t, "dies") == 0 {
			table.EndProcess()
			model.died = model.died || model.open()
		}
		return r, false, false
	}
	r.Kind = Pruned
	return r, true, true
}

// Guards against a verdict that the records do not prove, and against accepting records that contradict earlier ones.
func TestJobAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, model := NewJobTable(), &jobModel{}
		j, err := table.Apply(&Record{Kind: Accepted, Serial: 1, JobID: "j", At: 1})
		if err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(0, 12).Draw(t, "steps") {
			r, fits, ok := drawRecord(t, table, model)
			if !ok {
				continue
			}
			_, err := table.Apply(&r)
			if fits != (err == nil) {
				t.Fatalf("record %+v on job %+v: model accepts it: %v, error %v", r, *j, fits, err)
			}
			j.RecordsMissing = false // an inconsistent record marks the job; the next step tests the next record alone
		}
		if v, reason, _ := j.Verdict(); v != model.verdict() || j.Open() != model.open() {
			t.Fatalf("verdict %v (%s), open %v; model: verdict %v, open %v, state %+v", v, reason, j.Open(), model.verdict(), model.open(), model)
		}
	})
}

// An operator's verdict overrides all other records; after missing records, the verdict on a job that was open is unknown.
func TestDecisionAndMissingRecords(t *testing.T) {
	table := NewJobTable()
	j, _ := table.Apply(&Record{Kind: Accepted, Serial: 7, JobID: "j", At: 1})
	if _, err := table.Apply(&Record{Kind: RecordsLost, Count: 3}); err != nil {
		t.Fatal(err)
	}
	table.EndProcess()
	if v, _, _ := j.Verdict(); v != Unknown {
		t.Errorf("verdict after missing records: %v, want unknown", v)
	}
	if _, err := table.Apply(&Record{Kind: Decided, Serial: 7, Code: uint8(DidNotRun), Operator: "ann", Text: "the box has no trace"}); err != nil {
		t.Fatal(err)
	}
	if v, reason, _ := j.Verdict(); v != DidNotRun || reason != "settled by ann: the box has no trace" {
		t.Errorf("verdict %v: %s", v, reason)
	}
	if _, err := table.Apply(&Record{Kind: Sent, Serial: 8}); !errors.Is(err, ErrUnknownJob) {
		t.Errorf("record of an unknown job: error %v, want ErrUnknownJob", err)
	}
}

// The first recorded intent of a job may belong to a later attempt only if earlier records are missing. A gap between the attempts
// of a job with complete records is always a contradiction.
func TestFirstIntentOfLaterAttempt(t *testing.T) {
	later := Record{Kind: Intent, Serial: 7, JobID: "j", Worker: "b", Attempt: 1}
	complete := NewJobTable()
	if j, err := complete.Apply(&later); err == nil || complete.Inconsistent != 1 || !j.RecordsMissing {
		t.Errorf("in a complete journal: error %v, job %+v; want an error and RecordsMissing", err, j)
	}
	pruned := NewJobTable()
	pruned.MarkMissingRecords() // at the start of the journal
	j, err := pruned.Apply(&later)
	if err != nil || pruned.Inconsistent != 0 {
		t.Fatalf("after missing records: error %v", err)
	}
	if v, reason, workers := j.Verdict(); v != Unknown || !slices.Equal(workers, []string{"b"}) {
		t.Errorf("verdict %v (%s), workers %v", v, reason, workers)
	}
	if _, err := pruned.Apply(&Record{Kind: Ended, Serial: 7, Attempt: 0, Code: uint8(OutcomeServed)}); err != nil {
		t.Errorf("end of an attempt whose intent is missing: error %v", err)
	}
	if v, reason, workers := j.Verdict(); v != Ran || !slices.Equal(workers, []string{"b"}) {
		t.Errorf("verdict %v (%s), workers %v", v, reason, workers)
	}
	copied := Job{Serial: 7, ID: "j", Attempts: []Attempt{{Worker: "a", Outcome: OutcomeServed}, {Number: 1, Worker: "b", NeverRan: true, Outcome: OutcomeCancelled}}}
	if j, err = pruned.Apply(&Record{Kind: CarriedOver, Serial: 7, CarriedJob: &copied}); err != nil || j.RecordsMissing {
		t.Fatalf("carried-over job: error %v, job %+v", err, j)
	}
	if _, err := pruned.Apply(&Record{Kind: Intent, Serial: 7, JobID: "j", Worker: "c", Attempt: 3}); err == nil || pruned.Inconsistent != 1 {
		t.Errorf("gap after the carried-over job: error %v, want one", err)
	}
}

// A missing acceptance does not make the verdict unknown: the first recorded intent is that of attempt 0, so no attempt is
// missing.
func TestAcceptanceMissing(t *testing.T) {
	table := NewJobTable()
	table.MarkMissingRecords()
	j, _ := table.Apply(&Record{Kind: Intent, Serial: 7, JobID: "j", Worker: "b"})
	_, _ = table.Apply(&Record{Kind: Ended, Serial: 7, Code: uint8(OutcomeConnectFailed), NeverRan: true})
	_, _ = table.Apply(&Record{Kind: Answered, Serial: 7, Code: uint8(Failed)})
	if v, reason, _ := j.Verdict(); v != DidNotRun {
		t.Errorf("verdict %v: %s", v, reason)
	}
}

// A record survives encoding and decoding, and a truncated record is rejected.
func TestRecordRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringN(0, 40, 400)
		r := Record{Kind: rapid.SampledFrom([]Kind{Accepted, Intent, Sent, Started, RecordsLost, CleanShutdown}).Draw(t, "kind"),
			Serial: rapid.Uint64().Draw(t, "serial"), At: rapid.Int64().Draw(t, "at"), JobID: text.Draw(t, "job"),
			Worker: text.Draw(t, "worker"), Target: text.Draw(t, "target"), Size: rapid.IntRange(0, 1<<16).Draw(t, "size"),
			Attempt: rapid.IntRange(0, MaxAttempts-1).Draw(t, "attempt"), NeverRan: rapid.Bool().Draw(t, "never ran"),
			Digest: rapid.SliceOfN(rapid.Byte(), 1, 16).Draw(t, "digest")}
		r.Truncate()
		b, err := Encode(nil, &r)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(b)
		if err != nil || got.JobID != r.JobID || got.Serial != r.Serial || got.At != r.At || got.Worker != r.Worker ||
			got.Target != r.Target || got.Size != r.Size || !bytes.Equal(got.Digest, r.Digest) || got.Kind != r.Kind {
			t.Fatalf("record %+v decoded as %+v, error %v", r, got, err)
		}
		for _, cut := range []int{1, len(b) / 2, len(b) - 1} {
			if _, err := Decode(b[:cut]); err == nil {
				t.Fatalf("%d of %d bytes were decoded as a record", cut, len(b))
			}
		}
	})
}

// Records that exceed the limits are rejected.
func TestRecordsOutOfBounds(t *testing.T) {
	for _, bad := range []Record{{Kind: 0}, {Kind: lastKind + 1}, {Kind: Ended, Code: 99}, {Kind: Ended}, {Kind: CarriedOver},
		{Kind: Sent, Attempt: MaxAttempts}, {Kind: Accepted, JobID: string(make([]byte, MaxText+1))}} {
		b, err := Encode(nil, &bad)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(b); err == nil {
			t.Errorf("accepted record %+v", bad)
		}
	}
}

// buildSegment returns the bytes of a segment with n records.
func buildSegment(t testing.TB, n int) []byte {
	t.Helper()
	k := testKey(t)
	b, mac := k.AppendHeader(nil, Header{Number: 1, FirstSequence: 1})
	for i := range n {
		var err error
		r := Record{Kind: Accepted, Serial: uint64(i + 1), At: 1e15, JobID: "job", Class: "plan-change", Digest: bytes.Repeat([]byte{byte(i)}, 16)}
		if b, mac, err = k.AppendFrame(b, mac, int64(len(b)), &r); err != nil {
			t.Fatal(err)
		}
	}
	return b
}

// readSegment returns the number of valid records in a segment and the class of its tail.
func readSegment(k *Key, b []byte) (n int, tail Tail, err error) {
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
		mac, at, n = f.MAC, at+f.Size, n+1
	}
}

// Guards against an alteration that is not detected: flips each bit of a segment.
func TestFlippedBits(t *testing.T) {
	k := testKey(t)
	segment := buildSegment(t, 5)
	frame := (len(segment) - HeaderSize) / 5
	if n, tail, err := readSegment(k, segment); n != 5 || tail != CleanTail || err != nil {
		t.Fatalf("unaltered segment: %d records, tail %v, error %v", n, tail, err)
	}
	for bit := range 8 * len(segment) {
		b := slices.Clone(segment)
		b[bit/8] ^= 1 << (bit % 8)
		n, tail, err := readSegment(k, b)
		if err == nil && (n == 5 || tail == CleanTail) {
			t.Fatalf("bit %d of byte %d was flipped: %d records, tail %v", bit%8, bit/8, n, tail)
		}
		if last := len(segment) - frame; bit/8 < last && bit/8 >= HeaderSize && tail != DamagedTail && err == nil {
			t.Fatalf("bit %d of byte %d was flipped: tail %v, want damaged", bit%8, bit/8, tail)
		}
	}
}

// Guards against records that are removed, swapped or truncated without being detected, and against a segment of another key or
// version.
func TestRemovedAndSwappedRecords(t *testing.T) {
	k := testKey(t)
	segment := buildSegment(t, 5)
	frame := (len(segment) - HeaderSize) / 5
	at := func(i int) int { return HeaderSize + i*frame }
	removed := slices.Concat(segment[:at(2)], segment[at(3):])
	swapped := slices.Concat(segment[:at(1)], segment[at(2):at(3)], segment[at(1):at(2)], segment[at(3):])
	for change, b := range map[string][]byte{"removed": removed, "swapped": swapped} {
		if n, tail, err := readSegment(k, b); n == 5 || tail != DamagedTail || err != nil {
			t.Errorf("records %s: %d records, tail %v, error %v", change, n, tail, err)
		}
	}
	for cut := at(4) + 1; cut < len(segment); cut++ { // a process was killed during the write
		if n, tail, _ := readSegment(k, segment[:cut]); n != 4 || tail != TornTail {
			t.Fatalf("truncated to %d bytes: %d records, tail %v; want 4, torn", cut, n, tail)
		}
	}
	if other, _ := NewKey(bytes.Repeat([]byte("x"), MinKeySize)); other != nil {
		if _, _, err := readSegment(other, segment); !errors.Is(err, ErrKey) {
			t.Errorf("wrong key: error %v, want ErrKey", err)
		}
	}
	newer := slices.Clone(segment)
	newer[8]++
	if _, _, err := readSegment(k, newer); !errors.Is(err, ErrVersion) {
		t.Errorf("newer version: error %v, want ErrVersion", err)
	}
}

// FuzzSegment checks that no input makes the reader panic or return records that are not authentic.
func FuzzSegment(f *testing.F) {
	segment := buildSegment(f, 3)
	f.Add(segment, 0, byte(0))
	f.Add(segment, 90, byte(0xff))
	f.Add(segment[:len(segment)-3], 100, byte(1))
	k := testKey(f)
	f.Fuzz(func(t *testing.T, b []byte, at int, x byte) {
		if n, _, err := readSegment(k, b); err == nil && n > 3 {
			t.Errorf("%d authentic records in arbitrary bytes", n)
		}
		if at >= 0 && at < len(segment) && x != 0 {
			c := slices.Clone(segment)
			c[at] ^= x
			if n, tail, err := readSegment(k, c); err == nil && n == 3 && tail == CleanTail {
				t.Errorf("change of byte %d was not detected", at)
			}
		}
	})
}

// FuzzRecord checks that each decoded record is within the limits and can be encoded again.
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
		encoded, err := Encode(nil, r)
		if err != nil {
			t.Fatalf("decoded record %+v cannot be encoded: %v", r, err)
		}
		if _, err := Decode(encoded); err != nil {
			t.Fatalf("record %+v cannot be decoded again: %v", r, err)
		}
	})
}
