#!/bin/sh
# Builds the stand-in that the scripts of review/11 and later start. The build line of
# deploy/system.toml must have run before.
set -e
cd "$(dirname "$0")/11/stand"
mkdir -p ../../../target/review-3
exec go build -buildvcs=false -o ../../../target/review-3/stand .
