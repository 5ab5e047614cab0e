package upstream

import (
	"bytes"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"sedgevale/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m, 200) }

// A body yields the same lines however it is divided into chunks.
func TestLineSplitterChunks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := rapid.SliceOfN(rapid.StringMatching(`[ -~]{0,40}`), 0, 6).Draw(t, "lines")
		body := []byte(strings.Join(append(want, ""), "\n"))
		var l lineSplitter
		var got []string
		for len(body) > 0 {
			n := rapid.IntRange(1, len(body)).Draw(t, "cut")
			for part := body[:n]; len(part) > 0; {
				line, rest, err := l.next(part)
				if err != nil {
					t.Fatal(err)
				}
				if line != nil {
					got = append(got, string(line))
				}
				part = rest
			}
			body = body[n:]
		}
		if strings.Join(got, "\n") != strings.Join(want, "\n") || len(got) != len(want) || len(l.partial) > 0 {
			t.Fatalf("got lines %q with %q buffered, want %q", got, l.partial, want)
		}
	})
}

// Guards against a worker that exhausts the memory with a line that never ends.
func TestLineSplitterBound(t *testing.T) {
	var l lineSplitter
	part := bytes.Repeat([]byte("x"), 64<<10)
	for n := 0; n <= maxLineBytes; n += len(part) {
		if _, _, err := l.next(part); err != nil {
			return
		}
	}
	t.Errorf("%d bytes of a line are buffered without an error", len(l.partial))
}

func TestObjectsAndReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.OneOf(rapid.StringMatching(`\{("(id|state|share|load|result)":[0-9a-z"{}:]*,?)*\}?`),
			rapid.String()).Draw(t, "garbage")
		_, _ = parseLine([]byte(text)) // must not panic
		_ = parseLoadHeader(text)
	})
	l, err := parseLine([]byte(`{"id":"a","state":"done","result":"x\"y","load":{"lat_ms":3,"q":0,"x0":2.5}}`))
	if err != nil || l.ID != "a" || *l.Result != `x"y` {
		t.Errorf("%+v, error %v", l, err)
	}
	if r := loadReport(l.Load); r == nil || !r.HasFreeSlots || r.FreeSlots != 2.5 || r.HasInFlight {
		t.Errorf("report %+v", r)
	}
	if r := parseLoadHeader("inflight=7, x0=1,util=nan,bad"); r == nil || r.InFlight != 7 || r.FreeSlots != 1 {
		t.Errorf("report %+v", r)
	}
	if r := parseLoadHeader("lat_ms=3,q=1"); r != nil {
		t.Errorf("a report without used values is parsed as %+v", r)
	}
}
