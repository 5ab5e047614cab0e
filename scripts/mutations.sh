#!/usr/bin/env bash
# Breaks the system on purpose, one way at a time, in a copy, and says which tests notice. Exits 1 if none does.
set -uo pipefail
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
missed=0
mutate() { # name, file, perl expression
  rm -rf "${copy:?}"/*
  git ls-files -z -- '*.go' go.mod go.sum | xargs -0 cp --parents -t "$copy"
  perl -0pi -e "$3" "$copy/$2"
  if cmp -s "$2" "$copy/$2"; then echo "$1: the mutation does not apply"; missed=1; return; fi
  out=$(cd "$copy" && timeout 300 go test ./coord/... ./jobs ./workeragent ./internal/system/... -timeout 4m 2>&1)
  caught=$(printf '%s\n' "$out" | sed -n 's/^ *--- FAIL: \([^ ]*\).*/\1/p' | grep -v '^TestSystemThroughFaults$' | sort -u | head -4 | tr '\n' ' ')
  if [ -z "$caught" ] && printf '%s' "$out" | grep -q '^FAIL\|panic'; then caught="(build or panic)"; fi
  if [ -z "$caught" ]; then echo "$1: NOT CAUGHT"; missed=1; else echo "$1: caught by $caught"; fi
}
mutate "a quorum one short" coord/membership/membership.go 's/return len\(m\.Seats\)\/2 \+ 1/return max(1, len(m.Seats)\/2)/'
mutate "last_seen before the sync" jobs/report.go 's/b\.after\(func\(\) \{\n\t\tw\.noted = max\(w\.noted, last\)\n\t\tw\.dirty = true\n\t\}\)/w.noted = max(w.noted, last)/'
mutate "a hold without the 2%" workeragent/agent.go 's/ClockDrift = 1\.0205/ClockDrift = 1.0/'
mutate "an empty disk that votes" internal/system/core/store.go 's/if bootstrap && slot >= 0/if slot >= 0/'
mutate "starts sent before they are stored" jobs/place.go 's/b\.after\(func\(\) \{\n\t\trun\.durable = true\n\t\tw\.dirty = true\n\t\}\)/run.durable = true; w.dirty = true/'
mutate "no wait for runs of workers unheard" jobs/book.go 's/expiry: now \+ b\.options\.LapseAfter/expiry: now/'
mutate "an older owner is obeyed" workeragent/agent.go 's/if token < a\.token \{/if token < 0 {/g'
mutate "replicas take writes of older owners" coord/shard/replica.go 's/if token != r\.Sealed \|\| r\.InStep != token/if r.InStep == 0/'
mutate "a joining disk does not fence" coord/register/register.go 's/a\.Promised = Ballot\{Counter: a\.Promised\.Counter \+ 1, Proposer: proposer\}//'
mutate "accepted before it is durable" internal/system/core/jobsapi.go 's/sequence := o\.flush\(\)\n\to\.mu\.Unlock\(\)\n\treturn &api\.Empty\{\}, o\.waitIn\(ctx, sequence\)/o.flush()\n\to.mu.Unlock()\n\treturn &api.Empty{}, nil/'
mutate "a refusal without a committed value" internal/system/core/config.go 's/if taken\.Digest == o\.digest/if false/'
exit $missed
