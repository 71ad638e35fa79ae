#!/usr/bin/env bash
# Fails when a package under internal/core performs input or output, logs, emits telemetry or reads the clock.
set -euo pipefail
cd "$(dirname "$0")/.."

forbidden_imports='^(net|net/.*|os|os/.*|log|log/.*|github.com/sirupsen/.*|go.opentelemetry.io/.*|github.com/quic-go/.*)$'
status=0
for package in $(go list ./internal/core/...); do
  imports=$(go list -f '{{join .Imports "\n"}}' "$package" | grep -E "$forbidden_imports" || true)
  if [ -n "$imports" ]; then
    echo "$package imports $(echo $imports); core packages perform no input or output"
    status=1
  fi
done

forbidden_calls='time\.(Now|Since|Until|Sleep|After|AfterFunc|Tick|NewTimer|NewTicker)\(|(rand)\.(Int|IntN|Float64|N|Uint64|Perm|Shuffle)\('
if grep -rnE "$forbidden_calls" internal/core --include='*.go' | grep -v '_test\.go:'; then
  echo "core packages take the time and the random source as arguments"
  status=1
fi
exit $status
