// Package sedgevale makes the decisions of a dispatcher that pushes jobs to
// workers. It does no input or output of its own: the host reports events to a
// Dispatcher, and the Dispatcher answers by calls on a Host.
//
// A Dispatcher bounds every tenant by a quantile of per-worker limits that it
// learns from outcomes, queues what is over the bound, releases queued jobs
// fairly by estimated work, rejects early what cannot be in time, and places
// jobs on workers that hold fewer of its slots than a threshold.
//
// The ordinary path follows Wisp's Algorithm 1. A request is taken
// (Dispatcher.Request), rejected if it cannot be in time (rejection.go), else
// queued with its tenant. The release (queue.go) serves the tenants by deficit
// round robin and sends what the tenant's limit and some worker's free capacity
// allow (placement.go). Outcomes teach the limits of workers (learning.go,
// limits.go), and a round every 100 ms turns those into the tenants' limits.
// What departs from the paper says in its comment what it guards against.
//
// Every event takes the host's clock as a [time.Duration] from any fixed
// origin. A Dispatcher is not safe for concurrent use; several of them in one
// process share nothing. The same settings, seed and events give the same
// actions.
package sedgevale
