#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 and above start. They use the standard library
# alone; nothing is fetched.
cd "$(dirname "$0")/standin-3" || exit 1
mkdir -p ../../target
GOWORK=off GOFLAGS= GOPROXY=off GOTOOLCHAIN=local exec go build -buildvcs=false -o ../../target/standin-3 .
