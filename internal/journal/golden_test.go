package journal

import (
	"bytes"
	"encoding/hex"
	"reflect"
	"testing"
)

// goldenRecords contains records of each kind, with each field that the kind uses, and their encoding, which must never change.
// Fields are encoded by position.
var goldenRecords = []struct {
	record Record
	want   string
}{
	{Record{Kind: Accepted, Serial: 7, At: 1_700_000_000_000_001, JobID: "job", Class: "once", Tenant: "team", Target: "/t?a=1", Size: 300, Digest: []byte{1, 2}}, "dc00110107cf00060a24181e4001a36a6f6200a0a46f6e6365a47465616da62f743f613d31cd012cc402010200c2a0a000c0"},
	{Record{Kind: Intent, Serial: 7, At: 2, JobID: "job", Attempt: 3, Worker: "box"}, "dc0011020702a36a6f6203a3626f78a0a0a000c000c2a0a000c0"},
	{Record{Kind: Sent, Serial: 7, At: 3, Attempt: 3}, "dc0011030703a003a0a0a0a000c000c2a0a000c0"},
	{Record{Kind: Started, Serial: 7, At: 4, Attempt: 3}, "dc0011040704a003a0a0a0a000c000c2a0a000c0"},
	{Record{Kind: Ended, Serial: 7, At: 5, Attempt: 3, Code: uint8(OutcomeConnectionLost), NeverRan: true}, "dc0011050705a003a0a0a0a000c006c3a0a000c0"},
	{Record{Kind: Answered, Serial: 7, At: 6, Code: uint8(Rejected), Text: "why"}, "dc0011060706a000a0a0a0a000c002c2a3776879a000c0"},
	{Record{Kind: ClientGone, Serial: 7, At: 7}, "dc0011070707a000a0a0a0a000c000c2a0a000c0"},
	{Record{Kind: Decided, Serial: 7, At: 8, JobID: "job", Code: uint8(DidNotRun), Text: "why", Operator: "ann"}, "dc0011080708a36a6f6200a0a0a0a000c002c2a3776879a3616e6e00c0"},
	{Record{Kind: CarriedOver, Serial: 7, At: 9, CarriedJob: &Job{
		Serial: 7, ID: "job", Class: "once", Tenant: "team", Target: "/t", Size: 4, Digest: []byte{9}, AcceptedAt: 10,
		Attempts: []Attempt{{
			Number: 1, Worker: "box", IntentAt: 11, SentAt: 12, StartedAt: 13, EndedAt: 14, Outcome: OutcomeTimedOut, NeverRan: true,
		}},
		Answer: Failed, AnswerAt: 15, Reason: "because", ClientDisconnectedAt: 16, Orphaned: true, RecordsMissing: false,
		DecidedAs: Unknown, DecidedAt: 17, DecidedBy: "ann", DecisionReason: "seen",
	}}, "dc0011090709a000a0a0a0a000c000c2a0a000dc001307a36a6f62a46f6e6365a47465616da22f7404c401090a919801a3626f780b0c0d0e04c3030fa76265636175736510c3c20311a3616e6ea47365656e"},
	{Record{Kind: Pruned, At: 10, Count: 70000}, "dc00110a000aa000a0a0a0a000c000c2a0a0ce00011170c0"},
	{Record{Kind: RecordsLost, At: 11, Count: 3}, "dc00110b000ba000a0a0a0a000c000c2a0a003c0"},
	{Record{Kind: CleanShutdown, At: 12}, "dc00110c000ca000a0a0a0a000c000c2a0a000c0"},
}

func TestRecordBytes(t *testing.T) {
	for _, one := range goldenRecords {
		got, err := Encode(nil, &one.record)
		if err != nil || hex.EncodeToString(got) != one.want {
			t.Errorf("kind %d: error %v, bytes\n%x want\n%s", one.record.Kind, err, got, one.want)
		}
		encoded, err := hex.DecodeString(one.want)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := Decode(encoded)
		if err != nil || !reflect.DeepEqual(*decoded, one.record) {
			t.Errorf("kind %d is decoded as %+v, error %v", one.record.Kind, decoded, err)
		}
	}
}

// The numbers and names of outcomes, answers and verdicts are part of the format.
func TestStoredNumbersAndNames(t *testing.T) {
	for i, want := range []string{"unknown", "served", "error", "turned_away", "timed_out", "could_not_connect", "connection_lost", "cancelled", "not_sent", "unknown"} {
		if got := Outcome(i).String(); got != want {
			t.Errorf("outcome %d is %q, want %q", i, got, want)
		}
	}
	for i, want := range []string{"unknown", "served", "refused", "failed"} {
		if got := AnswerKind(i).String(); got != want {
			t.Errorf("answer %d is %q, want %q", i, got, want)
		}
	}
	for i, want := range []string{"unknown", "ran", "did_not_run", "unknown"} {
		if got := Verdict(i).String(); got != want {
			t.Errorf("verdict %d is %q, want %q", i, got, want)
		}
	}
	for i, kind := range []Kind{
		Accepted, Intent, Sent, Started, Ended, Answered, ClientGone, Decided, CarriedOver, Pruned, RecordsLost, CleanShutdown,
	} {
		if int(kind) != i+1 {
			t.Errorf("record kind %d has the number %d", i+1, kind)
		}
	}
}

// The encoding of a segment header and a frame with their chained MACs must never change.
func TestFrameBytes(t *testing.T) {
	key, err := NewKey([]byte("0123456789abcdef0123456789abcdef"))
	if err != nil {
		t.Fatal(err)
	}
	header := Header{Number: 5, FirstSequence: 77}
	copy(header.RunID[:], "run-of-a-process")
	copy(header.PrevMAC[:], "mac-of-the-prior")
	segment, mac := key.AppendHeader(nil, header)
	segment, mac, err = key.AppendFrame(segment, mac, 1234, &Record{Kind: Sent, Serial: 7, At: 3, Attempt: 3})
	if err != nil {
		t.Fatal(err)
	}
	const want = "53564a4f424c4f470100000000000000050000000000000072756e2d6f662d612d70726f636573734d000000000000006d61632d6f662d7468652d7072696f7264093598084def5a4b02df1da9438a4c7a2ac972a01b675314000000d2040000dc0011030703a003a0a0a0a000c000c2a0a000c0615dfcb3378c13d3e216b5b303808adc"
	if got := hex.EncodeToString(segment); got != want {
		t.Errorf("the segment is\n%s want\n%s", got, want)
	}
	if !bytes.HasSuffix(segment, mac[:]) {
		t.Error("the frame does not end with its MAC")
	}
	read, chain, err := key.ReadHeader(segment)
	if err != nil || read != header {
		t.Fatalf("the header is decoded as %+v, error %v", read, err)
	}
	frame, err := key.ReadFrame(segment[HeaderSize:], chain)
	if err != nil || frame.MAC != mac || frame.Size != len(segment)-HeaderSize {
		t.Errorf("the frame is decoded as %+v, error %v", frame, err)
	}
}
