#!/usr/bin/env bash
# Runners crash and start again a second later, several times.
# TROUBLE=0 runs the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/stand ] && [ -x target/lovagestand ] || { echo "build first: the line of deploy/system.toml, then review/build.sh" >&2; exit 2; }
exec target/review/stand crash-waves review/5/record.txt
