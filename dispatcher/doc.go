// Package dispatcher implements the request dispatcher: it admits, queues and
// places client requests on workers, and retries or hedges them. It is a
// deterministic state machine without I/O: the host reports events to a
// Dispatcher, and the Dispatcher responds with calls on its Host.
//
// A Dispatcher limits the concurrency of each tenant to a quantile of per-worker
// limits that it learns from outcomes. It queues requests over the limit, releases
// queued requests by deficit round robin over their estimated work, rejects
// requests early that cannot meet their latency target, and places requests on
// workers where it has fewer slots in flight than a threshold.
//
// The design follows Algorithm 1 of Wisp (L. Suresh et al., "Distributed Resource
// Management Across Process Boundaries", SoCC 2017), which comments call the
// paper. Dispatcher.SubmitRequest rejects a request that cannot meet its target
// (rejection.go) or adds it to the queue of its tenant. The release (queue.go)
// serves the tenants by deficit round robin and sends what the tenant's limit and
// the free capacity of workers allow (placement.go). Outcomes update the workers'
// limits (learning.go, limits.go), and a control round every 100 ms derives the
// tenants' limits from them. Where the code departs from the paper, a comment
// names the failure that it guards against.
//
// The runtime ratio of a worker is the EWMA of its running times over the mean of
// the class; a worker with a ratio above 1 is slower than the mean. Limits change
// by additive increase and multiplicative decrease. Capacity is counted in slots,
// work in slot seconds.
//
// Four invariants hold regardless of the learned state:
//   - An attempt is sent only to a worker that the request's class allows
//     (pool.admits).
//   - A request that may have run is sent again or rejected only as its idempotency
//     allows (mayAttempt, request.mayReject).
//   - Nothing is sent to a draining or removed worker (pool.admits).
//   - All dispatchers together send a worker no more than its slow start allows
//     (slowStart.admits).
//
// Every event takes the host's clock as a [time.Duration] since any fixed origin. A
// Dispatcher is not safe for concurrent use. Dispatchers of one process share no
// state. The same settings, seed and events produce the same actions.
package dispatcher
