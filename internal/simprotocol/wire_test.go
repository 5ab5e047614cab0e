package simprotocol

import (
	"errors"
	"io"
	"math"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"sedgevale/dispatcher"
)

const ms = time.Millisecond

// readBatch returns all events of one batch. It copies the memory that the Reader reuses.
func readBatch(t *testing.T, lines ...string) ([]Event, error) {
	t.Helper()
	r := NewReader(strings.NewReader(strings.Join(lines, "\n") + "\n"))
	if _, err := r.NextBatch(); err != nil {
		return nil, err
	}
	var all []Event
	for {
		e, err := r.NextEvent()
		if e == nil || err != nil {
			return all, err
		}
		c := *e
		c.Entries = append([]dispatcher.WorkerInfo(nil), e.Entries...)
		if e.Result.Report != nil {
			report := *e.Result.Report
			c.Result.Report = &report
		}
		all = append(all, c)
	}
}

func TestEvents(t *testing.T) {
	for _, c := range []struct {
		line string
		want Event
	}{
		{"KNOCK rq_b 1 2 data/k 0.24 0.012 2 0.5 3", Event{Kind: RequestArrived, Request: dispatcher.Request{
			ID: "rq_b", Class: 1, Tenant: 2, AffinityKey: "data/k", RemainingTimeout: 240 * ms, RuntimeHint: 12 * ms, Slots: 2,
			ClientRetry: true}}},
		{"KNOCK rq_b 0 - - 0.24 0.012 - - 0", Event{Kind: RequestArrived, Request: dispatcher.Request{
			ID: "rq_b", Tenant: -1, RemainingTimeout: 240 * ms}}},
		{"ANSWER rq_b 1 10.0.0.1:5 no_room 0.0185 0 - -", Event{Kind: AttemptEnded, Result: dispatcher.AttemptResult{
			ID: "rq_b", Attempt: 1, Outcome: dispatcher.Rejected}}},
		{"ANSWER rq_b 0 10.0.0.1:5 pass 0.0185 1 - busy:0.62,x0:0.4,rif:3,new:7", Event{Kind: AttemptEnded, Result: dispatcher.AttemptResult{
			ID: "rq_b", ClientAnswered: true, Report: &dispatcher.LoadReport{HasFreeSlots: true, FreeSlots: 0.4, HasInFlight: true, InFlight: 3}}}},
		{"STATUS_NOTE rq_b 0 10.0.0.1:5 1 0.5", Event{Kind: AttemptNotice, Started: true, Progress: 0.5,
			Result: dispatcher.AttemptResult{ID: "rq_b"}}},
		{"STATUS_NOTE rq_b 2 10.0.0.1:5 2 0.25", Event{Kind: AttemptNotice, Progress: 0.25,
			Result: dispatcher.AttemptResult{ID: "rq_b", Attempt: 2}}},
		{"HEADERS rq_b 10.0.0.1:5 3 0.009", Event{Kind: StreamStarted, Result: dispatcher.AttemptResult{ID: "rq_b", Attempt: 3}}},
		{"CLIENT_GONE rq_b", Event{Kind: ClientDisconnected, Result: dispatcher.AttemptResult{ID: "rq_b"}}},
		{"WAKE 9223372036854775808", Event{Kind: TimerFired, Token: 1 << 63}},
		{"KILL", Event{Kind: InstanceKilled}},
		{"ECHO 10.0.0.1:5 pass 0.001 x0:1.5,rif:2", Event{Kind: ProbeResult, Worker: "10.0.0.1:5", Result: dispatcher.AttemptResult{
			Report: &dispatcher.LoadReport{HasFreeSlots: true, FreeSlots: 1.5, HasInFlight: true, InFlight: 2}}}},
		{"ECHO 10.0.0.1:5 too_slow 0.5 -", Event{Kind: ProbeResult, Worker: "10.0.0.1:5"}},
		{"MESSAGE 2 68692037", Event{Kind: PeerMessage}},
		{"MEMBERS 4 - broken", Event{Kind: WorkersUpdated, ListKind: dispatcher.UpdateFailed}},
	} {
		got, err := readBatch(t, "MARK 8.41225 1", "ABOUT d/1", c.line, "GO")
		if err != nil || len(got) != 1 {
			t.Errorf("%s: %d events, error %v", c.line, len(got), err)
			continue
		}
		c.want.Instance, c.want.Now = "d/1", 8412250*time.Microsecond
		got[0].Entries = nil
		if !reflect.DeepEqual(got[0], c.want) {
			t.Errorf("%s:\n got %+v\nwant %+v", c.line, got[0], c.want)
		}
	}
}

// A list number may be redefined within one batch: an update refers to the latest list before it.
func TestListNumbersAreResolvedInOrder(t *testing.T) {
	got, err := readBatch(t, "MARK 1 1", "ABOUT d/1",
		"SNAPSHOT_ROWS 3 2", "ITEM a:1 0 1 2 active 1.5 -", "ITEM b:1 1 0 0 leaving 1 6.1",
		"MEMBERS 1 3 stale_copy",
		"SNAPSHOT_ROWS 3 0", "MEMBERS 2 3 whole",
		"SNAPSHOT_ROWS 4 1", "ITEM b:1 1 0 0 left 1 6.1", "MEMBERS 3 4 patch", "GO")
	if err != nil || len(got) != 3 {
		t.Fatalf("%d events, error %v", len(got), err)
	}
	want := []dispatcher.WorkerInfo{{Name: "a:1", Kind: 1, Cell: 2, Weight: 1.5},
		{Name: "b:1", Zone: 1, State: dispatcher.Draining, Weight: 1, StartedAt: 6100 * ms}}
	if !reflect.DeepEqual(got[0].Entries, want) || got[0].ListKind != dispatcher.UpdateStale {
		t.Errorf("first list: %+v", got[0])
	}
	if len(got[1].Entries) != 0 || got[1].ListKind != dispatcher.UpdateFull {
		t.Errorf("second list: %+v", got[1])
	}
	if len(got[2].Entries) != 1 || got[2].Entries[0].State != dispatcher.Removed {
		t.Errorf("third list: %+v", got[2])
	}
}

func TestMalformedLinesAreReported(t *testing.T) {
	for _, c := range []struct{ lines, want string }{
		{"KNOCK rq_b 0 0", "no time"},
		{"KNOCK rq_b x 0 - 1 - 1 - 0", "bad class"},
		{"KNOCK rq_b 0 0 - 1 - 1 - 0 7", "more parts"},
		{"ANSWER rq_b 0 a:1 lost 1 0 - -", "unknown outcome"},
		{"ANSWER rq_b 0 a:1 pass 1 2 - -", "bad bool"},
		{"ANSWER rq_b 0 a:1 pass 1 1 - busy", "without a colon"},
		{"WAKE x", "bad token"},
		{"HELLO", "unknown message"},
		{"MEMBERS 1 9 whole", "never sent"},
		{"MEMBERS 1 0 other", "unknown list mode"},
		{"SNAPSHOT_ROWS 0 2\nITEM a:1 0 0 0 active 1 -\nGO", "2 entries announced, 1 found"},
		{"SNAPSHOT_ROWS 0 1\nITEM a:1 0 0 0 asleep 1 -", "unknown state"},
		{"BEGIN x zone=0", "bad seed"},
		{"BEGIN 1 zone", "no value"},
		{"BEGIN 1 zone=near", "no number"},
		{"BEGIN 1 classes.count=1 classes.0.effect=odd", "unknown effect"},
		{"CLIENT_GONE", "no request id"},
		{"ECHO", "no worker"},
		{"ECHO a:1 odd 1 -", "unknown outcome"},
		{"BEGIN 1 rules.repeat_ratio=0.1", "without rules.ratio_span"},
		{"BEGIN 1 rules.extra_free=-1 rules.ratio_span=5", "rules.extra_free=-1 is negative"},
		{"BEGIN 1 rules.ratio_span=x", "rules.ratio_span=x is no number"},
		{"BEGIN 1 kinds=a,b classes.count=1 classes.0.effect=free classes.0.runs_on=2", "classes.0.runs_on=2 names none"},
		{"BEGIN 1 zones=a classes.count=1 classes.0.effect=free classes.0.runs_in=-1", "classes.0.runs_in=-1 names none"},
	} {
		_, err := readBatch(t, "MARK 1 1", "ABOUT d/1", c.lines)
		var syntax *SyntaxError
		if !errors.As(err, &syntax) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: error %v, want one with %q", c.lines, err, c.want)
		}
	}
	if _, err := readBatch(t, "MARK 1 1", "WAKE 1"); err == nil || !strings.Contains(err.Error(), "before any ABOUT") {
		t.Errorf("event before any ABOUT: error %v", err)
	}
	if _, err := readBatch(t, "MARK 1 1", "ABOUT d/1", "KILL"); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("batch without GO: error %v", err)
	}
	if _, err := readBatch(t, "GO"); err == nil {
		t.Error("a batch without MARK was accepted")
	}
}

func TestLongLines(t *testing.T) {
	long := strings.Repeat("k", 1<<20)
	got, err := readBatch(t, "MARK 1 1", "ABOUT d/1", "KNOCK rq_b 0 0 "+long+" 1 - 1 - 0", "GO")
	if err != nil || got[0].Request.AffinityKey != long {
		t.Errorf("the affinity key of a long line was altered, or error %v", err)
	}
}

func TestSettings(t *testing.T) {
	s, err := ParseSettings("bounds.cancel=true bounds.max_attempts=6 bounds.max_retry_after=2.0 " +
		"bounds.parallel_tries=true bounds.retry_after=true classes.count=2 classes.0.dedup_scope=all " +
		"classes.0.effect=free classes.0.hard_limit=5.0 classes.0.late_share=0.5 classes.0.name=a " +
		"classes.0.promise=0.08 classes.0.window=5.0 classes.1.dedup_scope=zone classes.1.effect=guarded " +
		"classes.1.hard_limit=5.0 classes.1.name=b classes.1.promise=0.1 classes.1.stream=true " +
		"classes.1.window=7.5 discovery=ask family_info.class_kind=-1,1 family_info.class_stretch=2.5,2.0 " +
		"family_info.queue_order=fifo family_info.tells_start=true peers_total=2 realms.count=1 realms.0.name=t realms.0.quota_rps=14.0 " +
		"realms.0.share=0.4 rules.fall=1.5 rules.fall_multiple=2.5 rules.start_capacity=0.3 " +
		"rules.warm_up=8.7 weights=live zone=1 some.new.key=x")
	if err != nil {
		t.Fatal(err)
	}
	want := dispatcher.Settings{Zone: 1, Dispatchers: 2, WeightMeaning: dispatcher.WeightLive, MaxAttempts: 6, AllowHedging: true,
		AllowCancel: true, WatchOnDemand: true, StartNotified: true, FIFOWorkers: true, MaxRetryAfter: 2 * time.Second, SlowStartCapacity: 0.3,
		SlowStartDuration: 8700 * ms, OverloadMultiple: 2.5, OverloadWindow: 1500 * ms,
		Tenants: []dispatcher.Tenant{{Name: "t", Share: 0.4, Quota: 14}},
		Classes: []dispatcher.Class{
			{Name: "a", DedupWindow: 5 * time.Second, LatencyTarget: 80 * ms, TargetStretch: 2.5, ClientTimeout: 5 * time.Second, LateValue: 0.5},
			{Name: "b", Idempotency: dispatcher.IdempotentByKey, DedupScope: dispatcher.DedupZone, DedupWindow: 7500 * ms, LatencyTarget: 100 * ms,
				TargetStretch: 2, ClientTimeout: 5 * time.Second, Kinds: []int{1}, Streaming: true}}}
	if !reflect.DeepEqual(s, want) {
		t.Errorf("\n got %+v\nwant %+v", s, want)
	}
}

func TestSettingsOfOptionalRules(t *testing.T) {
	s, err := ParseSettings("bounds.may_probe=true report.via=probe kinds=a,b zones=x,y rules.extra_free=3 " +
		"rules.repeat_ratio=0.03 rules.ratio_span=5.0 rules.close_on_drain_within=1.5 rules.full_may_have_run=true " +
		"classes.count=3 classes.0.effect=free classes.0.runs_on=1 classes.1.effect=free classes.1.runs_in=0,1 " +
		"classes.2.effect=free classes.2.runs_on=")
	if err != nil {
		t.Fatal(err)
	}
	want := dispatcher.Settings{LoadByProbe: true, RejectedMayHaveRun: true, DrainCloseTimeout: 1500 * ms,
		RetryBudget: dispatcher.RetryBudget{FreeRetries: 3, RetryRatio: 0.03, Window: 5 * time.Second},
		Classes:     []dispatcher.Class{{Kinds: []int{1}}, {Zones: []int{0, 1}}, {Kinds: []int{}}}}
	if !reflect.DeepEqual(s, want) {
		t.Errorf("\n got %+v\nwant %+v", s, want)
	}
	if s, err := ParseSettings("classes.count=0"); err != nil || s.RetryBudget != (dispatcher.RetryBudget{}) {
		t.Errorf("without budget settings: budget %+v, error %v", s.RetryBudget, err)
	}
}

func TestReply(t *testing.T) {
	var w Writer
	w.SetInstance("d/1")
	w.SetInstance("d/2") // d/1 has no action, so the reply does not name it
	w.Send("r1", "a:1", 80*ms)
	w.SetTimer(1500*ms, 77)
	w.SetInstance("d/1")
	w.Reject("r2", 0)
	w.Fail("r3")
	w.Cancel("r4", 2)
	w.WatchWorkers()
	w.Probe("b:1")
	w.CloseIdleConnections("b:2")
	w.Log("two\nlines")
	w.Fatal("no")
	want := "AT d/2\nISSUE r1 a:1 0.08\nWAKE_ME 1.5 77\nAT d/1\nOVERLOAD_REPLY r2 0\nFINISH_ERROR r3\n" +
		"WITHDRAW r4 2\nSUBSCRIBE 1\nSOUND_OUT b:1\nRELEASE b:2\nWRITE_LOG two lines\nFATAL no\nFINISHED 12\n"
	if got := string(w.Finish("12")); got != want {
		t.Errorf("got\n%swant\n%s", got, want)
	}
	if got := string(w.Finish("13")); got != "FINISHED 13\n" {
		t.Errorf("second reply: %q", got)
	}
}

func TestParseFloatAgreesWithStrconv(t *testing.T) {
	for _, s := range []string{"0", "1", "-1", "0.5", "8.41225", ".5", "5.", "1e3", "12345678901234567890", "1.2.3", "", "NaN",
		"0.000001", "431224.051345"} {
		want, wantErr := strconv.ParseFloat(s, 64)
		got, err := parseFloat([]byte(s))
		if bad := wantErr != nil || math.IsNaN(want); (err != nil) != bad || !bad && math.Abs(got-want) > 1e-12*math.Abs(want) {
			t.Errorf("%q: %v %v, want %v %v", s, got, err, want, wantErr)
		}
	}
}

func FuzzReader(f *testing.F) {
	f.Add("MARK 1 1\nABOUT d/1\nKNOCK rq_b 0 0 k 0.24 0.012 2 - 1\nGO\n")
	f.Add("MARK 1 1\nABOUT d/1\nSNAPSHOT_ROWS 0 1\nITEM a:1 0 0 0 active 1 -\nMEMBERS 1 0 whole\nGO\n")
	f.Add("MARK 1 1\nABOUT d/1\nANSWER rq_b 0 a:1 pass 0.1 1 - busy:0.6,x0:0.4\nBEGIN 1 zone=0\nGO\n")
	f.Fuzz(func(t *testing.T, in string) {
		r := NewReader(strings.NewReader(in))
		for range 100 {
			if _, err := r.NextBatch(); err != nil {
				return
			}
			for {
				e, err := r.NextEvent()
				if err != nil {
					return
				}
				if e == nil {
					break
				}
				if e.Instance == "" || e.Kind == 0 {
					t.Fatalf("event without a kind or an instance: %+v", e)
				}
			}
		}
	})
}
