#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, from the standard library only.
set -e
cd "$(dirname "$0")/6/stand"
CGO_ENABLED=0 go build -o ../../../target/review-2 .
