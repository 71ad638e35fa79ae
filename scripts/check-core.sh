#!/usr/bin/env bash
# Fails when a package under internal/core performs input or output, logs, emits telemetry, reads the clock or uses the
# global random source. Test files are not checked.
set -euo pipefail
cd "$(dirname "$0")/.."

forbidden_imports='^(net|net/.*|os|os/.*|log|log/.*|github.com/sirupsen/.*|go.opentelemetry.io/.*|github.com/quic-go/.*)$'
status=0
for package in $(go list ./internal/core/...); do
  imports=$(go list -f '{{join .Imports "\n"}}' "$package" | grep -E "$forbidden_imports" || true)
  if [ -n "$imports" ]; then
    # The inner echo joins the lines.
    echo "$package imports $(echo $imports); core packages must not perform input or output, log or emit telemetry"
    status=1
  fi
done

forbidden_calls='time\.(Now|Since|Until|Sleep|After|AfterFunc|Tick|NewTimer|NewTicker)\(|(rand)\.(Int|IntN|Float64|N|Uint64|Perm|Shuffle)\('
if grep -rnE "$forbidden_calls" internal/core --include='*.go' | grep -v '_test\.go:'; then
  echo "the lines above read the clock or the global random source; core packages must take both as arguments"
  status=1
fi
exit $status
