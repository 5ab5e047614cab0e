package peerlink

import (
	"bytes"
	"context"
	"log/slog"
	"net/netip"
	"strings"
	"testing"
	"time"

	"sedgevale/internal/dispatch"
	"sedgevale/internal/peers"
	"sedgevale/internal/testkit"
)

// startLink starts a link without planners.
func startLink(t *testing.T, self int, addrs []netip.AddrPort, watch bool, r peers.Revision) *Link {
	t.Helper()
	l := New(Options{Listen: addrs[self], Peers: addrs, Self: self, Site: 1, FailureDetection: watch, Seed: uint64(self), MinSubscribers: 2, MinSubset: 1,
		Revision: r, Clock: dispatch.NewClock(), Log: slog.New(slog.DiscardHandler)})
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { l.Run(ctx); close(done) }()
	t.Cleanup(func() { stop(); <-done })
	return l
}

// Guards the exchange of revisions over real sockets: the one in force from the start, and later ones.
func TestRevisionsReachOthers(t *testing.T) {
	addrs := addresses(t, 3)
	old := peers.Revision{Number: 41, Digest: 0xa1}
	links := []*Link{startLink(t, 0, addrs, true, old), startLink(t, 1, addrs, true, old), startLink(t, 2, addrs, true, old)}
	shown := func(number uint32, digest string) func() bool {
		return func() bool {
			for _, l := range links {
				s := l.Status()
				if s.Newest != number || s.Members[1].Revision != number || s.Members[1].Digest != digest {
					return false
				}
			}
			return true
		}
	}
	testkit.Eventually(t, "all know what 1 had in force at its start", shown(41, "000000a1"))
	links[1].SetRevision(peers.Revision{Number: 42, Digest: 0xb2})
	testkit.Eventually(t, "all know what came in force at 1", shown(42, "000000b2"))
	if s := links[0].Status(); s.Members[0].BehindMS < 0 || s.Members[1].BehindMS >= 0 {
		t.Errorf("0 and 1 are %d and %d ms behind; want 0 behind, 1 not", s.Members[0].BehindMS, s.Members[1].BehindMS)
	}
	links[1].SetRevision(old)
	testkit.Eventually(t, "all know that 1 reverted it", shown(41, "000000a1"))
}

// Guards schedulers without failure detection, as with the platform's configuration: a new revision sends nothing.
func TestRevisionsWithoutFailureDetection(t *testing.T) {
	addrs := addresses(t, 2)
	links := []*Link{startLink(t, 0, addrs, false, peers.Revision{Number: 41}), startLink(t, 1, addrs, false, peers.Revision{Number: 41})}
	for _, l := range links {
		l.SetRevision(peers.Revision{Number: 42, Digest: 1})
	}
	for i := range 60 { // the ticks of three seconds
		for _, l := range links {
			l.mu.Lock()
			now := l.options.Clock.Now() + time.Duration(i)*peers.TickInterval
			l.node.Tick(now)
			l.node.Flush(now, l.send)
			l.mu.Unlock()
		}
	}
	for i, l := range links {
		if c := l.Status().Counts; c.Sent != 0 || c.Received != 0 {
			t.Errorf("%d: %+v, want that nothing was sent", i, c)
		}
	}
}

// Guards the log: a line for each member that is behind or has caught up, one for all where they are many, none for others.
func TestLagsAreLogged(t *testing.T) {
	addrs := addresses(t, 9)
	var out bytes.Buffer
	l := New(Options{Listen: addrs[0], Peers: addrs, Self: 0, Site: 1, FailureDetection: true, Clock: dispatch.NewClock(), Log: slog.New(slog.NewTextHandler(&out, nil))})
	lag := func(number int, over bool) peers.Lag {
		return peers.Lag{Number: number, Revision: 40, Newest: 41, For: 15_300 * time.Millisecond, Over: over}
	}
	for _, c := range []struct {
		lags []peers.Lag
		want []string
	}{
		{nil, nil},
		{[]peers.Lag{lag(3, false)}, []string{`level=WARN msg="another scheduler is behind" number=3 addr=` + addrs[3].String() + " revision=40 newest=41 for=15s"}},
		{[]peers.Lag{lag(0, false), lag(3, true)}, []string{`level=WARN msg="this scheduler is behind" number=0 `, `level=INFO msg="another scheduler has caught up" number=3 `}},
		{[]peers.Lag{lag(1, false), lag(2, false), lag(3, true), lag(4, false), lag(5, false)}, []string{`level=WARN msg="many schedulers are behind or have caught up" behind=4 level=1 newest=41`}},
	} {
		out.Reset()
		l.logLags(c.lags)
		lines := strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
		if len(c.want) == 0 && out.Len() > 0 || len(c.want) > 0 && len(lines) != len(c.want) {
			t.Errorf("%+v: %q", c.lags, lines)
			continue
		}
		for i, want := range c.want {
			if !strings.Contains(lines[i], want) {
				t.Errorf("line %q, want %q", lines[i], want)
			}
		}
	}
}
