// Package core implements the scheduler that runs on core machines: it replicates the cluster's state among them, elects
// an owner for each shard of jobs, and schedules the jobs of the shards that it owns. The algorithms are separate packages
// without I/O (coord/register, coord/membership, coord/shard, jobs); this package drives them: it persists their state,
// carries their messages and runs their timers.
//
// # Parts
//
//   - Core (core.go) is the process. It holds the state of the peers, the known chosen values of the registers, the
//     configuration in force and the shards that this scheduler owns.
//   - store (store*.go) is the replica of this machine: the membership, the acceptors of the registers and the replicas of
//     the shards. Each change is durable in the log of package statefile before it is acknowledged.
//   - broadcast.go, proposer.go and learner.go implement the proposer and the learner of the registers, which run CASPaxos
//     (package coord/register). messages.go defines the internal protocol.
//   - peers.go, pinger.go and liveness.go exchange heartbeats with the other core schedulers and detect which are alive.
//   - ownership.go and takeover.go decide which scheduler owns a shard and make this one the owner under the next fencing
//     token.
//   - owner (owner.go, owner_commit.go, replication.go, order_sender.go) is an owned shard. It replicates the records of
//     its jobs.Scheduler and sends orders to the worker agents.
//   - joining.go acquires a seat in the membership, and draining.go waits for another machine to take it before the
//     process stops.
//   - placement.go decides whether an unknown job belongs to an owned shard, and former_routes.go keeps the routes of earlier
//     configurations whose jobs are still known.
//   - submission.go, cancellation.go and jobsapi.go serve jobs.
//   - config.go, watch.go, admin.go and metrics.go serve the configuration, subscriptions, operators'
//     commands and Prometheus metrics. Package controlplane serves operators' HTTP requests.
//
// # Locks
//
// There are five mutexes. They are acquired in this order, and in no other:
//
//	Core.mu  ->  owner.mu  ->  taskgroup.Group
//	store.mu ->  statefile.Log.mu
//
// The two chains are independent: a goroutine that holds Core.mu or owner.mu calls no method of store, and store calls no
// method of Core or owner. Code that needs both reads the store first (see Core.pingMessage, Core.safeToStop and
// Core.confirmedAt).
//
//   - Core.mu guards the fields below it in Core and all fields of each peerState. It is held only for computations in
//     memory, never during a call, a wait or a disk write. Methods of Core may acquire owner.mu while it is held, for
//     example Core.applyConfig and Core.knownOwners.
//
//   - owner.mu guards the fields below it in owner, including the jobs.Scheduler and the shard.Primary, and the fields of
//     each replicator. The callbacks of jobs.Scheduler.Flush run while it is held. No goroutine holds the mutexes of two
//     owners at once.
//
//   - store.mu guards the fields below it in store. A message is admitted, applied and appended to the log while it is
//     held, so that the log has the changes in the order in which they were applied. It is released before the wait for
//     the disk.
//
//   - statefile.Log.mu guards the queue of appends. The log's writer does not hold it during a write. To write a
//     snapshot, the writer acquires store.mu with no other lock held.
//
//   - The mutex of taskgroup.Group orders the start of a goroutine with respect to the shutdown. It is held neither while
//     a goroutine runs nor while the shutdown waits for the goroutines to end.
//
// A method whose comment says "c.mu is held" (or o.mu, s.mu) must be called with that mutex held. All other methods
// acquire the locks that they need.
//
// # Goroutines
//
// The goroutines of a Core and of its owners belong to its taskgroup.Group: they end when the group is shut down, and Run
// returns once all have ended. The exceptions are the concurrent calls of announceChosen and of confirmTimedOut, which wait
// for the goroutines that they start. Run starts pingLoop, ownershipLoop, joinLoop, followMembership and forgetFormerRoutesLoop, which end after the
// drain. In addition there are one takeOver for each shard that needs one, which lasts about takeoverTimeout at most, at
// most one ping per peer, one announceChosen per chosen value, which lasts at most roundTimeout, and at most one readAsync
// per register. The calls of a broadcast continue for up to roundTimeout after their start, even if the round that started
// them has ended. An owner runs one tickLoop, one replicate per seat and one sendOrdersLoop per
// worker, which all end when the owner is closed or deposed; handlers of the jobs API run concurrently with them. The
// store has one goroutine, the log's writer. Handlers of the internal protocol run concurrently with each other.
package core
