#!/usr/bin/env bash
# Builds the stand-ins of the cases of review 2 (review/6 and up) into build-bench/review-2. The router itself is
# built by the `build` line of deploy/balancer.toml. Needs the C++ compiler of that build, no library and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build-bench/review-2
for source in review/*/case_*.cpp; do
  name=$(basename "$source" .cpp)
  "${CXX:-c++}" -std=c++20 -O2 -Wall -Wextra "$source" -o "build-bench/review-2/$name"
  echo "built build-bench/review-2/$name"
done
