#!/usr/bin/env bash
# A start without an answer is carried out by the next life of a runner that lost power for a moment. TROUBLE=0 leaves out both.
set -uo pipefail
cd "$(dirname "$0")/../.."
exec target/review-3/review3 11 review/11
