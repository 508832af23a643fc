#!/usr/bin/env bash
# Machines with slow links are stopped and started in turn while 1,200 submissions wait.
# TROUBLE=0 runs the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/stand ] && [ -x target/lovagestand ] || { echo "build first: the line of deploy/system.toml, then review/build.sh" >&2; exit 2; }
exec target/review/stand slow-link review/3/record.txt
