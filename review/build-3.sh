#!/usr/bin/env bash
# Builds the stand-ins of the cases 9 to 13. They need only the standard library, so no network.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
go build -buildvcs=false -tags review -o target/review-3 ./review/rig-3
