#!/usr/bin/env bash
# Switches mechanisms of policy off, one at a time, each in a clone, and plays the same days with and without them.
# Usage: scripts/ablation.sh BENCH SITE DAY "SEEDS" [NAME]  (BENCH: the program that plays days; JOBS: plays at a time)
# Prints, for each, the worth by seed and the mean of the pairs' differences. The logs and the clones stay in $OUT.
set -uo pipefail
cd "$(dirname "$0")/.."
bench=$1 site=$2 day=$3 seeds=$4 only=${5:-}
out=${OUT:-$(mktemp -d)}
names=()
prepare() { # name, then pairs of file and perl expression
  [[ "$1" == "as it is" || "$1" == *"$only"* ]] || return
  local name=$1 clone="$out/${1// /-}"
  shift
  [ -d "$clone" ] || git clone -q . "$clone"
  while [ $# -gt 1 ]; do
    cp "$clone/$1" "$out/before"
    perl -0pi -e "$2" "$clone/$1"
    cmp -s "$clone/$1" "$out/before" && { echo "$name: the patch does not apply to $1"; return; }
    shift 2
  done
  (cd "$clone" && "$bench" build >"$out/build.log" 2>&1) || { echo "$name: does not build"; return; }
  names+=("$name")
}
play() { # bench, out, name, site, day, seed
  cd "$2/${3// /-}" && "$1" run "$4" "$5" --seed "$6" --why "ablation: $3, seed $6" >"$2/${3// /-}.$6.log" 2>&1
}
export -f play
prepare "as it is"
prepare "no headroom" jobs/headroom.go 's/h\.lowerPriorityLimit = max\(0, capacity-h\.peak\)/h.lowerPriorityLimit = capacity/'
prepare "no triage" jobs/queuelimit.go 's/\t\ts\.triage\(now, q, capacity\)\n//'
prepare "no preemption" jobs/cycle.go 's/\ts\.preempt\(c\)\n//'
prepare "no reservations" jobs/assign.go 's/\ts\.reserve\(c, group, members\)\n/\t_ = members\n/'
prepare "accelerators not packed" jobs/pick.go 's/if stage\.GPU > 0 \{/if false {/'
prepare "no wait for a rack" jobs/pick.go 's/if c\.now-group\.queuedAt >= min\(maxWait, maxRackWait\)/if true || c.now-group.queuedAt >= min(maxWait, maxRackWait)/'
prepare "estimates not corrected" jobs/estimate.go 's/if q\.completions < minCompletions \|\| estimate <= 0/if true || q.completions < minCompletions || estimate <= 0/'
for seed in $seeds; do
  for name in "${names[@]}"; do
    printf '%s\0' "$bench" "$out" "$name" "$site" "$day" "$seed"
  done
done | xargs -0 -n 6 -P "${JOBS:-4}" bash -c 'play "$@"' play
worth() { sed -n 's/^worth \([0-9.]*\) = .*/\1/p' "$out/${1// /-}.$2.log"; }
for name in "${names[@]}"; do
  list=
  for seed in $seeds; do list="$list $(worth "as it is" "$seed"):$(worth "$name" "$seed")"; done
  echo "$name $list" | awk -v name="$name" '{ n = 0; s = 0; q = 0; w = ""
    for (i = 1; i <= NF; i++) if (split($i, p, ":") == 2 && p[1] != "" && p[2] != "") { d = p[2] - p[1]; n++; s += d; q += d * d; w = w " " p[2] }
    if (n) printf "%-26s %s  difference %+.4f sd %.4f\n", name, w, s / n, (n > 1 ? sqrt((q > s * s / n) ? (q - s * s / n) / (n - 1) : 0) : 0); else print name ": no result" }'
done
