#!/usr/bin/env bash
# Machines are stopped and started in turn while an entry of another writer lies in the store.
# TROUBLE=0 runs the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/stand ] && [ -x target/lovagestand ] || { echo "build first: the line of deploy/system.toml, then review/build.sh" >&2; exit 2; }
exec target/review/stand foreign-entry review/5/record.txt
