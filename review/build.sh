#!/usr/bin/env bash
# Builds the stand-ins of all cases, without a network: they need nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../bin
CGO_ENABLED=0 GOWORK=off GOFLAGS=-mod=mod go build -o ../bin/standin .
