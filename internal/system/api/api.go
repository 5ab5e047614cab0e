// Package api holds the messages that schedulers on edge and side machines exchange with core schedulers. They are encoded
// by avrocodec, in the order of their fields.
package api

import "sedgevale/jobs"

// The methods of the internal protocol. Core schedulers serve all but MethodOrders.
const (
	MethodWatch   = "core.watch"
	MethodSubmit  = "jobs.submit"
	MethodStatus  = "jobs.status"
	MethodCancel  = "jobs.cancel"
	MethodPending = "jobs.pending"
	MethodReport  = "worker.report"
	MethodOrders  = "worker.orders" // served by side schedulers
)

// WatchRequest asks for updates by long poll: the call returns once something differs from what the sender knows, and after
// WaitMS, of at most 1000, at the latest.
type WatchRequest struct {
	Node          string
	ConfigVersion int64 // the version that the sender has, 0 for none
	WantConfig    bool
	OwnersDigest  int64 // of the last response
	WaitMS        int64 // milliseconds
}

// WatchResponse holds the newest configuration, the owners of the shards and the addresses of the core schedulers.
type WatchResponse struct {
	Confirmed     bool // a quorum has confirmed the configuration within 700 ms
	ConfigVersion int64
	Config        []byte // JSON; empty if the sender has this version or wants none
	ConfigBase    int64  // if not 0, Config is a patch (package clusterconfig) on this version
	Owners        []Owner
	OwnersDigest  int64    // of Owners and Cores, for the next request
	Cores         []string // addresses
}

// Owner is the owner of a shard, with its fencing token.
type Owner struct {
	Shard   string
	Address string
	Token   int64
}

// SubmitRequest submits a job. It is idempotent by ID within a shard.
type SubmitRequest struct {
	Shard         string
	ConfigVersion int64 // that the edge has; an owner with an older one catches up first
	Queue         string
	ID            string
	Body          []byte // jobs.Spec as JSON, as the client sent it
}

// JobRequest names a job, to read its state or to cancel it.
type JobRequest struct {
	Shard string
	Queue string // not used: IDs are unique in a shard
	ID    string
}

// JobResponse holds a job's state.
type JobResponse struct {
	State string // a jobs.State
}

// PendingRequest asks for the number of unfinished jobs of a queue of which no task ever ran.
type PendingRequest struct {
	Shard string
	Queue string
}

// PendingResponse is the answer to a PendingRequest.
type PendingResponse struct {
	Pending int64
}

// ReportRequest is a side scheduler's report on a worker to the owner of the worker's shard.
type ReportRequest struct {
	Shard    string
	Session  string // from the last response; the owner rejects a delayed report by its old session
	Sequence int64  // increases with each report of a side scheduler's process
	Report   jobs.Report
}

// ReportResponse grants the side agent another lease (workeragent.Timing).
type ReportResponse struct {
	Token        int64
	Acknowledged int64  // the owner has stored all ends of runs up to this number
	Session      string // for the next report
	Accepted     bool   // false if the report was in no valid session and was ignored
}

// OrdersRequest tells a side agent which runs to start and stop.
type OrdersRequest struct {
	Token  int64
	Orders jobs.Orders
}

// Empty is a response without content.
type Empty struct{}
