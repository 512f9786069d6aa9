#!/bin/sh
# Builds the stand-ins of the cases, in review/build/. Needs g++ and nothing else.
set -e
cd "$(dirname "$0")"
mkdir -p build
compile() { g++ -std=c++20 -O1 -Wall -Wextra -pthread "$@"; }
compile -c rig/rig.cpp -o build/rig.o
for case in [0-9]*/; do
  for source in "$case"*.cpp; do
    compile "$source" build/rig.o -o "build/case_${case%/}"
  done
done
