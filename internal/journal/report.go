package journal

import (
	"encoding/hex"
	"time"
)

// Report is a job in the form in which questions are answered.
type Report struct {
	Job      string          `json:"job"`
	Class    string          `json:"class,omitempty"`
	Tenant   string          `json:"tenant,omitempty"`
	Verdict  string          `json:"verdict"`
	Reason   string          `json:"reason"`
	Look     []string        `json:"workers,omitempty"` // where it ran or may have
	Target   string          `json:"target,omitempty"`
	Bytes    int             `json:"bytes,omitempty"`
	Digest   string          `json:"sha256_128,omitempty"` // the first 128 bits of the body's SHA-256
	TakenAt  string          `json:"taken_at,omitempty"`
	Attempts []AttemptReport `json:"attempts"`
	Answer   *AnswerReport   `json:"answer,omitempty"`
	GoneAt   string          `json:"client_gone_at,omitempty"`
	Settled  *SettledReport  `json:"settled,omitempty"`
}

// AttemptReport is an attempt of a Report.
type AttemptReport struct {
	Number    int    `json:"number"`
	Worker    string `json:"worker"`
	IntentAt  string `json:"intent_at,omitempty"`
	SentAt    string `json:"sent_at,omitempty"`
	StartedAt string `json:"started_at,omitempty"`
	EndedAt   string `json:"ended_at,omitempty"`
	Outcome   string `json:"outcome,omitempty"`
}

// AnswerReport is what the client was told.
type AnswerReport struct {
	Kind   string `json:"kind"`
	At     string `json:"at"`
	Reason string `json:"reason,omitempty"`
}

// SettledReport is an operator's decision.
type SettledReport struct {
	Verdict string `json:"verdict"`
	By      string `json:"by"`
	Why     string `json:"why"`
	At      string `json:"at"`
}

// Stamp writes a time of a record as RFC 3339 with microseconds, in UTC.
func Stamp(at int64) string {
	if at == 0 {
		return ""
	}
	return time.UnixMicro(at).UTC().Format("2006-01-02T15:04:05.000000Z07:00")
}

// Report returns the job in the form in which questions are answered.
func (j *Job) Report() Report {
	v, reason, look := j.Verdict()
	r := Report{Job: j.ID, Class: j.Class, Tenant: j.Tenant, Verdict: v.String(), Reason: reason, Look: look,
		Target: j.Target, Bytes: j.Size, Digest: hex.EncodeToString(j.Digest), TakenAt: Stamp(j.TakenAt),
		Attempts: []AttemptReport{}, GoneAt: Stamp(j.GoneAt)}
	for _, a := range j.Attempts {
		out := AttemptReport{Number: a.Number, Worker: a.Worker, IntentAt: Stamp(a.IntentAt), SentAt: Stamp(a.SentAt),
			StartedAt: Stamp(a.StartedAt), EndedAt: Stamp(a.EndedAt)}
		if a.Outcome != 0 {
			out.Outcome = a.Outcome.String()
		}
		r.Attempts = append(r.Attempts, out)
	}
	if j.Answer != 0 {
		r.Answer = &AnswerReport{j.Answer.String(), Stamp(j.AnswerAt), j.Reason}
	}
	if j.SettledAs != 0 {
		r.Settled = &SettledReport{j.SettledAs.String(), j.SettledBy, j.SettledWhy, Stamp(j.SettledAt)}
	}
	return r
}
