package store_test

import (
	"fmt"
	"testing"
	"time"

	"sedgevale/internal/journal"
	"sedgevale/internal/journal/store"
)

// Guards against reported damage after a process dies between the write and the sync of a second attempt's intent: the next
// process rewrites the job's records, and retention then removes the segment with the first intent.
func TestCarriedOverJobOutlivesItsFirstSegment(t *testing.T) {
	d := newSteppedStore(t, 8<<20, func(o *store.Options) { o.Retention = time.Minute })
	serial, _ := d.begin("j")
	d.step() // makes the job and its first intent durable
	at := d.now.UnixMicro()
	d.s.Put(journal.Record{Kind: journal.Ended, Serial: serial, At: at, Code: uint8(journal.OutcomeConnectFailed), NeverRan: true}, nil)
	d.s.Put(journal.Record{Kind: journal.Intent, Serial: serial, At: at, JobID: "j", Worker: "other", Attempt: 1}, nil)
	d.s.WriteBatch()
	d.disk = d.disk.Kill()
	d.open()
	d.runSteps(3)
	if v := d.view(); v.Damaged() {
		t.Fatalf("damage before the first segment is removed: %v", v.Problems)
	}
	d.now = d.now.Add(59 * time.Second)
	for range 100 {
		d.now = d.now.Add(20 * time.Millisecond)
		d.step()
		if v := d.view(); v.Damaged() {
			t.Fatalf("at %v, after the first segment was removed: damage %v", d.now, v.Problems)
		}
		if v := d.verdict("j"); v != "unknown" {
			t.Fatalf("at %v, after the first segment was removed: verdict %s, want unknown", d.now, v)
		}
	}
}

// Guards against a wrong verdict on a job that is retried in a later segment than that of its acceptance, and resolved. After
// retention has removed the first segment, readers and the next process derive the same verdict, and the job does not wait for
// an operator.
func TestResolvedJobOutlivesItsFirstSegment(t *testing.T) {
	for _, test := range []struct {
		name    string
		last    journal.Record // end record of the second attempt
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
			d.now = d.now.Add(35 * time.Second) // only the first segment exceeds the retention
			d.runSteps(3)
			v := d.view()
			if v.Logs[0].PrunedThrough == 0 {
				t.Fatal("the first segment was not dropped")
			}
			if v.Damaged() {
				t.Errorf("damage: %v", v.Problems)
			}
			if got := d.verdict("j"); got != test.verdict {
				t.Errorf("verdict %s, want %s", got, test.verdict)
			}
			d.disk = d.disk.Kill()
			d.open()
			if n := d.s.UnresolvedJobs(); n != 0 {
				t.Errorf("the next process has %d unresolved jobs, want none", n)
			}
		})
	}
}

// putAttempt puts a record of an attempt with the remaining fields of r.
func (d *steppedStore) putAttempt(kind journal.Kind, serial uint64, number int, r journal.Record) {
	r.Kind, r.Serial, r.Attempt, r.At = kind, serial, number, d.now.UnixMicro()
	d.s.Put(r, nil)
}

// fillSegment writes jobs until the next segment exists.
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
	d.t.Fatal("no second segment after 1000 jobs")
}
