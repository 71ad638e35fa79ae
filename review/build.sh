#!/usr/bin/env bash
# Builds the stand-ins that the scripts under review/ start, into target/review. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/guavapoint-standin ./cmd/guavapoint-standin
cd review/standin
GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review/ ./...
