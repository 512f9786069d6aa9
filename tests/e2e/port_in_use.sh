#!/usr/bin/env bash
# Starts a demo on a free port, and a second on the same; ends with the second's exit code.
out=$(mktemp)
"$1" demo --port 0 >"$out" 2>/dev/null &
first=$!
for _ in $(seq 100); do grep -q listening "$out" && break; sleep 0.1; done
"$1" demo --port "$(sed -n 's/.*://p' "$out")" >/dev/null 2>&1
code=$?
kill $first; wait $first
rm -f "$out"
exit $code
