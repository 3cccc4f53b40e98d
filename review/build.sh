#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. It needs the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target/review
GOWORK=off go build -o ../../target/review/sim .
