#!/usr/bin/env bash
# Case 1. Exits with 1 if a request was answered 503 and ran, 0 if not, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
root=$PWD
exec "$root/target/review/late-answer" "$root" "$root/review/1"
