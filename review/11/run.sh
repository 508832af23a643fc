#!/bin/sh
# Plays the case vanished-owners on loopback addresses; see claim.txt. Exits with 1 if the rule is broken,
# 0 if it holds and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/lovagestand ] && [ -x target/review-3/stand ] || exit 2
exec target/review-3/stand vanished-owners review/11/record.txt
