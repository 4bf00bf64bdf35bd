#!/bin/sh
# Builds the stand-ins of all cases into review/bin. The program itself is built by the command of the deploy file.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for main in [0-9]*/main.go; do
	folder=$(dirname "$main")
	GOPROXY=off go build -o "bin/case$folder" "./$folder"
done
