#!/usr/bin/env bash
# A completed job runs again, and a running one is answered with 410, when its prefix gets another service.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: the same without the disruption.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
for program in target/sedgevale target/review-3; do
  [ -x "$program" ] || { echo "$program is missing: build deploy/system.toml and run review/build-3.sh"; exit 2; }
done
exec target/review-3 moved-queue review/11/record.txt
