#!/usr/bin/env bash
# One submission whose tasks take six times as long as estimated.
# TROUBLE=0 runs the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/stand ] && [ -x target/lovagestand ] || { echo "build first: the line of deploy/system.toml, then review/build.sh" >&2; exit 2; }
exec target/review/stand long-tasks review/5/record.txt
