#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target/review-2
GOFLAGS=-mod=mod GOWORK=off go build -buildvcs=false -o ../../target/review-2/standin-2 .
