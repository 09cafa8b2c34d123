#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts, into target/.
set -eu
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS=-mod=mod go build -buildvcs=false -o ../../target/review-standin-2 .
