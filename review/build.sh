#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/, where the deploy file builds the daemon.
set -eu
cd "$(dirname "$0")/standin"
GOWORK=off go build -buildvcs=false -o ../../target/review-standin .
