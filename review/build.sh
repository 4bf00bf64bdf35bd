#!/bin/sh
# Builds the stand-ins of all cases into review/bin. The program itself is built by the command of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
for main in review/[0-9]*/main.go; do
	folder=$(dirname "$main")
	go build -o "review/bin/case$(basename "$folder")" "./$folder"
done
