#!/usr/bin/env bash
# Clients from the npm registry against `heronwell demo`. Arguments: the program, a folder to work in.
set -euo pipefail
program=$1
work=$2
here=$(cd "$(dirname "$0")" && pwd)
mkdir -p "$work"
cp "$here"/package.json "$here"/package-lock.json "$here"/.npmrc "$here"/clients.mjs "$work"
cd "$work"
cmp -s package-lock.json installed || { npm ci --no-progress >/dev/null; cp package-lock.json installed; }
"$program" demo --port 0 >demo.out 2>demo.err &
demo=$!
trap 'kill $demo; wait $demo 2>/dev/null || true' EXIT
for _ in $(seq 100); do
  grep -q listening demo.out && break
  sleep 0.1
done
node clients.mjs "$(sed -n 's/^listening //p' demo.out)/graphql"
