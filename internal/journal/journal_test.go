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
	k, err := NewKey(bytes.Repeat([]byte("k"), MinKey))
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// plain is a job as one would note it on paper: what became of each attempt, as a word.
type plain struct {
	attempts []string // "out", "served", "unseen", "doubt"
	answered bool
	died     bool
}

func (p *plain) verdict() Verdict {
	switch {
	case slices.Contains(p.attempts, "served"):
		return Ran
	case slices.Contains(p.attempts, "out"), slices.Contains(p.attempts, "doubt"), !p.answered && !p.died:
		return Unknown
	}
	return DidNotRun
}

func (p *plain) open() bool {
	return !p.died && (!p.answered || slices.Contains(p.attempts, "out"))
}

// Guards against a verdict that says more than the records do, and against records that
// are taken though nothing can follow on them.
func TestJobAgainstPlainModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, p := NewBook(), &plain{}
		j, err := b.Apply(&Record{Kind: Taken, Serial: 1, Job: "j", At: 1})
		if err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(0, 12).Draw(t, "steps") {
			n := rapid.IntRange(0, 3).Draw(t, "attempt")
			r := Record{Serial: 1, Attempt: n, At: rapid.Int64Range(1, 9).Draw(t, "at")}
			fits := false
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				r.Kind, r.Worker = Intent, "w"
				if fits = n == len(p.attempts) && !p.answered && !p.died; fits {
					p.attempts = append(p.attempts, "out")
				}
			case 1:
				r.Kind = Sent
				fits = n < len(p.attempts) && p.attempts[n] == "out" && !p.died
			case 2:
				r.Kind = Ended
				o := Outcome(rapid.IntRange(1, int(OutNotSent)).Draw(t, "outcome"))
				r.Code, r.Unseen = uint8(o), o == OutNotSent || o == OutConnectFailed
				word := "doubt"
				if o == OutServed {
					word = "served"
				} else if r.Unseen {
					word = "unseen"
				}
				if fits = n < len(p.attempts) && p.attempts[n] == "out" && !p.died; fits {
					p.attempts[n] = word
				}
				fits = fits || n >= len(p.attempts) && r.Unseen
			case 3:
				r.Kind, r.Code = Answered, uint8(Failed)
				fits = !p.answered && !p.died
				p.answered = p.answered || fits
			case 4:
				if rapid.IntRange(0, 3).Draw(t, "dies") == 0 {
					b.Died()
					p.died = p.died || p.open()
				}
				continue
			case 5:
				r.Kind, r.Text = Pruned, ""
				fits = true
			}
			_, err := b.Apply(&r)
			if fits != (err == nil) {
				t.Fatalf("record %+v on %+v: fits %v, error %v", r, *j, fits, err)
			}
			j.Gap = false // what did not fit has marked the job; the next step is about the next record
		}
		if v, reason, _ := j.Verdict(); v != p.verdict() || j.Open() != p.open() {
			t.Fatalf("%v (%s), open %v; the model says %v, %v: %+v", v, reason, j.Open(), p.verdict(), p.open(), p)
		}
	})
}

// A job that is settled says so, whatever else is known; a gap leaves no job that was
// open without doubt.
func TestSettledAndGap(t *testing.T) {
	b := NewBook()
	j, _ := b.Apply(&Record{Kind: Taken, Serial: 7, Job: "j", At: 1})
	if _, err := b.Apply(&Record{Kind: Gap, Count: 3}); err != nil {
		t.Fatal(err)
	}
	b.Died()
	if v, _, _ := j.Verdict(); v != Unknown {
		t.Errorf("with records missing it is %v", v)
	}
	if _, err := b.Apply(&Record{Kind: Settled, Serial: 7, Code: uint8(DidNotRun), Who: "ann", Text: "the box has no trace"}); err != nil {
		t.Fatal(err)
	}
	if v, reason, _ := j.Verdict(); v != DidNotRun || reason != "settled by ann: the box has no trace" {
		t.Errorf("%v: %s", v, reason)
	}
	if _, err := b.Apply(&Record{Kind: Sent, Serial: 8}); !errors.Is(err, ErrUnknownJob) {
		t.Errorf("a record of an unknown job: %v", err)
	}
}

// Guards the format: what is written is read again, and what is out of bounds is not
// written past its reader.
func TestRecordRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringN(0, 40, 400)
		r := Record{Kind: Kind(rapid.SampledFrom([]Kind{Taken, Intent, Sent, Started, Gap, Closed}).Draw(t, "kind")),
			Serial: rapid.Uint64().Draw(t, "serial"), At: rapid.Int64().Draw(t, "at"), Job: text.Draw(t, "job"),
			Worker: text.Draw(t, "worker"), Target: text.Draw(t, "target"), Size: rapid.IntRange(0, 1<<16).Draw(t, "size"),
			Attempt: rapid.IntRange(0, MaxAttempts-1).Draw(t, "attempt"), Unseen: rapid.Bool().Draw(t, "unseen"),
			Digest: rapid.SliceOfN(rapid.Byte(), 1, 16).Draw(t, "digest")}
		r.Clip()
		b, err := Encode(nil, &r)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(b)
		if err != nil || got.Job != r.Job || got.Serial != r.Serial || got.At != r.At || got.Worker != r.Worker ||
			got.Target != r.Target || got.Size != r.Size || !bytes.Equal(got.Digest, r.Digest) || got.Kind != r.Kind {
			t.Fatalf("%+v became %+v, error %v", r, got, err)
		}
		for _, cut := range []int{1, len(b) / 2, len(b) - 1} {
			if _, err := Decode(b[:cut]); err == nil {
				t.Fatalf("%d of %d bytes were taken for a record", cut, len(b))
			}
		}
	})
	for _, bad := range []Record{{Kind: 0}, {Kind: lastKind + 1}, {Kind: Ended, Code: 99}, {Kind: Ended}, {Kind: Kept},
		{Kind: Sent, Attempt: MaxAttempts}, {Kind: Taken, Job: string(make([]byte, MaxText+1))}} {
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
		r := Record{Kind: Taken, Serial: uint64(i + 1), At: 1e15, Job: "job", Class: "plan-change", Digest: bytes.Repeat([]byte{byte(i)}, 16)}
		if b, mac, err = k.AppendFrame(b, mac, int64(len(b)), &r); err != nil {
			t.Fatal(err)
		}
	}
	return b
}

// walk reads a segment and returns how many records it has and what stands behind them.
func walk(k *Key, b []byte) (n int, tail Tail, err error) {
	_, mac, err := k.ReadHeader(b)
	if err != nil {
		return 0, DamagedTail, err
	}
	at := HeaderSize
	for {
		f, err := k.ReadFrame(b[at:], mac)
		if err != nil {
			return n, k.JudgeTail(b, at), nil
		}
		if _, err := Decode(f.Record); err != nil {
			return n, DamagedTail, nil
		}
		mac, at, n = f.Mac, at+f.Size, n+1
	}
}

// Guards against a record that is altered, left out or moved without a sign.
func TestTampering(t *testing.T) {
	k := testKey(t)
	whole := segmentOf(t, 5)
	frame := (len(whole) - HeaderSize) / 5
	if n, tail, err := walk(k, whole); n != 5 || tail != CleanTail || err != nil {
		t.Fatalf("untouched: %d records, %v, %v", n, tail, err)
	}
	for bit := range 8 * len(whole) {
		b := slices.Clone(whole)
		b[bit/8] ^= 1 << (bit % 8)
		n, tail, err := walk(k, b)
		if err == nil && (n == 5 || tail == CleanTail) {
			t.Fatalf("bit %d of byte %d was turned: %d records, %v", bit%8, bit/8, n, tail)
		}
		if last := len(whole) - frame; bit/8 < last && bit/8 >= HeaderSize && tail != DamagedTail && err == nil {
			t.Fatalf("bit %d of byte %d was turned, and that is taken for %v", bit%8, bit/8, tail)
		}
	}
	at := func(i int) int { return HeaderSize + i*frame }
	gone := slices.Concat(whole[:at(2)], whole[at(3):])
	swapped := slices.Concat(whole[:at(1)], whole[at(2):at(3)], whole[at(1):at(2)], whole[at(3):])
	for what, b := range map[string][]byte{"left out": gone, "swapped": swapped} {
		if n, tail, err := walk(k, b); n == 5 || tail != DamagedTail || err != nil {
			t.Errorf("a record was %s: %d records, %v, %v", what, n, tail, err)
		}
	}
	for cut := at(4) + 1; cut < len(whole); cut++ { // a process that was killed as it wrote
		if n, tail, _ := walk(k, whole[:cut]); n != 4 || tail != TornTail {
			t.Fatalf("cut to %d bytes: %d records, %v", cut, n, tail)
		}
	}
	if other, _ := NewKey(bytes.Repeat([]byte("x"), MinKey)); other != nil {
		if _, _, err := walk(other, whole); !errors.Is(err, ErrKey) {
			t.Errorf("another key: %v", err)
		}
	}
	newer := slices.Clone(whole)
	newer[8]++
	if _, _, err := walk(k, newer); !errors.Is(err, ErrVersion) {
		t.Errorf("another version: %v", err)
	}
}

// FuzzSegment: no bytes make the reader panic or read what is not authentic.
func FuzzSegment(f *testing.F) {
	whole := segmentOf(f, 3)
	f.Add(whole, 0, byte(0))
	f.Add(whole, 90, byte(0xff))
	f.Add(whole[:len(whole)-3], 100, byte(1))
	k := testKey(f)
	f.Fuzz(func(t *testing.T, b []byte, at int, x byte) {
		if n, _, err := walk(k, b); err == nil && n > 3 {
			t.Errorf("%d records of bytes that nobody has written", n)
		}
		if at >= 0 && at < len(whole) && x != 0 {
			c := slices.Clone(whole)
			c[at] ^= x
			if n, tail, err := walk(k, c); err == nil && n == 3 && tail == CleanTail {
				t.Errorf("byte %d was changed without a sign", at)
			}
		}
	})
}

// FuzzRecord: what is read is within its bounds, and is written the same again.
func FuzzRecord(f *testing.F) {
	for _, r := range []Record{{Kind: Taken, Serial: 1, Job: "j"}, {Kind: Ended, Code: 1}, {Kind: Kept, Whole: &Job{ID: "j"}}} {
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
