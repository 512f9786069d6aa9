#!/usr/bin/env bash
# Usage: run_and_audit_day.sh PROGRAM DAY. Runs the day and audits its records.
set -e
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
"$1" day run "$2" --out "$out"
"$1" audit "$out"
