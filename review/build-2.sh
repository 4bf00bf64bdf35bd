#!/bin/bash
# Builds the stand-ins and steps of the second review's cases into review/kit-2/bin/. Needs the Go toolchain alone, no network.
set -euo pipefail
cd "$(dirname "$0")/kit-2"
mkdir -p bin
go build -buildvcs=false -o bin/cases .
