#!/usr/bin/env bash
# A runner that is being emptied loses its link to the system for four seconds.
# TROUBLE=0 runs the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/stand ] && [ -x target/lovagestand ] || { echo "build first: the line of deploy/system.toml, then review/build.sh" >&2; exit 2; }
exec target/review/stand drain-cut review/3/record.txt
