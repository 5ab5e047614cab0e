package journal_test

import (
	"encoding/json"
	"testing"

	"sedgevale/internal/journal"
	"sedgevale/internal/testkit"
)

// The JSON keys of each field of a Report, and a complete report, must never change.
func TestReportBytes(t *testing.T) {
	var report journal.Report
	testkit.Fill(&report)
	text, err := json.Marshal(report)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := string(text), `{"job":"s1","class":"s2","tenant":"s3","verdict":"s4","reason":"s5","workers":["s6"],"target":"s7","bytes":9,"sha256_128":"s9","taken_at":"s10","attempts":[{"number":12,"worker":"s12","intent_at":"s13","sent_at":"s14","started_at":"s15","ended_at":"s16","outcome":"s17"}],"answer":{"kind":"s18","at":"s19","reason":"s20"},"client_gone_at":"s21","settled":{"verdict":"s22","by":"s23","why":"s24","at":"s25"}}`; got != want {
		t.Errorf("a report: got\n%q\nwant\n%q", got, want)
	}
	job := journal.Job{
		Serial: 7, ID: "job", Class: "once", Tenant: "team", Target: "/t", Size: 4, Digest: []byte{9, 10}, AcceptedAt: 1_700_000_000_000_010,
		Attempts: []journal.Attempt{{
			Number: 0, Worker: "box-1", IntentAt: 1_700_000_000_000_011, SentAt: 1_700_000_000_000_012, StartedAt: 1_700_000_000_000_013,
			EndedAt: 1_700_000_000_000_014, Outcome: journal.OutcomeTimedOut,
		}, {Number: 1, Worker: "box-2", IntentAt: 1_700_000_000_000_015}},
		Answer: journal.Failed, AnswerAt: 1_700_000_000_000_016, Reason: "because", ClientDisconnectedAt: 1_700_000_000_000_017, Orphaned: true,
		DecidedAs: journal.DidNotRun, DecidedAt: 1_700_000_000_000_018, DecidedBy: "ann", DecisionReason: "seen",
	}
	if text, err = json.Marshal(job.Report()); err != nil {
		t.Fatal(err)
	}
	if got, want := string(text), `{"job":"job","class":"once","tenant":"team","verdict":"did_not_run","reason":"settled by ann: seen","workers":["box-1","box-2"],"target":"/t","bytes":4,"sha256_128":"090a","taken_at":"2023-11-14T22:13:20.000010Z","attempts":[{"number":0,"worker":"box-1","intent_at":"2023-11-14T22:13:20.000011Z","sent_at":"2023-11-14T22:13:20.000012Z","started_at":"2023-11-14T22:13:20.000013Z","ended_at":"2023-11-14T22:13:20.000014Z","outcome":"timed_out"},{"number":1,"worker":"box-2","intent_at":"2023-11-14T22:13:20.000015Z"}],"answer":{"kind":"failed","at":"2023-11-14T22:13:20.000016Z","reason":"because"},"client_gone_at":"2023-11-14T22:13:20.000017Z","settled":{"verdict":"did_not_run","by":"ann","why":"seen","at":"2023-11-14T22:13:20.000018Z"}}`; got != want {
		t.Errorf("a job: got\n%q\nwant\n%q", got, want)
	}
}
