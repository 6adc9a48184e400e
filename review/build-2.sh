#!/usr/bin/env bash
# Builds what the scripts of the second review start besides the program itself, which the build of the deploy
# file makes: bin/standin2, which has all stand-ins. It needs no network and no packages.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
cd review/standin-2
GOWORK=off go build -o ../../bin/standin2 .
