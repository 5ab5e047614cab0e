#!/usr/bin/env bash
# Mutation tests: changes the code in one way at a time, in a copy, and says which tests fail. Exits 1 if none does for one of
# them, or if its pattern no longer matches.
set -uo pipefail
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
missed=0
all="./coord/... ./jobs ./workeragent ./internal/system/..."
only=${1:-} # part of a name: just these
mutate() { # name, file, perl expression, packages to test if not all
  [[ "$1" == *"$only"* ]] || return
  rm -rf "${copy:?}"/*
  git ls-files -z -- '*.go' '*/testdata/*' go.mod go.sum | xargs -0 cp --parents -t "$copy"
  perl -0pi -e "$3" "$copy/$2"
  if cmp -s "$2" "$copy/$2"; then echo "$1: the mutation does not apply"; missed=1; return; fi
  out=$(cd "$copy" && timeout 300 go test ${4:-$all} -timeout 4m 2>&1)
  caught=$(printf '%s\n' "$out" | sed -n 's/^ *--- FAIL: \([^ ]*\).*/\1/p' | grep -v '^TestSystemThroughFaults$' | sort -u | head -4 | tr '\n' ' ')
  if [ -z "$caught" ] && printf '%s' "$out" | grep -q '^FAIL\|panic'; then caught="(build or panic)"; fi
  if [ -z "$caught" ]; then echo "$1: NOT CAUGHT"; missed=1; else echo "$1: caught by $caught"; fi
}
mutate "a quorum one short" coord/membership/membership.go 's/return len\(m\.Seats\)\/2 \+ 1/return max(1, len(m.Seats)\/2)/'
mutate "last_seen before the sync" jobs/completion.go 's/s\.onDurable\(func\(\) \{\n\t\tw\.durableCompletions = max\(w\.durableCompletions, last\)\n\t\tw\.ordersDue = true\n\t\}\)/w.durableCompletions = max(w.durableCompletions, last)/'
mutate "a lease without the clock drift" workeragent/agent.go 's/maxClockDrift = 1\.0205/maxClockDrift = 1.0/'
mutate "an empty disk that votes" internal/system/core/store.go 's/if bootstrap \{/if true {/'
mutate "starts sent before they are committed" jobs/assign.go 's/s\.onDurable\(func\(\) \{\n\t\trun\.durable = true\n\t\tw\.ordersDue = true\n\t\}\)/run.durable = true; w.ordersDue = true/'
mutate "no wait for runs of unconfirmed workers" jobs/recovery.go 's/leaseExpiry = now \+ s\.options\.LeaseTimeout/leaseExpiry = now/'
mutate "orders under an older fencing token are obeyed" workeragent/orders.go 's/if token < a\.token \{/if token < 0 {/g'
mutate "replicas take writes of older owners" coord/shard/replica.go 's/if token != r\.FencingToken \|\| r\.InSyncToken != token/if r.InSyncToken == 0/'
mutate "messages of older epochs are answered" coord/membership/membership.go 's/if sent\.Epoch < m\.Epoch \{/if false {/'
mutate "a learner votes" internal/system/core/store_membership.go 's/err == nil && !member\.Voter/err == nil \&\& !member.Voter \&\& false/'
mutate "a learner votes before it has read a quorum" internal/system/core/store_registers.go 's/voters < s\.membership\.Quorum\(\)/voters < 1/'
mutate "learners count in shards" coord/shard/primary.go 's/if replica\.voter/if true/'
mutate "a repair makes a voter at once" coord/shard/replica.go 's/r\.Voter = r\.Voter \|\| r\.TokensLearned/r.Voter = true/'
mutate "a disk that rejoined is trusted" internal/system/core/store_membership.go 's/replica\.Invalidate\(\)/_ = replica/'
mutate "incarnations share ballots" internal/system/core/store.go 's/s\.identity\.ID \+ "#" \+ strconv\.FormatInt\(s\.identity\.Incarnation, 10\)/s.address + strconv.Itoa(0)/'
mutate "the ballot counter is not restored" internal/system/core/store.go 's/highest = max\(highest, a\.Promised/highest = min(highest, a.Promised/'
mutate "an answer before it is durable" internal/system/core/store.go 's/if last == nil \{/if true {/'
mutate "a pending membership change is overridden" coord/membership/change.go 's/current\.Epoch > installed\.Epoch && current\.BaseEpoch != installed\.Epoch/current.Epoch > installed.Epoch/'
mutate "a learner replaces a voter without a quorum" coord/membership/change.go 's/if remaining < m\.Quorum\(\)/if remaining < 1/'
mutate "a late machine bootstraps a membership" internal/system/core/store.go 's/if bootstrap \{\s+s\.bootstrapMembership\(first\)\s+\}/s.membership = first.Clone()/'
mutate "changes from before the history are rejected" internal/system/core/config_change.go 's/o\.baseVersion < record\.History\[0\]\.Base/false/'
mutate "net/http repeats a call" internal/system/rpc/rpc.go 's/httpRequest\.GetBody = nil/httpRequest.Header.Set("Idempotency-Key", "x")/'
mutate "accepted before it is durable" internal/system/core/submission.go 's/return o\.flush\(\), nil/o.flush()\n\treturn 0, nil/'
mutate "a retried change is rejected" internal/system/core/config_change.go 's/if o\.wasApplied\(&record\) \{/if false {/'
mutate "no backfill on reserved workers" jobs/reservation.go 's/reserved\.backfillCapacity\(\)\.Holds\(demand\)/false/' ./jobs
mutate "reservations hold without end" jobs/overdue.go 's/c\.ignoreReservations = idle \|\| group\.isLongRunning\(\)/c.ignoreReservations = idle && false/' ./jobs
mutate "overdue work is not placed" jobs/cycle.go 's/if s\.overdueCycle \{/if false {/' ./jobs
mutate "pending demand is not recounted" jobs/backlog.go 's/\t\ts\.recountPendingDemand\(\)\n//' ./jobs
mutate "turns without credit are not skipped" jobs/cycle.go 's/\t\t\tskipTurns\(queues\)\n//' ./jobs
mutate "unschedulable groups hide others" jobs/cycle.go 's/q\.resumeAt = more/_ = more/' ./jobs
mutate "a removed queue takes jobs after a takeover" jobs/scheduler.go 's/\t\tq\.removed = true\n\t\ts/\t\ts/' ./jobs
mutate "an ordered start counts as run" jobs/assign.go 's/group\.job\.everAssigned = true/group.job.everAssigned = true; s.markRan(group.job)/' ./jobs
mutate "operators' requests are aborted at shutdown" internal/system/core/core.go 's/c\.shutdownOperatorServer\(running, operators\)/_ = operators/' ./internal/system/simulation
mutate "no headroom for the first priority" jobs/headroom.go 's/h\.lowerPriorityLimit = max\(0, capacity-h\.peak\)/h.lowerPriorityLimit = capacity/' ./jobs
mutate "long-running tasks wait behind headroom" jobs/queue.go 's/if group\.isLongRunning\(\)/if false/' ./jobs
mutate "no triage" jobs/queuelimit.go 's/\t\ts\.triage\(now, q, capacity\)\n//' ./jobs
mutate "shards are taken over before all peers have answered" internal/system/core/liveness.go 's/p\.known && !p\.alive\(\)/p.known \&\& false/' ./internal/system/core
mutate "an infeasible worker is reserved" jobs/reservation.go 's/!w\.isFeasible\(group, 0\)/!w.Capacity.Holds(group.spec().demand())/' ./jobs
mutate "records: a takeover merges all replicas in sync" internal/system/core/takeover.go 's/if seat, ok := shard\.MostCurrent\(positions\); ok/if seat, ok := shard.MostCurrent(positions); ok \&\& false/' "./internal/system/core ./internal/system/simulation"
mutate "records: a delayed write is stored" internal/system/core/store_shards.go 's/replica\.AcceptsWrite\(r\.Token, r\.Records\) && //' ./internal/system/core
mutate "records: a repair by outdated digests is stored" internal/system/core/store_shards.go 's/if !s\.replica\(r\.Shard\)\.AcceptsRepair\(r\.Token, r\.Ranges, r\.Last\)/if false/' ./internal/system/core
mutate "records: a write carries no position" coord/shard/primary.go 's/if len\(records\) > 0 \{\n\t\trecords = append\(records, p\.positionRecord\(\)\)/if false {\n\t\trecords = append(records, p.positionRecord())/' "./coord/shard ./internal/system/core"
mutate "records: a job of any size is stored whole" jobs/partition.go 's/if len\(value\) <= maxRecordBytes/if true/' ./jobs
mutate "records: a missing part counts as pending tasks" jobs/partition.go 's/if err := avrocodec\.Decode\(parts\[number\], &part\); err != nil \{/if err := avrocodec.Decode(parts[number], \&part); err != nil \&\& parts[number] != nil {/' ./jobs
mutate "records: a checkpoint changes no part" jobs/job.go 's/task\.Checkpoint = checkpoint\n\ttask\.changed = true/task.Checkpoint = checkpoint/' ./jobs
mutate "records: a failure changes no part" jobs/completion.go 's/\t\tcounter\.changed = true\n//' ./jobs
mutate "records: parts of deleted jobs remain" jobs/lifecycle.go 's/s\.deletedKeys = append\(s\.deletedKeys, job\.parts\.recordKeys\(job\.ID\)\.\.\.\)//' ./jobs
mutate "records: byte strings above 1 MiB are not decoded" internal/avrocodec/codec.go 's/MaxByteSliceSize: MaxBytes/MaxByteSliceSize: 1 << 20/' "./internal/avrocodec ./internal/system/core"
mutate "records: a patch makes a configuration of any size" internal/system/core/config_change.go 's/if len\(text\) > clusterconfig\.MaxBytes/if false/' ./internal/system/core
mutate "ends: truncated lists count as complete" workeragent/ends.go 's/if listed < e\.maxListed \{/if listed < 500 {/' ./workeragent
mutate "ends: full lists count as complete" workeragent/ends.go 's/if listed < e\.maxListed \{/if true {/' "./workeragent ./internal/system/simulation"
mutate "ends: an expiry begins no incarnation" workeragent/agent.go 's/\ta\.incarnationStart = a\.heartbeats\n//' ./workeragent
mutate "ends: starts of an earlier process are forgotten" workeragent/orders.go 's/sentAfter: a\.incarnationStart\}/sentAfter: a.incarnationStart - 1}/' ./workeragent
mutate "ends: runs that left the active list are forgotten" workeragent/ends.go 's/ \|\| a\.isUnlisted\(ref\)//' ./workeragent
mutate "ends: an end counts for a later heartbeat" workeragent/ends.go 's/return lastActive\n/return lastActive + 1\n/' ./workeragent
mutate "ends: ends show nothing while lists are truncated" workeragent/ends.go 's/e\.knownBefore = max\(e\.knownBefore, endedAfter\)//' ./workeragent
mutate "ends: a start is repeated without proof" workeragent/answer.go 's/!pending\.inFlight && a\.ends\.knownBefore > pending\.sentAfter/!pending.inFlight/' ./workeragent
mutate "repeats: a change on another base version" internal/system/core/config_change.go 's/slices\.Contains\(record\.History, appliedChange\{o\.baseVersion, o\.digest\}\)/slices.ContainsFunc(record.History, func(a appliedChange) bool { return a.Digest == o.digest })/' ./internal/system/core
mutate "repeats: a complete configuration for a patch" internal/system/core/config_change.go 's/if !o\.patch && bytes\.HasPrefix/if false \&\& bytes.HasPrefix/' ./internal/system/core
mutate "repeats: another job with a known ID" jobs/lifecycle.go 's/reflect\.DeepEqual\(known\.Spec, job\.Spec\)/reflect.DeepEqual(known.Spec, known.Spec)/' "./jobs ./internal/system/core"
mutate "repeats: a full shard refuses an accepted job" internal/system/core/submission.go 's/if !o\.scheduler\.HasJob\(submission\.Ref\(\)\) && /if /' ./internal/system/core
mutate "repeats: a registration that was forgotten" internal/system/side/registration.go 's/s\.registrations\+\+/s.registrations = 1/' ./internal/system/side
mutate "moves: a former shard accepts new jobs" internal/system/core/placement.go 's/from\.knownOnly \|\| //' ./internal/system/core
mutate "moves: the caller does not know the last move" internal/system/core/placement.go 's/ \|\| from\.configVersion < o\.config\.lastMove\(endpoint\)//' ./internal/system/core
mutate "moves: former routes are dropped" internal/system/clusterconfig/former.go 's/if !current\[assignment\{route\.Endpoint, route\.Service\}\]/if false/' "./internal/system/clusterconfig ./internal/system/core"
mutate "moves: former shards are not asked" internal/system/edge/destination.go 's/d\.formerShards = append\(d\.formerShards, service\)/_ = service/' ./internal/system/simulation
mutate "moves: shards of removed services have no owner" internal/system/core/former_routes.go 's/add\(route\.Service\)/_ = route/' ./internal/system/simulation
mutate "moves: queues of a service share their jobs" jobs/status.go 's/return j\.Endpoint == ref\.Endpoint \|\|/return true ||/' "./jobs ./internal/system/simulation"
mutate "moves: former routes are forgotten with their jobs" internal/system/core/former_routes.go 's/used := known\[route\.Endpoint\]/used := false/' ./internal/system/simulation
mutate "cancellations: of unknown jobs are forgotten" jobs/cancellations.go 's/\ts\.cancellations\.add\(now, ref\)\n//' "./jobs ./internal/system/core"
mutate "cancellations: are not stored" jobs/cancellations.go 's/\ts\.newRecords = append\(s\.newRecords, Change\{Key: cancellationKey\(ref\), Value: cancellationValue\}\)\n//' ./jobs
mutate "cancellations: are answered before they are stored" internal/system/core/cancellation.go 's/return false, o\.flush\(\), nil/o.flush()\n\treturn false, 0, nil/' ./internal/system/core
mutate "cancellations: are not bounded" jobs/cancellations.go 's/n := max\(0, len\(c\.order\)-maxCancellations\)/n := 0/' ./jobs
mutate "cancellations: a flood undoes one" jobs/cancellations.go 's/c\.forgottenAt = c\.order\[n-1\]\.at/_ = n/' ./jobs
mutate "cancellations: a gone sender's job is accepted" internal/system/core/submission.go 's/if ctx\.Err\(\) != nil/if false/' ./internal/system/core
mutate "cancellations: stalls are not noticed" internal/system/edge/stall.go 's/>= minStall/>= 1000*minStall/' ./internal/system/edge
exit $missed
