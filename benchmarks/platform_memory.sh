#!/usr/bin/env bash
# Measures the private memory of the router that the operators run: platform_memory.sh [MEMORY_MB].
# Needs the build of deploy/balancer.toml, and g++. Exit code 1: over MEMORY_MB, or the router has ended.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
g++ -std=c++20 -O1 -pthread benchmarks/platform_memory.cpp review/rig/rig.cpp -o "$folder/platform_memory"
RUN_COMMAND=$(sed -n 's/^run = "\(.*\)" *#.*/\1/p' deploy/balancer.toml) CASE_FOLDER=$folder \
  "$folder/platform_memory" "$folder/record.txt" "${1:-32}"
