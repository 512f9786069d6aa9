#!/usr/bin/env bash
# Checks attempt.pml with spin: no error in its small worlds, and an error with each guard that is off.
#   check.sh FOLDER       (for what is built)
set -euo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
mkdir -p "$1" && cd "$1"
run() {  # prints the line with the number of errors
  rm -f pan pan.*
  spin "$@" -a "$here/attempt.pml" >/dev/null
  cc -O0 -DCOLLAPSE -o pan pan.c
  ./pan -m200000 -w20 | grep -o 'errors: [0-9]*' || true
}
for world in "-DONE_REQUEST" "-DONE_REQUEST -DUNSAFE" "-DTRIES=1 -DLINKS=1"; do
  # shellcheck disable=SC2086
  [ "$(run $world)" = "errors: 0" ] || { echo "attempt.pml $world: a property is broken"; exit 1; }
done
for plant in "-DTRIES=1 -DLINKS=1 -DPLANT_REUSE" "-DONE_REQUEST -DUNSAFE -DPLANT_RESEND" "-DONE_REQUEST -DPLANT_ORDER" \
             "-DONE_REQUEST -DPLANT_LATE_DIAL" "-DONE_REQUEST -DUNSAFE -DPLANT_PARTIAL"; do
  # shellcheck disable=SC2086
  [ "$(run $plant)" = "errors: 1" ] || { echo "attempt.pml $plant: the fault is not found"; exit 1; }
done
echo "attempt.pml: kept in 3 worlds, 5 faults found"
