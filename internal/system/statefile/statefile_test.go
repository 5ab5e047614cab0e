package statefile

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// testState is a state that consists of the list of its entries.
type testState struct{ entries []string }

func (s *testState) replay(payload []byte) error {
	s.entries = append(s.entries, string(payload))
	return nil
}

func (s *testState) snapshot(emit func([]byte) error) error {
	for _, e := range s.entries {
		if err := emit([]byte(e)); err != nil {
			return err
		}
	}
	return nil
}

func (s *testState) open(t *testing.T, dir string) *Log {
	t.Helper()
	s.entries = nil
	l, err := Open(dir, s.replay, s.snapshot)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close(context.Background()) }) // some tests close the file themselves
	return l
}

func (s *testState) append(t *testing.T, l *Log, entry string) {
	t.Helper()
	s.entries = append(s.entries, entry)
	ticket := l.Append([]byte(entry))
	<-ticket.Done()
	if ticket.Err() != nil {
		t.Fatal(ticket.Err())
	}
}

func TestEntriesSurviveRestart(t *testing.T) {
	dir := t.TempDir()
	s := &testState{}
	l := s.open(t, dir)
	for i := range 10 {
		s.append(t, l, fmt.Sprint("entry", i))
	}
	want := slices.Clone(s.entries)
	for range 3 {
		s.open(t, dir)
		if !slices.Equal(s.entries, want) {
			t.Fatalf("entries after a restart: %v, want %v", s.entries, want)
		}
	}
	files, _ := os.ReadDir(dir)
	if len(files) != 2 {
		t.Errorf("%d files, want one snapshot and one log", len(files))
	}
}

// A power loss may corrupt or truncate a write that was not synced. Acknowledged entries must survive, and entries appended
// after the restart must not be written behind the corrupt frame, where a replay would not find them.
func TestCorruptTailIsIgnored(t *testing.T) {
	for seed := range uint64(60) {
		dir := t.TempDir()
		s := &testState{}
		l := s.open(t, dir)
		for i := range 5 {
			s.append(t, l, fmt.Sprint("entry", i, strings.Repeat("x", i*10)))
		}
		want := slices.Clone(s.entries)
		corruptTail(t, dir, seed)
		l = s.open(t, dir)
		if !slices.Equal(s.entries, want) {
			t.Fatalf("seed %d: entries after the power loss: %v, want %v", seed, s.entries, want)
		}
		s.append(t, l, "later")
		s.open(t, dir)
		if !slices.Equal(s.entries, append(want, "later")) {
			t.Fatalf("seed %d: entries after a further append: %v", seed, s.entries)
		}
	}
}

// corruptTail appends a truncated or corrupted frame to the newest log, as a power loss during a write may leave it.
func corruptTail(t *testing.T, dir string, seed uint64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 3))
	logs, _ := filepath.Glob(filepath.Join(dir, logPrefix+"*"))
	file, err := os.OpenFile(logs[len(logs)-1], os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := file.Close(); err != nil {
			t.Error(err)
		}
	}()
	frame := appendFrame(nil, []byte("never acknowledged"))
	switch seed % 3 {
	case 0:
		frame = frame[:random.IntN(len(frame))]
	case 1:
		frame[random.IntN(len(frame))] ^= 1 << random.IntN(8)
	default:
		clear(frame[random.IntN(len(frame)):])
		frame[len(frame)-1] = 0
	}
	if _, err := file.Write(frame); err != nil {
		t.Fatal(err)
	}
}

// An incomplete snapshot is ignored, and the previous generation is replayed.
func TestIncompleteSnapshotIsIgnored(t *testing.T) {
	dir := t.TempDir()
	s := &testState{}
	l := s.open(t, dir)
	s.append(t, l, "a")
	s.append(t, l, "b")
	generation := l.generation
	incomplete := filepath.Join(dir, fileName(snapshotPrefix, generation+1))
	if err := os.WriteFile(incomplete, append(slices.Clone(magic), layoutVersion, 9, 9), 0o644); err != nil {
		t.Fatal(err)
	}
	s.open(t, dir)
	if !slices.Equal(s.entries, []string{"a", "b"}) {
		t.Errorf("entries after a restart: %v", s.entries)
	}
}

func TestLongLogBeginsNewGeneration(t *testing.T) {
	dir := t.TempDir()
	s := &testState{}
	l := s.open(t, dir)
	before := l.generation
	big := strings.Repeat("x", 2<<20)
	for range 5 {
		s.append(t, l, big)
		s.entries = s.entries[:0] // keeps snapshots small
	}
	s.append(t, l, "last")
	if l.generation == before {
		t.Error("no new generation after 10 MiB of entries")
	}
	s.open(t, dir)
	if s.entries[len(s.entries)-1] != "last" {
		t.Error("the last entry is lost after a restart")
	}
}

// A failed write fails the queued appends; the next append begins a new generation with the complete state.
func TestFailedWriteBeginsNewGeneration(t *testing.T) {
	dir := t.TempDir()
	s := &testState{}
	l := s.open(t, dir)
	s.append(t, l, "a")
	if err := l.file.Close(); err != nil { // the next write fails
		t.Fatal(err)
	}
	s.entries = append(s.entries, "b")
	ticket := l.Append([]byte("b"))
	<-ticket.Done()
	if ticket.Err() == nil {
		t.Fatal("a write to a closed file succeeded")
	}
	s.append(t, l, "c")
	s.open(t, dir)
	if !slices.Equal(s.entries, []string{"a", "b", "c"}) {
		t.Errorf("entries after a restart: %v", s.entries)
	}
}

// A log without a complete snapshot is not replayed: the directory counts as empty, and Inspect marks no file as live.
func TestLogWithoutSnapshotIsIgnored(t *testing.T) {
	dir := t.TempDir()
	s := &testState{}
	l := s.open(t, dir)
	s.append(t, l, "a")
	snapshot := filepath.Join(dir, fileName(snapshotPrefix, l.generation))
	if err := os.Truncate(snapshot, 20); err != nil {
		t.Fatal(err)
	}
	files, err := Inspect(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		if f.Live {
			t.Errorf("Inspect reports %s as live", f.Name)
		}
	}
	s.open(t, dir)
	if len(s.entries) != 0 {
		t.Errorf("entries after a restart: %v", s.entries)
	}
}
