#!/usr/bin/env bash
# Builds the stand-ins of the cases. Needs the build of deploy/system.toml for the programs themselves.
set -eu
cd "$(dirname "$0")/.."
go build -buildvcs=false -tags review -o review/bin/rig ./review/rig
