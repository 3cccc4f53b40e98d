#!/usr/bin/env bash
# An upkeep order without an answer is carried out late, after its sender was killed. TROUBLE=0 leaves that out.
set -uo pipefail
cd "$(dirname "$0")/../.."
exec target/review-3/review3 13 review/13
