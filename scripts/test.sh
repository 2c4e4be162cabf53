#!/usr/bin/env bash
# Runs every test with the race detector. Tests named in KNOWN-RED.txt are printed and passed over.
set -euo pipefail
cd "$(dirname "$0")/.."
skip=()
red=$(awk -F'\t' '!/^#/ && NF { print $1 }' KNOWN-RED.txt)
if [ -n "$red" ]; then
	echo "Known red, passed over:"
	grep -v '^#' KNOWN-RED.txt
	skip=(-skip "^($(echo "$red" | paste -sd'|'))\$")
fi
go test -race -count=1 -timeout 15m "${skip[@]}" ./...
