package store_test

import (
	"testing"
	"time"

	"sedgevale/internal/fake"
	"sedgevale/internal/journal"
	"sedgevale/internal/journal/store"
)

// slowDisk delays syncs of files like a busy disk.
type slowDisk struct {
	store.FS
	started chan struct{} // a sync sends to it when it starts
	proceed chan struct{} // a sync receives from it before it continues
}

type slowFile struct {
	store.File
	disk *slowDisk
}

func (d *slowDisk) Create(path string) (store.File, error) {
	f, err := d.FS.Create(path)
	return &slowFile{f, d}, err
}

func (f *slowFile) Sync() error {
	f.disk.started <- struct{}{}
	<-f.disk.proceed
	return f.File.Sync()
}

// Guards against records that wait in memory behind a sync of earlier ones: they must be written during the sync, so that they
// survive the end of the process. They must not count as durable until a sync that starts after the write.
func TestWritesDuringSync(t *testing.T) {
	memory := fake.NewDisk(1, 1<<20)
	disk := &slowDisk{FS: memory, started: make(chan struct{}), proceed: make(chan struct{})}
	s, err := store.Open(store.Options{FS: disk, Dir: "j", Secret: secret, Sync: true})
	if err != nil {
		t.Fatal(err)
	}
	completeSync := func() { <-disk.started; disk.proceed <- struct{}{} }
	first, second := make(chan error, 1), make(chan error, 1)
	s.Put(journal.Record{Kind: journal.Accepted, Serial: 1, At: 1, JobID: "one", Class: "once"}, func(err error) { first <- err })
	completeSync() // sync of the segment's creation
	<-disk.started
	s.Put(journal.Record{Kind: journal.Accepted, Serial: 2, At: 2, JobID: "two", Class: "once"}, func(err error) { second <- err })
	deadline := time.Now().Add(10 * time.Second)
	for !recorded(t, memory, "two") {
		if time.Now().After(deadline) {
			t.Fatal("the record was not written during the sync of earlier records")
		}
	}
	disk.proceed <- struct{}{}
	if err := <-first; err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-second:
		t.Errorf("the record counts as durable after a sync that started before its write, error %v", err)
	default:
	}
	completeSync()
	if err := <-second; err != nil {
		t.Fatal(err)
	}
	closed, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-disk.started:
				disk.proceed <- struct{}{}
			case <-closed:
				return
			}
		}
	}()
	s.Close()
	close(closed)
	<-ended
}

// recorded reports whether a process that starts now would find the job in the journal.
func recorded(t *testing.T, disk *fake.Disk, job string) bool {
	view, err := store.Read(disk, "j", secret, "")
	if err != nil {
		t.Fatal(err)
	}
	for _, j := range view.Jobs {
		if j.ID == job {
			return true
		}
	}
	return false
}
