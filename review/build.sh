#!/bin/sh
# Builds the stand-ins of the cases into review/bin. They use Go's standard library alone.
set -eu
cd "$(dirname "$0")/testdata/standins"
GOWORK=off GOFLAGS= go build -o ../../bin/ ./...
