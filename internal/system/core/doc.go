// Package core is the scheduler on core machines. It stores what must be durable, serves operators, and owns shards of
// jobs. The algorithms are packages of their own without I/O (coord/register, coord/membership, coord/shard, jobs); this
// package is their driver: it stores their state, carries their messages and runs their timers.
//
// # Parts
//
//   - Core (core.go) is the process: what it knows of its peers, of the chosen values of the registers and of the
//     configuration, and the shards that it owns.
//   - store (store*.go) is the replica of this machine: membership, acceptors of the registers and replicas of the
//     shards, each change of which is in the log of package statefile before it is acknowledged.
//   - broadcast.go, proposer.go and learner.go are the client side of the registers, which are CASPaxos (package
//     coord/register); messages.go holds the internal protocol.
//   - peers.go, pinger.go and liveness.go exchange pings with the other core schedulers and judge who is alive.
//   - ownership.go and takeover.go decide who owns a shard and make this scheduler the owner under the next fencing token.
//   - owner (owner.go, owner_commit.go, replication.go, order_sender.go) is an owned shard: it replicates the records of
//     its jobs.Scheduler and sends orders to the side schedulers.
//   - joining.go and draining.go take a seat in the membership and give it up.
//   - config.go, watch.go, jobsapi.go, admin.go and metrics.go serve configuration, subscriptions, jobs, operators'
//     commands and Prometheus. Package controlplane serves operators' HTTP requests.
//
// # Locks
//
// There are five mutexes. They are taken in this order, and never in another:
//
//	Core.mu  ->  owner.mu  ->  taskgroup.Group
//	store.mu ->  statefile.Log.mu
//
// The two chains are independent: who holds Core.mu or owner.mu calls no method of store, and store calls nothing of Core
// or owner. What needs both reads the store first (see Core.pingMessage, Core.safeToStop, Core.confirmedAt).
//
//   - Core.mu guards the fields below it in Core and all of each peerState. It is held for computations in memory only,
//     never over a call, a wait or a write to disk. Core.applyConfig, Core.closeOwners, Core.pingMessage and
//     Core.knownOwners take owner.mu under it.
//
//   - owner.mu guards the fields below it in owner, the jobs.Scheduler and the shard.Primary included, and the fields of each
//     replicator. Callbacks of jobs.Scheduler.Flush run under it. No two owners' mutexes are held at once.
//
//   - store.mu guards the fields below it in store. A message is admitted, applied and appended to the log under it, so
//     that the order of the log is that of the changes; the wait for the disk comes after it is released.
//
//   - statefile.Log.mu guards the queue of appends. The log's writer holds it for no write; it takes store.mu alone when
//     it has a snapshot written.
//
//   - taskgroup.Group orders the start of a goroutine and the shutdown that waits for all. It is held for neither.
//
// Methods that say "c.mu is held" (or o.mu, s.mu) in their comments must be called so; all others take the locks that
// they need.
//
// # Goroutines
//
// All goroutines of a Core and of its owners are in its taskgroup.Group: they end with it, and Run returns when none is left.
// Run starts pingLoop, ownershipLoop, joinLoop and followMembership, which end after it has drained. Beside them run a
// takeOver, of about takeoverTimeout at most, for each shard that needs one, at most one ping a peer, and at most one
// readAsync a register; calls that broadcast has begun go on for up to roundTimeout after their round. An owner runs one
// tickLoop, one replicate a seat and one sendOrdersLoop a worker, all of which end when it is closed or deposed; calls of
// the jobs API run beside them. The store has the log's writer. Calls of the internal protocol may all run at once.
package core
