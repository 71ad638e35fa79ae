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

known_red="" # pattern of the tests that are known to fail
names=$(known_failing)
if [ -n "$names" ]; then
  echo "Skipped, known to fail (KNOWN-RED.txt):"
  cat KNOWN-RED.txt
  known_red="^($(echo "$names" | paste -sd'|' -))\$"
fi

# Only packages whose tests import rapid accept its flags; the others reject them.
rapid_packages=$(go list -f '{{$p := .}}{{range .TestImports}}{{if eq . "pgregory.net/rapid"}}{{$p.ImportPath}}
{{end}}{{end}}{{range .XTestImports}}{{if eq . "pgregory.net/rapid"}}{{$p.ImportPath}}
{{end}}{{end}}' ./... | sort -u)
other_packages=$(go list ./... | grep -vxF -e "${rapid_packages:-none}" || true)

seed=20261204
output=$(mktemp -t guavapoint-test.XXXXXX)

# report_failures prints the names of the failed tests and the seed last, and where the whole output is kept.
report_failures() {
  echo "== failed tests (rapid seed $seed; whole output: $output)"
  grep -E '^ *--- FAIL|^FAIL|^panic:|^\s+Test[A-Za-z0-9_/]+ \(' "$output" | sort -u
  exit 1
}

# Tests that measure the memory of processes run after all others, by themselves.
crowds='^TestCrowds$'

# run_tests runs "go test" and keeps its output.
run_tests() {
  go test -race -timeout 20m "$@" 2>&1 | tee -a "$output" || report_failures
}

if [ -n "$rapid_packages" ]; then
  # shellcheck disable=SC2086
  run_tests -skip "$known_red" "$@" $rapid_packages -rapid.seed=$seed -rapid.nofailfile
fi
if [ -n "$other_packages" ]; then
  # shellcheck disable=SC2086
  run_tests -skip "$crowds${known_red:+|$known_red}" "$@" $other_packages
fi
if [ $# -eq 0 ]; then # arguments choose the tests themselves
  run_tests -run "$crowds" -skip "$known_red" ./internal/soak
fi
rm -f "$output"
