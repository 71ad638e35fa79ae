#!/usr/bin/env bash
# Runs the Kingston region of the registry deployment on loopback: the stand-in key-value service, eight stand-in
# backend servers and eight daemons, each a process of its own. Sends calls of each kind, drains and kills processes
# under load, changes the preset, and compares the outcomes that the callers received with the runs that the backend
# servers logged.
#
# Usage: examples/local/run.sh
# Exits with 0 if all checks passed, 1 if one failed, 130 on Ctrl-C, 143 on SIGTERM or at the time limit. Needs Go and
# bash. Apart from the first build, it ends within 60 s.
# GUAVAPOINT_PORTS=NN replaces the first two digits of all ports, 27 by default, so that several runs can share one
# machine. GUAVAPOINT_KEEP=1 keeps the directory with logs and records.
set -euo pipefail
cd "$(dirname "$0")/../.."

ports=${GUAVAPOINT_PORTS:-27}
time_limit=55 # seconds for everything after the build
zones="kingston-a kingston-b"
services="lookup holdership delegation docstore"
upstreams=8 # one daemon with its backend server for each zone and service

work=$(mktemp -d "${TMPDIR:-/tmp}/guavapoint-local.XXXXXX")
logs=$work/logs       # output of each process
runs=$work/runs       # run logs of the backend servers
records=$work/records # records and reports of the load generator
declare -A pids=() # process name -> process id, of all processes that run
failures=()        # texts of the failed checks
current_step="setup"

# --- processes ---

# start NAME COMMAND... runs a process in the background, with its output in a log file.
start() {
  local name=$1
  shift
  "$@" >>"$logs/$name.log" 2>&1 &
  pids[$name]=$!
}

# wait_for NAME waits until a process ends and returns its exit code.
wait_for() {
  local pid=${pids[$1]}
  unset "pids[$1]"
  wait "$pid"
}

# stop_all ends all processes that this script started: by SIGTERM first, and by SIGKILL those that still run after 3 s.
stop_all() {
  local pid tries
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for ((tries = 0; tries < 30; tries++)); do
    kill -0 "${pids[@]}" 2>/dev/null || break
    sleep 0.1
  done
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait "${pids[@]}" 2>/dev/null || true
}

# cleanup is the exit handler: it ends all processes, removes the directory and keeps the exit code.
cleanup() {
  local status=$?
  trap - EXIT
  trap '' INT TERM
  if [ "$status" -ne 0 ] && [ ${#failures[@]} -eq 0 ]; then
    echo "aborted in step \"$current_step\" with exit code $status"
  fi
  if [ ${#pids[@]} -gt 0 ]; then stop_all; fi
  if [ -n "${GUAVAPOINT_KEEP:-}" ]; then echo "logs and records: $work"; else rm -rf "$work"; fi
  exit "$status"
}
trap cleanup EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# start_watchdog sends SIGTERM to this script after time_limit.
start_watchdog() {
  (
    trap 'kill "$sleep_pid"; exit' TERM
    sleep "$time_limit" &
    sleep_pid=$!
    wait "$sleep_pid"
    echo "time limit of $time_limit s reached"
    kill -TERM $$
  ) &
  pids[time-limit]=$!
}

# --- addresses and HTTP ---

# address DAEMON LISTENER prints ip:port. LISTENER is the last digit of the port; see examples/README.md for the digits.
address() {
  local zone=1 service
  [[ $1 == kingston-a-* ]] || zone=2
  case $1 in
    *-lookup) service=1 ;; *-holdership) service=2 ;; *-delegation) service=3 ;; *-docstore) service=4 ;;
  esac
  echo "127.0.0.1:$ports$zone$service$2"
}
call_address() { address "$1" 2; }
admin_address() { address "$1" 3; }
backend_address() { address "$1" 4; }
platform_address="127.0.0.1:${ports}001"

# daemons prints the names of all daemons, which their backend servers share.
daemons() {
  local zone service
  for zone in $zones; do for service in $services; do echo "$zone-$service"; done; done
}

# http_get IP:PORT PATH prints a response with its header. It fails if the connection can't be opened. With HTTP/1.0 the
# server closes the connection after the response, which ends cat.
http_get() {
  local fd
  { exec {fd}<>"/dev/tcp/${1%:*}/${1#*:}"; } 2>/dev/null || return 1
  printf 'GET %s HTTP/1.0\r\nHost: %s\r\n\r\n' "$2" "$1" >&"$fd"
  cat <&"$fd" || true
  exec {fd}>&-
}

# daemon_state DAEMON prints the response of the admin listener to /state.
daemon_state() { http_get "$(admin_address "$1")" /state; }

# count_matches TEXT STRING prints how often a fixed string occurs in a text.
count_matches() { grep -oF -- "$2" <<<"$1" | wc -l; }

# wait_until SECONDS CONDITION COMMAND... repeats a command until it succeeds, and fails after SECONDS. The error message
# contains CONDITION.
wait_until() {
  local deadline=$((SECONDS + $1)) condition=$2
  shift 2
  until "$@"; do
    if ((SECONDS >= deadline)); then
      echo "timed out waiting until $condition"
      return 1
    fi
    sleep 0.1
  done
}

# --- checks ---

# step TEXT prints the heading of a step.
step() {
  current_step=$1
  echo
  echo "== $current_step"
}

# check EXPECTATION COMMAND... runs a command, prints whether it succeeded, and adds a failed check to failures.
check() {
  local expectation=$1
  shift
  if "$@"; then
    echo "ok: $expectation"
  else
    echo "FAILED: $expectation"
    failures+=("$expectation")
  fi
}

# run_count KEY [SERVICE] prints how often the root request KEY ran, or with SERVICE how often it and its child calls ran
# in that service.
run_count() {
  if [ $# -eq 1 ]; then
    cat "$runs"/*.log | grep -cE "^[A-Z]+ $1\$" || true
  else
    cat "$runs"/*-"$2".log | grep -cE "^[A-Z]+ $1(/|\$)" || true
  fi
}

# ran_once KEY succeeds if the root request ran exactly once.
ran_once() { [ "$(run_count "$1")" -eq 1 ]; }

# ran_in_all_services KEY succeeds if the root request or a child call of it ran in each service.
ran_in_all_services() {
  local service
  for service in $services; do [ "$(run_count "$1" "$service")" -ge 1 ] || return 1; done
}

# all_succeeded TABLE succeeds if a load report has requests and all of them succeeded.
all_succeeded() {
  awk '/^ *class/ { next }
    /^ *(critical|high|normal|low) / { sent += $2; succeeded += $3 }
    END { exit !(sent > 0 && sent == succeeded) }' "$1"
}

# --- deployment ---

build() {
  go build -o "$work" ./cmd/guavapoint ./cmd/guavapoint-standin
}

# prepare creates the directories, the certificates and the settings files.
prepare() {
  mkdir -p "$logs" "$runs" "$records" "$work/settings"
  "$work/guavapoint-standin" certs --dir "$work/tls" $(daemons)
  local name
  for name in $(daemons); do
    sed "s/127\.0\.0\.1:21/127.0.0.1:$ports/" "examples/registry/settings/$name.json" >"$work/settings/$name.json"
  done
}

# start_backend NAME starts the stand-in backend server of a daemon.
start_backend() {
  start "backend-$1" "$work/guavapoint-standin" backend --config "examples/registry/backends/${1##*-}.json" \
    --name "$1" --listen "$(backend_address "$1")" --daemon "$(call_address "$1")" --run-log "$runs/$1.log"
}

# start_daemon NAME starts a daemon.
start_daemon() {
  start "daemon-$1" "$work/guavapoint" daemon --settings "$work/settings/$1.json"
}

start_deployment() {
  start platform "$work/guavapoint-standin" kv --listen "$platform_address" \
    --put guavapoint/config=examples/registry/config.json
  local name
  for name in $(daemons); do start_backend "$name"; done
  for name in $(daemons); do start_daemon "$name"; done
}

# sees_all_serving DAEMON succeeds if a daemon and all members in its table are in state "serving", and its preset is
# "ordinary". The response to /state has the string once for each member, itself included, and once for its own state.
sees_all_serving() {
  local s
  s=$(daemon_state "$1") || return 1
  [ "$(count_matches "$s" '"state":"serving"')" -eq $((upstreams + 1)) ] && [[ $s == *'"active_preset":"ordinary"'* ]]
}

# all_serving succeeds if this is so on all daemons.
all_serving() {
  local name
  for name in $(daemons); do sees_all_serving "$name" || return 1; done
}

# set_preset NAME changes the active preset as an operator does and waits until it is in effect on all daemons.
set_preset() {
  local name flags=()
  for name in $(daemons); do flags+=(--daemon "$(admin_address "$name")"); done
  "$work/guavapoint" preset set --platform "http://$platform_address" --by example --wait --wait-limit 4s "${flags[@]}" "$1"
}

# --- calls ---

call() {
  "$work/guavapoint-standin" call "$@"
}

entry_a=$(call_address kingston-a-lookup)
entry_b=$(call_address kingston-b-lookup)

# start_load NAME RATE DURATION [FLAGS] sends the registry's mix of calls in the background, RATE calls/s, and
# records the outcomes that the callers received.
start_load() {
  local name=$1 rate=$2 duration=$3
  shift 3
  "$work/guavapoint-standin" load --entry "$entry_a" --entry "$entry_b" --mix examples/registry/mix.json \
    --rate "$rate" --duration "$duration" --key-prefix "$name-" --record "$records/$name.jsonl" "$@" \
    >"$records/$name.table" 2>&1 &
  pids[load]=$!
}

# end_load NAME waits until the load generator ends and prints its report.
end_load() {
  check "the load generator of phase $1 exited with 0" wait_for load
  cat "$records/$1.table"
}

call_each_operation() {
  step "one call of each kind, through entry daemons"
  check "lookup" call --entry "$entry_a" GET lookup/blocks/b1
  check "allocation" call --entry "$entry_b" --body-bytes 300 POST holdership/allocations/a1
  check "transfer" call --entry "$entry_a" --body-bytes 500 POST holdership/transfers/t1
  check "document upload" call --entry "$entry_b" --body-bytes 50000 --upload PUT docstore/documents/d1

  step "a transfer sent twice with one token, through two entry daemons"
  check "both responses have the same answer" \
    call --entry "$entry_a" --entry "$entry_b" --times 2 --key twice --body-bytes 500 POST holdership/transfers/t2
  check "the transfer ran once" ran_once twice

  step "a document of 5 MB"
  check "the answer has the SHA-256 of the document" \
    call --entry "$entry_a" --timeout 10s --body-bytes 5000000 --upload PUT docstore/documents/d2

  step "a lookup that causes child calls in three other services"
  check "the lookup is answered" call --entry "$entry_b" --key chain GET lookup/blocks/b2
  check "the lookup and its child calls ran in lookup, holdership, delegation and docstore" ran_in_all_services chain
}

drain_under_load() {
  step "kingston-a-holdership leaves under load: SIGTERM to the daemon, then to its backend server"
  start_load drain 40 5s
  sleep 1.5
  kill -TERM "${pids[daemon-kingston-a-holdership]}"
  check "the daemon finished its requests and exited with 0" wait_for daemon-kingston-a-holdership
  kill -TERM "${pids[backend-kingston-a-holdership]}"
  check "the backend server exited with 0" wait_for backend-kingston-a-holdership
  end_load drain
  check "all requests succeeded" all_succeeded "$records/drain.table"
  start_backend kingston-a-holdership
  start_daemon kingston-a-holdership
}

kill_under_load() {
  step "SIGKILL under load: a backend server of docstore, then a daemon of delegation"
  wait_until 10 "kingston-a-holdership is serving again" all_serving
  start_load kill 40 5s
  sleep 1.5
  kill -KILL "${pids[backend-kingston-a-docstore]}"
  wait_for backend-kingston-a-docstore 2>/dev/null || true
  sleep 1.5
  kill -KILL "${pids[daemon-kingston-b-delegation]}"
  wait_for daemon-kingston-b-delegation 2>/dev/null || true
  end_load kill
  start_backend kingston-a-docstore
  start_daemon kingston-b-delegation
}

change_preset() {
  step "preset changed to peak under load"
  wait_until 10 "the killed processes are serving again" all_serving
  start_load preset 40 4s
  sleep 1
  check "peak is accepted, and in effect on all daemons within 4 s" set_preset peak
  end_load preset
  echo "a call of class low, which the preset peak refuses, after the change:"
  check "a call of class low is refused: outcome not-run, reason overload, no run" refused_as_overload
  check "ordinary is accepted, and in effect on all daemons within 4 s" set_preset ordinary
}

# refused_as_overload succeeds if a call of class low fails with outcome not-run and reason overload and did not run.
refused_as_overload() {
  local output
  if output=$(call --entry "$entry_a" --key refused GET lookup/exports/e1 2>/dev/null); then return 1; fi
  echo "$output"
  [[ $output == *not-run*overload* ]] && [ "$(run_count refused)" -eq 0 ]
}

overload() {
  step "overload: 900 calls/s, more than the slots of delegation can serve"
  start_load overload 900 5s --timeout 1s
  end_load overload
  check "calls were refused: outcome not-run, reason overload" grep -q 'not-run/overload' "$records/overload.table"
  check "calls of class critical still succeed" awk '$1 == "critical" { exit !($3 > 0) }' "$records/overload.table"
}

verify_outcomes() {
  step "outcomes that the callers received, compared with the run logs of the backend servers"
  local file flags=()
  for file in "$records"/*.jsonl; do flags+=(--record "$file"); done
  for file in "$runs"/*.log; do flags+=(--run-log "$file"); done
  check "non-idempotent requests ran at most once, answered requests ran, and none with outcome not-run ran" \
    "$work/guavapoint-standin" verify "${flags[@]}"
}

summary() {
  step "summary"
  if [ ${#failures[@]} -eq 0 ]; then
    echo "all checks passed ($SECONDS s)"
    return 0
  fi
  echo "${#failures[@]} checks failed ($SECONDS s):"
  printf '  %s\n' "${failures[@]}"
  return 1
}

step "build"
build
SECONDS=0
start_watchdog
step "start of $upstreams daemons, $upstreams backend servers and the key-value service on ports ${ports}xxx"
prepare
start_deployment
wait_until 15 "all daemons are serving" all_serving
call_each_operation
drain_under_load
kill_under_load
change_preset
overload
verify_outcomes
summary
