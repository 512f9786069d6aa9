#!/usr/bin/env bash
# kept.sh PROGRAM DAY: plays the day and audits it.
set -e
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
"$1" day run "$2" --out "$out"
"$1" audit "$out"
