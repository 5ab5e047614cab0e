package peerlink

import (
	"bytes"
	"context"
	"log/slog"
	"net/netip"
	"strings"
	"testing"
	"time"

	"sedgevale/internal/dispatchdriver"
	"sedgevale/internal/peers"
	"sedgevale/internal/testkit"
)

// startLink starts a link without planners.
func startLink(t *testing.T, self int, addrs []netip.AddrPort, failureDetection bool, r peers.Revision) *Link {
	t.Helper()
	l := New(Options{Listen: addrs[self], Peers: addrs, Self: self, Site: 1, FailureDetection: failureDetection, Seed: uint64(self), MinSubscribers: 2, MinSubset: 1,
		Revision: r, Clock: dispatchdriver.NewClock(), Log: slog.New(slog.DiscardHandler)})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { l.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return l
}

// Verifies the exchange of revisions over real sockets: the one in force at the start, a later one and a reverted one.
func TestRevisionsReachOthers(t *testing.T) {
	addrs := addresses(t, 3)
	old := peers.Revision{Number: 41, Digest: 0xa1}
	links := []*Link{startLink(t, 0, addrs, true, old), startLink(t, 1, addrs, true, old), startLink(t, 2, addrs, true, old)}
	allShow := func(number uint32, digest string) func() bool {
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
	testkit.Eventually(t, "all members know the revision that member 1 has at its start", allShow(41, "000000a1"))
	links[1].SetRevision(peers.Revision{Number: 42, Digest: 0xb2})
	testkit.Eventually(t, "all members know the new revision of member 1", allShow(42, "000000b2"))
	if s := links[0].Status(); s.Members[0].BehindMS < 0 || s.Members[1].BehindMS >= 0 {
		t.Errorf("members 0 and 1 are %d and %d ms behind; want member 0 behind and member 1 not", s.Members[0].BehindMS, s.Members[1].BehindMS)
	}
	links[1].SetRevision(old)
	testkit.Eventually(t, "all members know that member 1 has reverted its revision", allShow(41, "000000a1"))
}

// Without failure detection, as with the platform's configuration, a new revision must not cause any datagram.
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
			t.Errorf("member %d: counts %+v, want no datagram sent or received", i, c)
		}
	}
}

// Verifies the log lines for lags: one per member that is behind or has caught up, a summary if there are many, none without a lag.
func TestLagsAreLogged(t *testing.T) {
	addrs := addresses(t, 9)
	var out bytes.Buffer
	l := New(Options{Listen: addrs[0], Peers: addrs, Self: 0, Site: 1, FailureDetection: true, Clock: dispatchdriver.NewClock(), Log: slog.New(slog.NewTextHandler(&out, nil))})
	lag := func(number int, caughtUp bool) peers.Lag {
		return peers.Lag{Number: number, Revision: 40, Newest: 41, BehindFor: 15_300 * time.Millisecond, CaughtUp: caughtUp}
	}
	for _, c := range []struct {
		lags []peers.Lag
		want []string
	}{
		{nil, nil},
		{[]peers.Lag{lag(3, false)}, []string{`level=WARN msg="peer scheduler is behind the newest configuration revision" number=3 addr=` + addrs[3].String() + " revision=40 newest=41 for=15s"}},
		{[]peers.Lag{lag(0, false), lag(3, true)}, []string{`level=WARN msg="this scheduler is behind the newest configuration revision" number=0 `, `level=INFO msg="peer scheduler has caught up with the newest configuration revision" number=3 `}},
		{[]peers.Lag{lag(1, false), lag(2, false), lag(3, true), lag(4, false), lag(5, false)}, []string{`level=WARN msg="several schedulers are behind the newest configuration revision or have caught up" behind=4 level=1 newest=41`}},
	} {
		out.Reset()
		l.logLags(c.lags)
		lines := strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
		if len(c.want) == 0 && out.Len() > 0 || len(c.want) > 0 && len(lines) != len(c.want) {
			t.Errorf("lags %+v: logged %q, want %d lines", c.lags, lines, len(c.want))
			continue
		}
		for i, want := range c.want {
			if !strings.Contains(lines[i], want) {
				t.Errorf("log line %q does not contain %q", lines[i], want)
			}
		}
	}
}
