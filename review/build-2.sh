#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin2"
go build -o ../../target/review-2/reviewcase .
