#!/bin/bash
# Builds the stand-ins and steps of the second review's cases into review/kit-2/bin/ and review/kit-3/bin/. Needs the Go toolchain alone,
# no network.
set -euo pipefail
cd "$(dirname "$0")"
for kit in kit-2 kit-3; do
  mkdir -p "$kit/bin"
  (cd "$kit" && go build -buildvcs=false -o bin/cases .)
done
