#!/usr/bin/env bash
# Measures the latency and the CPU time that two daemons add to a call: the entry daemon kingston-a-lookup and the
# upstream's daemon kingston-a-docstore, in front of a stand-in backend server of docstore without service time.
# Needs Go and bash. Flags go to "guavapoint-standin overhead", for example --count 20000. GUAVAPOINT_PORTS=NN replaces
# the first two digits of all ports, 28 by default.
set -euo pipefail
cd "$(dirname "$0")/../.."

ports=${GUAVAPOINT_PORTS:-28}
work=$(mktemp -d "${TMPDIR:-/tmp}/guavapoint-thin-path.XXXXXX")
pids=()

# cleanup ends all processes that this script started and removes its directory.
cleanup() {
  local status=$?
  trap - EXIT
  trap '' INT TERM
  if [ ${#pids[@]} -gt 0 ]; then
    kill -TERM "${pids[@]}" 2>/dev/null || true
    wait "${pids[@]}" 2>/dev/null || true
  fi
  rm -rf "$work"
  exit "$status"
}
trap cleanup EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# start COMMAND... runs a process in the background.
start() {
  "$@" >>"$work/log" 2>&1 &
  pids+=($!)
}

go build -o "$work" ./cmd/guavapoint ./cmd/guavapoint-standin
"$work/guavapoint-standin" certs --dir "$work/tls" kingston-a-lookup kingston-a-docstore
mkdir "$work/settings"
for name in kingston-a-lookup kingston-a-docstore; do
  sed "s/127\.0\.0\.1:21/127.0.0.1:$ports/" "examples/registry/settings/$name.json" >"$work/settings/$name.json"
done
start "$work/guavapoint-standin" kv --listen "127.0.0.1:${ports}001" --put guavapoint/config=examples/registry/config.json
start "$work/guavapoint-standin" backend --name lookup --service lookup --listen "127.0.0.1:${ports}114"
start "$work/guavapoint-standin" backend --name docstore --service docstore --slots 9 --listen "127.0.0.1:${ports}144"
for name in kingston-a-lookup kingston-a-docstore; do start "$work/guavapoint" daemon --settings "$work/settings/$name.json"; done

# Waits until a call is answered: up to 100 retries, 0.1 s apart.
entry=127.0.0.1:${ports}112
for ((tries = 0; ; tries++)); do
  if "$work/guavapoint-standin" call --entry "$entry" GET docstore/documents/d1 >"$work/call" 2>&1; then break; fi
  if ((tries >= 100)); then
    echo "no call through $entry was answered after $tries retries; output of the last one:"
    cat "$work/call"
    exit 1
  fi
  sleep 0.1
done
"$work/guavapoint-standin" overhead --direct "127.0.0.1:${ports}144" --entry "$entry" --service docstore \
  --path /documents/d1 --admin "127.0.0.1:${ports}113" --admin "127.0.0.1:${ports}143" "$@"
