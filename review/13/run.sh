#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no entry is killed.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/jaylink ] && [ -x target/review-3/rig3 ] || { echo "build first: deploy/system.toml, review/build-3.sh" >&2; exit 2; }
exec target/review-3/rig3 deadly review/13/record.txt
