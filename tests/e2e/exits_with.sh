#!/usr/bin/env bash
# exits_with.sh CODE COMMAND...: passes if the command ends with that code.
want=$1; shift
"$@"; got=$?
[ "$got" = "$want" ] || { echo "exit $got, expected $want"; exit 1; }
