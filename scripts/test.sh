#!/usr/bin/env bash
# Runs all tests. Extra arguments go to "go test", for example ./scripts/test.sh -run TestTable.
#
# Property tests use a fixed seed, so that the result is the same on every run. Tests that are listed in
# KNOWN-RED.txt (lines "test: NAME") fail because of known faults; they are skipped here, and the file is printed.
set -euo pipefail
cd "$(dirname "$0")/.."

# known_failing prints the names of the tests listed in KNOWN-RED.txt, one per line.
known_failing() {
  [ -f KNOWN-RED.txt ] || return 0
  sed -n 's/^test: *//p' KNOWN-RED.txt
}

skip=() # the -skip flag of "go test", if any test is skipped
names=$(known_failing)
if [ -n "$names" ]; then
  echo "Skipped, known to fail (KNOWN-RED.txt):"
  cat KNOWN-RED.txt
  skip=(-skip "^($(echo "$names" | paste -sd'|' -))\$")
fi

# Only packages whose tests import rapid accept its flags; the others reject them.
rapid_packages=$(go list -f '{{$p := .}}{{range .TestImports}}{{if eq . "pgregory.net/rapid"}}{{$p.ImportPath}}
{{end}}{{end}}{{range .XTestImports}}{{if eq . "pgregory.net/rapid"}}{{$p.ImportPath}}
{{end}}{{end}}' ./... | sort -u)
other_packages=$(go list ./... | grep -vxF -e "${rapid_packages:-none}" || true)

if [ -n "$rapid_packages" ]; then
  # shellcheck disable=SC2086
  go test -race -timeout 20m "${skip[@]}" "$@" $rapid_packages -rapid.seed=20261204 -rapid.nofailfile
fi
if [ -n "$other_packages" ]; then
  # shellcheck disable=SC2086
  go test -race -timeout 20m "${skip[@]}" "$@" $other_packages
fi
