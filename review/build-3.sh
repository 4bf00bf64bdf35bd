#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into bin/review-3. They need the Go toolchain alone, and no network.
cd "$(dirname "$0")/kit-3" && exec go build -o ../../bin/review-3 .
