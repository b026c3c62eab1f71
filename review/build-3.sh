#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/drive3 ./review/_drive3
