#!/bin/sh
# Builds the stand-ins of the second review into bin/, beside the programs that the build of the deploy file leaves
# there. It needs Go and no network: the module in review/testdata/rig-2 uses the standard library alone.
set -eu
cd "$(dirname "$0")/testdata/rig-2"
mkdir -p ../../../bin
GOFLAGS="-buildvcs=false" GOWORK=off go build -o ../../../bin/review-2 .
