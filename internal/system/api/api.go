// Package api holds the messages that schedulers on edge and side machines exchange with core schedulers.
package api

import "sedgevale/jobs"

// The methods.
const (
	MethodWatch   = "core.watch"
	MethodSubmit  = "jobs.submit"
	MethodStatus  = "jobs.status"
	MethodCancel  = "jobs.cancel"
	MethodPending = "jobs.pending"
	MethodReport  = "worker.report"
	MethodOrders  = "worker.orders" // served by side schedulers
)

// WatchRequest asks what has changed. Versions that are known already are not told again.
type WatchRequest struct {
	Node          string
	ConfigVersion int64
	WantConfig    bool
	OwnersDigest  int64
	WaitMS        int64
}

// WatchResponse tells the newest configuration, who owns which shard, and who the core schedulers are.
type WatchResponse struct {
	Fresh         bool // a quorum has confirmed this a moment ago
	ConfigVersion int64
	Config        []byte // left out where the version is known
	Base          int64  // where it is not 0, Config is a patch on this version
	Owners        []Owner
	OwnersDigest  int64
	Cores         []string
}

// Owner says who owns a shard.
type Owner struct {
	Shard   string
	Address string
	Token   int64
}

// SubmitRequest hands a job in.
type SubmitRequest struct {
	Shard         string
	ConfigVersion int64
	Queue         string
	ID            string
	Body          []byte
}

// JobRequest asks about a job.
type JobRequest struct {
	Shard string
	Queue string
	ID    string
}

// JobResponse tells a job's state.
type JobResponse struct {
	State string
}

// PendingRequest asks how many jobs of a queue have not ended.
type PendingRequest struct {
	Shard string
	Queue string
}

// PendingResponse tells it.
type PendingResponse struct {
	Pending int64
}

// ReportRequest tells the owner of a shard how a worker stands.
type ReportRequest struct {
	Shard    string
	Session  string // as the owner gave it; a report that was held up on its way has none that still counts
	Sequence int64  // rises with each report of a side scheduler's process
	Report   jobs.Report
}

// ReportResponse grants the side agent another lease.
type ReportResponse struct {
	Token    int64
	Noted    int64
	Session  string // for the next report
	Accepted bool   // false where the report was not in a session, and nothing of it was taken
}

// OrdersRequest tells a side agent what to start and stop.
type OrdersRequest struct {
	Token  int64
	Orders jobs.Orders
}

// Empty is an answer without content.
type Empty struct{}
