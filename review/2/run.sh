#!/usr/bin/env bash
# The leading machine loses power again and again, without closing its channels to the runners.
# TROUBLE=0 runs the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/stand ] && [ -x target/lovagestand ] || { echo "build first: the line of deploy/system.toml, then review/build.sh" >&2; exit 2; }
exec target/review/stand lost-machines review/2/record.txt
