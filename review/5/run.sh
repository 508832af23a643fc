#!/usr/bin/env bash
# Half of the runners of a kind are emptied as planned, in a cell of 528 runners.
# TROUBLE=0 runs the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/stand ] && [ -x target/lovagestand ] || { echo "build first: the line of deploy/system.toml, then review/build.sh" >&2; exit 2; }
exec target/review/stand shards review/5/record.txt
