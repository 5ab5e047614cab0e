// Package dispatcher makes the decisions of a dispatcher that pushes jobs to
// workers. It does no input or output of its own: the host reports events to a
// Dispatcher, and the Dispatcher answers by calls on a Host.
//
// A Dispatcher bounds every tenant by a quantile of per-worker limits that it
// learns from outcomes, queues what is over the bound, releases queued jobs
// fairly by estimated work, rejects early what cannot be in time, and places
// jobs on workers that hold fewer of its slots than a threshold.
//
// The ordinary path follows Algorithm 1 of Wisp (L. Suresh et al., "Distributed
// Resource Management Across Process Boundaries", SoCC 2017); "the paper" in
// comments is that one. A request is submitted (Dispatcher.SubmitRequest),
// rejected if it cannot be in time (rejection.go), else queued with its tenant.
// The release (queue.go) serves the tenants by deficit round robin and sends what
// the tenant's limit and some worker's free capacity allow (placement.go).
// Outcomes teach the limits of workers (learning.go, limits.go), and a round
// every 100 ms turns those into the tenants' limits. What departs from the paper
// says in its comment what it guards against.
//
// A worker's runtime ratio is the EWMA of its running times over the mean of the
// class: above 1 it is slower than the others. A limit is learned by additive
// increase and multiplicative decrease. Capacity that is learned or reported is
// counted in slots, work in slot seconds.
//
// Four rules hold whatever was learned. An attempt goes only where the request may
// run (pool.admits). A request that may have run is sent or rejected again only as
// its idempotency allows (mayAttempt, request.mayReject). A worker that drains or was removed
// gets nothing more (pool.admits). A worker that warms up gets no more than its slow
// start allows, summed over all dispatchers (slowStart.admits).
//
// Every event takes the host's clock as a [time.Duration] from any fixed
// origin. A Dispatcher is not safe for concurrent use; several of them in one
// process share nothing. The same settings, seed and events give the same
// actions.
package dispatcher
