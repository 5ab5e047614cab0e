#!/bin/bash
# Builds the stand-ins that the scripts of the second review start. Run from anywhere, after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -buildvcs=false -tags review -o target/review-rig-2 ./review/rig-2
