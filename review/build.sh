#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start.
set -eu
cd "$(dirname "$0")/standins"
mkdir -p ../../target
GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../../target/review-standins .
