package journal

import (
	"encoding/hex"
	"time"
)

// Report describes a job to operators as JSON. Times are formatted by FormatTime and empty if unknown.
type Report struct {
	Job                  string          `json:"job"`
	Class                string          `json:"class,omitempty"`
	Tenant               string          `json:"tenant,omitempty"`
	Verdict              string          `json:"verdict"`
	Reason               string          `json:"reason"`
	Workers              []string        `json:"workers,omitempty"` // workers at which the job ran or may have run
	Target               string          `json:"target,omitempty"`
	Bytes                int             `json:"bytes,omitempty"`
	Digest               string          `json:"sha256_128,omitempty"` // first 128 bits of the body's SHA-256
	TakenAt              string          `json:"taken_at,omitempty"`
	Attempts             []AttemptReport `json:"attempts"`
	Answer               *AnswerReport   `json:"answer,omitempty"`
	ClientDisconnectedAt string          `json:"client_gone_at,omitempty"`
	Decided              *DecisionReport `json:"settled,omitempty"`
}

// AttemptReport describes an attempt in a Report.
type AttemptReport struct {
	Number    int    `json:"number"`
	Worker    string `json:"worker"`
	IntentAt  string `json:"intent_at,omitempty"`
	SentAt    string `json:"sent_at,omitempty"`
	StartedAt string `json:"started_at,omitempty"`
	EndedAt   string `json:"ended_at,omitempty"`
	Outcome   string `json:"outcome,omitempty"`
}

// AnswerReport describes the final answer to the client.
type AnswerReport struct {
	Kind   string `json:"kind"`
	At     string `json:"at"`
	Reason string `json:"reason,omitempty"`
}

// DecisionReport describes an operator's verdict.
type DecisionReport struct {
	Verdict string `json:"verdict"`
	By      string `json:"by"`
	Why     string `json:"why"`
	At      string `json:"at"`
}

// FormatTime formats a time in Unix microseconds as RFC 3339 in UTC with microseconds. It returns an empty string for zero.
func FormatTime(at int64) string {
	if at == 0 {
		return ""
	}
	return time.UnixMicro(at).UTC().Format("2006-01-02T15:04:05.000000Z07:00")
}

// Report returns the report of the job for operators.
func (j *Job) Report() Report {
	verdict, reason, workers := j.Verdict()
	r := Report{Job: j.ID, Class: j.Class, Tenant: j.Tenant, Verdict: verdict.String(), Reason: reason, Workers: workers,
		Target: j.Target, Bytes: j.Size, Digest: hex.EncodeToString(j.Digest), TakenAt: FormatTime(j.AcceptedAt),
		Attempts: []AttemptReport{}, ClientDisconnectedAt: FormatTime(j.ClientDisconnectedAt)}
	for _, a := range j.Attempts {
		out := AttemptReport{Number: a.Number, Worker: a.Worker, IntentAt: FormatTime(a.IntentAt), SentAt: FormatTime(a.SentAt),
			StartedAt: FormatTime(a.StartedAt), EndedAt: FormatTime(a.EndedAt)}
		if a.Outcome != 0 {
			out.Outcome = a.Outcome.String()
		}
		r.Attempts = append(r.Attempts, out)
	}
	if j.Answer != 0 {
		r.Answer = &AnswerReport{j.Answer.String(), FormatTime(j.AnswerAt), j.Reason}
	}
	if j.DecidedAs != 0 {
		r.Decided = &DecisionReport{j.DecidedAs.String(), j.DecidedBy, j.DecisionReason, FormatTime(j.DecidedAt)}
	}
	return r
}
