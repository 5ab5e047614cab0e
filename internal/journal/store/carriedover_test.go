package store_test

import (
	"fmt"
	"testing"
	"time"

	"sedgevale/internal/journal"
	"sedgevale/internal/journal/store"
)

// A process dies after the intent of a second attempt was written and before it was synced. The next process writes the
// job's records again. Once retention has removed the segment with the first intent, what is left is no damage.
func TestCarriedOverJobOutlivesItsFirstSegment(t *testing.T) {
	d := newSteppedStore(t, 8<<20, func(o *store.Options) { o.Retention = time.Minute })
	serial, _ := d.begin("j")
	d.step() // the job and its first intent are durable
	at := d.now.UnixMicro()
	d.s.Put(journal.Record{Kind: journal.Ended, Serial: serial, At: at, Code: uint8(journal.OutcomeConnectFailed), NeverRan: true}, nil)
	d.s.Put(journal.Record{Kind: journal.Intent, Serial: serial, At: at, JobID: "j", Worker: "other", Attempt: 1}, nil)
	d.s.WriteBatch()
	d.disk = d.disk.Kill()
	d.open()
	d.steps(3)
	if v := d.view(); v.Damaged() {
		t.Fatalf("before the first segment is removed: %v", v.Problems)
	}
	d.now = d.now.Add(59 * time.Second)
	for range 100 {
		d.now = d.now.Add(20 * time.Millisecond)
		d.step()
		if v := d.view(); v.Damaged() {
			t.Fatalf("%v after the first segment was removed: %v", d.now, v.Problems)
		}
		if v := d.verdict("j"); v != "unknown" {
			t.Fatalf("%v after the first segment was removed the job is %s", d.now, v)
		}
	}
}

// A job is retried in a later segment than the one with its acceptance, and resolved. Once retention has removed the first segment,
// the verdict is the same, for a reader and for the next process, and no operator is asked to settle it.
func TestResolvedJobOutlivesItsFirstSegment(t *testing.T) {
	for _, test := range []struct {
		name    string
		last    journal.Record // the end of the second attempt
		verdict string
	}{
		{"ran", journal.Record{Code: uint8(journal.OutcomeServed)}, "ran"},
		{"did not run", journal.Record{Code: uint8(journal.OutcomeConnectFailed), NeverRan: true}, "did_not_run"},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newSteppedStore(t, 8<<20, func(o *store.Options) { o.Retention = time.Minute })
			serial, _ := d.begin("j")
			d.step()
			d.fillSegment()
			d.now = d.now.Add(30 * time.Second)
			refused := journal.Record{Code: uint8(journal.OutcomeConnectFailed), NeverRan: true}
			d.putAttempt(journal.Ended, serial, 0, refused)
			d.putAttempt(journal.Intent, serial, 1, journal.Record{JobID: "j", Worker: "other"})
			d.putAttempt(journal.Ended, serial, 1, test.last)
			d.putAttempt(journal.Answered, serial, 0, journal.Record{Code: uint8(journal.Served)})
			d.step()
			d.now = d.now.Add(35 * time.Second) // the first segment is too old, the job's later records are not
			d.steps(3)
			v := d.view()
			if v.Logs[0].PrunedThrough == 0 {
				t.Fatal("the first segment was not dropped")
			}
			if v.Damaged() {
				t.Errorf("damage: %v", v.Problems)
			}
			if got := d.verdict("j"); got != test.verdict {
				t.Errorf("the job is %s", got)
			}
			d.disk = d.disk.Kill()
			d.open()
			if n := d.s.UnresolvedJobs(); n != 0 {
				t.Errorf("the next process has %d jobs to settle", n)
			}
		})
	}
}

// putAttempt puts a record of an attempt, with the fields of r.
func (d *steppedStore) putAttempt(kind journal.Kind, serial uint64, number int, r journal.Record) {
	r.Kind, r.Serial, r.Attempt, r.At = kind, serial, number, d.now.UnixMicro()
	d.s.Put(r, nil)
}

// fillSegment writes jobs until the next segment has begun.
func (d *steppedStore) fillSegment() {
	d.t.Helper()
	for i := range 1000 {
		if d.view().Logs[0].Segments > 1 {
			return
		}
		serial, _ := d.begin(fmt.Sprintf("filler-%d", i))
		d.end(serial)
		d.step()
	}
	d.t.Fatal("no second segment")
}
