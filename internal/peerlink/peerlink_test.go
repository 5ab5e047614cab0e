package peerlink

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"sedgevale/dispatcher"
	"sedgevale/internal/discovery"
	"sedgevale/internal/dispatchdriver"
	"sedgevale/internal/testkit"
)

// transport records the attempts that a planner sends.
type transport struct{ sent chan *dispatchdriver.Attempt }

func (c *transport) Send(a *dispatchdriver.Attempt)        { c.sent <- a }
func (c *transport) Cancel(*dispatchdriver.Attempt)        {}
func (c *transport) CancelUnsent(*dispatchdriver.Attempt)  {}
func (c *transport) Probe(string, *dispatchdriver.Planner) {}
func (c *transport) CloseIdleConnections(string)           {}

type client struct{}

func (client) Started()                        {}
func (client) Progress(float64)                {}
func (client) Respond(dispatchdriver.Response) {}

// testScheduler is a planner with its Link to the other schedulers.
type testScheduler struct {
	planner   *dispatchdriver.Planner
	transport *transport
	link      *Link
	clock     dispatchdriver.Clock
	class     *dispatcher.Class
}

var workerList = discovery.List{Complete: true, Members: []discovery.Member{{ID: "box-1"}, {ID: "box-2"}, {ID: "box-3"}}}

func startScheduler(t *testing.T, self int, addrs []netip.AddrPort) *testScheduler {
	t.Helper()
	settings := dispatcher.Settings{Classes: []dispatcher.Class{{Name: "free", LatencyTarget: time.Second, ClientTimeout: 5 * time.Second}}, MaxAttempts: 2}
	s := &testScheduler{transport: &transport{make(chan *dispatchdriver.Attempt, 16)}, clock: dispatchdriver.NewClock(), class: &settings.Classes[0]}
	log := slog.New(slog.DiscardHandler)
	var err error
	if s.planner, err = dispatchdriver.NewPlanner(settings, uint64(self), s.clock, s.transport, func() {}, log); err != nil {
		t.Fatal(err)
	}
	s.link = New(Options{Listen: addrs[self], Peers: addrs, Self: self, Site: 1, MinSubscribers: 12, MinSubset: 6,
		Planners: []*dispatchdriver.Planner{s.planner}, Clock: s.clock, Log: log})
	var infos []dispatcher.WorkerInfo
	for _, m := range workerList.Members {
		infos = append(infos, dispatcher.WorkerInfo{Name: m.ID})
	}
	s.planner.WorkersUpdated(dispatcher.UpdateFull, infos)
	s.link.SetWorkers(workerList)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{}, 2)
	go func() { s.planner.Run(ctx); done <- struct{}{} }()
	go func() { s.link.Run(ctx); done <- struct{}{} }()
	t.Cleanup(func() { cancel(); <-done; <-done })
	return s
}

func (s *testScheduler) submit(t *testing.T, id string) (worker string) {
	t.Helper()
	s.planner.SubmitRequest(dispatchdriver.NewExchange(dispatchdriver.Job{ID: id, Class: s.class, Tenant: -1}, s.clock.Now()+5*time.Second, client{}))
	return testkit.Await(t, "a job at a worker", s.transport.sent).Worker
}

func (s *testScheduler) activeMembers() int {
	s.link.mu.Lock()
	defer s.link.mu.Unlock()
	return s.link.node.Counts.ActiveMembers
}

func addresses(t *testing.T, n int) (addrs []netip.AddrPort) {
	for range n {
		addrs = append(addrs, netip.MustParseAddrPort(testkit.FreeAddr(t)))
	}
	return addrs
}

// Guards against schedulers that all choose the same worker because they do not know each other's load.
func TestJobsSpreadOverSchedulers(t *testing.T) {
	addrs := addresses(t, 3)
	all := []*testScheduler{startScheduler(t, 0, addrs), startScheduler(t, 1, addrs), startScheduler(t, 2, addrs)}
	seen := map[string]int{}
	for i, s := range all {
		seen[s.submit(t, "job")]++
		for j, other := range all {
			wantActive := i + 1
			if j <= i {
				wantActive = i
			}
			testkit.Eventually(t, "the other schedulers have received the load", func() bool { return other.activeMembers() == wantActive })
		}
	}
	if len(seen) != 3 {
		t.Errorf("jobs per worker: %v, want each of the three schedulers to choose another worker", seen)
	}
}

// Guards against a Link that stops receiving after datagrams from unknown senders or with invalid contents, and against one that keeps
// the address bound after Pause, so that the process that takes over cannot bind it.
func TestLinkSurvivesGarbageAndTakeover(t *testing.T) {
	addrs := addresses(t, 2)
	a, b := startScheduler(t, 0, addrs), startScheduler(t, 1, addrs)
	testkit.Eventually(t, "both links are bound", func() bool { return a.bound() && b.bound() })
	c, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(addrs[1]))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	for _, data := range [][]byte{{}, make([]byte, 4000), []byte("garbage that nobody has asked for")} {
		if _, err := c.Write(data); err != nil {
			t.Fatal(err)
		}
	}
	a.submit(t, "job-1")
	testkit.Eventually(t, "b has received a datagram from a", func() bool { return b.activeMembers() == 1 })
	a.link.Pause()
	successor, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addrs[0]))
	if err != nil {
		t.Fatalf("binding the address after Pause: %v", err)
	}
	a.link.Resume() // while the other process still holds the address
	if err := successor.Close(); err != nil {
		t.Error(err)
	}
	testkit.Eventually(t, "a is bound again", a.bound)
	b.submit(t, "job-2")
	testkit.Eventually(t, "a has received a datagram from b", func() bool { return a.activeMembers() == 1 })
}

func (s *testScheduler) bound() bool {
	s.link.mu.Lock()
	defer s.link.mu.Unlock()
	return s.link.conn != nil
}
