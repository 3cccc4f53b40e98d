#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/second/standin"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../../target/review-2/standin-2 .
