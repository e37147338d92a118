#!/bin/bash
# Builds the stand-ins of the second review into target/review-2. It needs nothing but the standard library.
set -eu
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target/review-2
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-2/bed .
