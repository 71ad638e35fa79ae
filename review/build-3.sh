#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 and following. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/peers-3"
mkdir -p ../../target
GOTOOLCHAIN=local GOFLAGS=-mod=mod go build -buildvcs=false -o ../../target/review-peers-3 .
