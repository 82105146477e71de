#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/jaylink ] && [ -x review/bin/drive ] || exit 2
exec review/bin/drive deadly review/4
