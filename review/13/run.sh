#!/usr/bin/env bash
# Plays the case; see claim.txt. Needs the build of deploy/system.toml and review/build-3.sh.
# TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.."
if [ ! -x target/drive3 ] || [ ! -x target/coriandershift-forward ]; then
  echo "build what deploy/system.toml names and run review/build-3.sh first" >&2
  exit 2
fi
exec target/drive3 moved review/13/record.txt
