#!/usr/bin/env bash
# A start without an answer is carried out late, by the next life of its runner. TROUBLE=0 leaves that out.
set -uo pipefail
cd "$(dirname "$0")/../.."
exec target/review-3/review3 12 review/12
