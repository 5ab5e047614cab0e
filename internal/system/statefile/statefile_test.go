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

// memory is a state that is just the list of its entries.
type memory struct{ entries []string }

func (m *memory) replay(payload []byte) error {
	m.entries = append(m.entries, string(payload))
	return nil
}

func (m *memory) snapshot(emit func([]byte) error) error {
	for _, e := range m.entries {
		if err := emit([]byte(e)); err != nil {
			return err
		}
	}
	return nil
}

func (m *memory) open(t *testing.T, dir string) *Log {
	t.Helper()
	m.entries = nil
	l, err := Open(dir, m.replay, m.snapshot)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close(context.Background()) }) // a test may have closed its file
	return l
}

func (m *memory) append(t *testing.T, l *Log, entry string) {
	t.Helper()
	m.entries = append(m.entries, entry)
	ticket := l.Append([]byte(entry))
	<-ticket.Done()
	if ticket.Err() != nil {
		t.Fatal(ticket.Err())
	}
}

func TestEntriesOutliveTheProcess(t *testing.T) {
	dir := t.TempDir()
	m := &memory{}
	l := m.open(t, dir)
	for i := range 10 {
		m.append(t, l, fmt.Sprint("entry", i))
	}
	want := slices.Clone(m.entries)
	for range 3 {
		m.open(t, dir)
		if !slices.Equal(m.entries, want) {
			t.Fatalf("entries %v", m.entries)
		}
	}
	files, _ := os.ReadDir(dir)
	if len(files) != 2 {
		t.Errorf("%d files, one snapshot and one log wanted", len(files))
	}
}

// A power loss tears or drops what was written after the last sync; what was acknowledged stays, and what is
// appended after the start is not written behind the torn part, where a replay would miss it.
func TestTornEndIsCutOff(t *testing.T) {
	for seed := range uint64(60) {
		dir := t.TempDir()
		m := &memory{}
		l := m.open(t, dir)
		for i := range 5 {
			m.append(t, l, fmt.Sprint("entry", i, strings.Repeat("x", i*10)))
		}
		want := slices.Clone(m.entries)
		tear(t, dir, seed)
		l = m.open(t, dir)
		if !slices.Equal(m.entries, want) {
			t.Fatalf("seed %d: entries %v", seed, m.entries)
		}
		m.append(t, l, "later")
		m.open(t, dir)
		if !slices.Equal(m.entries, append(want, "later")) {
			t.Fatalf("seed %d: entries %v after the tear", seed, m.entries)
		}
	}
}

// tear appends a damaged frame, as a power loss during a write leaves it.
func tear(t *testing.T, dir string, seed uint64) {
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

// An incomplete snapshot is ignored, and the generation before it counts.
func TestIncompleteSnapshotIsIgnored(t *testing.T) {
	dir := t.TempDir()
	m := &memory{}
	l := m.open(t, dir)
	m.append(t, l, "a")
	m.append(t, l, "b")
	generation := l.generation
	half := filepath.Join(dir, fileName(snapshotPrefix, generation+1))
	if err := os.WriteFile(half, append(slices.Clone(magic), formatVersion, 9, 9), 0o644); err != nil {
		t.Fatal(err)
	}
	m.open(t, dir)
	if !slices.Equal(m.entries, []string{"a", "b"}) {
		t.Errorf("entries %v", m.entries)
	}
}

func TestLongLogBeginsANewGeneration(t *testing.T) {
	dir := t.TempDir()
	m := &memory{}
	l := m.open(t, dir)
	before := l.generation
	big := strings.Repeat("x", 2<<20)
	for range 5 {
		m.append(t, l, big)
		m.entries = m.entries[:0] // superseded
	}
	m.append(t, l, "last")
	if l.generation == before {
		t.Error("no compaction after 10 MB")
	}
	m.open(t, dir)
	if m.entries[len(m.entries)-1] != "last" {
		t.Error("the last entry is lost")
	}
}

// A disk that rejects a write fails the appends that wait; the next ones begin a new generation with all that is known.
func TestFailedWriteBeginsANewGeneration(t *testing.T) {
	dir := t.TempDir()
	m := &memory{}
	l := m.open(t, dir)
	m.append(t, l, "a")
	if err := l.file.Close(); err != nil { // the next write fails
		t.Fatal(err)
	}
	m.entries = append(m.entries, "b")
	ticket := l.Append([]byte("b"))
	<-ticket.Done()
	if ticket.Err() == nil {
		t.Fatal("a write to a closed file succeeded")
	}
	m.append(t, l, "c")
	m.open(t, dir)
	if !slices.Equal(m.entries, []string{"a", "b", "c"}) {
		t.Errorf("entries %v", m.entries)
	}
}

// A log without its snapshot is no state: the disk counts as empty, and a check says so.
func TestLogWithoutItsSnapshotIsIgnored(t *testing.T) {
	dir := t.TempDir()
	m := &memory{}
	l := m.open(t, dir)
	m.append(t, l, "a")
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
			t.Errorf("%s is said to be read at a start", f.Name)
		}
	}
	m.open(t, dir)
	if len(m.entries) != 0 {
		t.Errorf("entries %v", m.entries)
	}
}
