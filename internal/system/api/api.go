// Package api defines the requests and responses that edge and side schedulers exchange with core schedulers. The order of
// the fields of a message is part of the wire format, since avrocodec encodes them in that order. Fields with the tag "added" are
// missing in messages of earlier releases.
package api

import (
	"time"

	"sedgevale/internal/system/clusterconfig"
	"sedgevale/jobs"
)

// The methods of the internal protocol. Core schedulers serve all of them except MethodOrders.
const (
	MethodWatch   = "core.watch"
	MethodSubmit  = "jobs.submit"
	MethodStatus  = "jobs.status"
	MethodCancel  = "jobs.cancel"
	MethodPending = "jobs.pending"
	MethodReport  = "worker.report"
	MethodOrders  = "worker.orders" // served by side schedulers
)

// WatchRequest is a long poll for updates: the call returns as soon as the version of the configuration or the digest of the
// owners differs from the sender's, no quorum confirms the configuration, or WaitMS has elapsed.
type WatchRequest struct {
	Node          string
	ConfigVersion int64 // version that the sender has; 0 if it has none
	WantConfig    bool  // false if the sender needs only the version
	OwnersDigest  int64 // OwnersDigest of the last response
	WaitMS        int64 // milliseconds; the core scheduler waits for at most 1000
	FormerDigest  int64 `avrocodec:"added"` // FormerDigest of the routes that the sender has; 0 if it does not support them
}

// WatchResponse holds the current configuration, the owners of the shards and the addresses of the core schedulers.
type WatchResponse struct {
	Confirmed     bool // a quorum has confirmed the configuration within the last 700 ms
	ConfigVersion int64
	Config        []byte // JSON; empty if the sender has this version or wants no configuration
	ConfigBase    int64  // if not 0, Config is a patch (package clusterconfig) against this version
	Owners        []Owner
	OwnersDigest  int64    // digest of Owners and Cores, for the next request
	Cores         []string // addresses

	// Former has the former routes that belong to the configuration, oldest first, unless the sender has them.
	Former       []clusterconfig.FormerRoute `avrocodec:"added"`
	FormerDigest int64                       `avrocodec:"added"` // digest of the former routes, never 0; 0 from an earlier release
}

// Owner is the owner of a shard, with its fencing token.
type Owner struct {
	Shard   string
	Address string
	Token   int64
}

// SubmitRequest submits a job. Within a shard, submissions with the same ID are idempotent.
type SubmitRequest struct {
	Shard         string
	ConfigVersion int64 // version that the edge scheduler has; an owner with an older version catches up first
	Queue         string
	ID            string
	Body          []byte // jobs.Spec as JSON, unchanged from the client's request
	Endpoint      string `avrocodec:"added"` // clusterconfig.Endpoint that the client used
	KnownOnly     bool   `avrocodec:"added"` // the shard is that of a former route: it must not accept a new job
	MaxWaitMS     int64  `avrocodec:"added"` // milliseconds for which the client's request may have waited to be read
}

// Submission returns the job that is submitted.
func (r *SubmitRequest) Submission() *jobs.Submission {
	return &jobs.Submission{
		ID: r.ID, Endpoint: r.Endpoint, Queue: r.Queue, Body: r.Body, MaxWait: time.Duration(r.MaxWaitMS) * time.Millisecond,
	}
}

// JobRequest identifies a job whose state is read or that is cancelled.
type JobRequest struct {
	Shard         string
	Queue         string // queue to which the endpoint belongs at the edge scheduler; empty if to none
	ID            string
	Endpoint      string `avrocodec:"added"` // clusterconfig.Endpoint that the client used
	ConfigVersion int64  `avrocodec:"added"` // version that the edge scheduler has; an owner with an older version catches up first
	KnownOnly     bool   `avrocodec:"added"` // the shard is that of a former route
}

// Ref returns the reference to the job.
func (r *JobRequest) Ref() jobs.JobRef { return jobs.JobRef{Endpoint: r.Endpoint, ID: r.ID} }

// JobResponse holds a job's state.
type JobResponse struct {
	State string // a jobs.State
}

// PendingRequest requests the number of unfinished jobs of a queue of which no task has ever started.
type PendingRequest struct {
	Shard    string
	Queue    string
	Endpoint string `avrocodec:"added"` // clusterconfig.Endpoint of the queue
}

// PendingResponse is the response to a PendingRequest.
type PendingResponse struct {
	Pending int64
}

// ReportRequest reports the state of a worker from its side scheduler to the owner of the worker's shard.
type ReportRequest struct {
	Shard    string
	Session  string // Session of the last response; the owner rejects delayed reports of an earlier session
	Sequence int64  // increases with each report of a side scheduler process
	Report   jobs.Report
}

// ReportResponse renews the lease of the worker's agent (workeragent.Timing).
type ReportResponse struct {
	Token        int64
	Acknowledged int64  // highest number up to which the owner has stored all finished runs
	Session      string // session of the next report
	Accepted     bool   // false if the session was invalid and the owner ignored the report
}

// OrdersRequest sends a worker's agent the runs to start and to stop.
type OrdersRequest struct {
	Token  int64
	Orders jobs.Orders
}

// Empty is a response without fields.
type Empty struct{}
