#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. Run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/third/standin"
mkdir -p ../../../target/review-3
go build -o ../../../target/review-3/review3 .
