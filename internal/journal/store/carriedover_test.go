package store_test

import (
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
	}
}
