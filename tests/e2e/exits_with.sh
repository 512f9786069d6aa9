#!/usr/bin/env bash
# Usage: exits_with.sh CODE COMMAND... Runs the command and succeeds if its exit code is CODE.
expected=$1; shift
"$@"; actual=$?
[ "$actual" = "$expected" ] || { echo "exit code $actual, expected $expected"; exit 1; }
