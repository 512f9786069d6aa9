#!/usr/bin/env bash
# Usage: port_in_use.sh PROGRAM. Starts a demo on a free port and a second demo on the same port; exits with the
# exit code of the second.
out=$(mktemp)
"$1" demo --port 0 >"$out" 2>/dev/null &
first=$!
for _ in $(seq 100); do grep -q listening "$out" && break; sleep 0.1; done
"$1" demo --port "$(sed -n 's/.*://p' "$out")" >/dev/null 2>&1
code=$?
kill $first; wait $first
rm -f "$out"
exit $code
