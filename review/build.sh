#!/usr/bin/env bash
# Builds the stand-ins of the review into review/bin. It needs no network: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
GOWORK=off GOFLAGS=-mod=mod go build -o bin/standin ./standin
