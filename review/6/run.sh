#!/bin/sh
# Plays case 6. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/larchusher ] && [ -x bin/review-stand ] || { echo "build first: the deploy file's build, then review/build-2.sh" >&2; exit 2; }
exec bin/review-stand 6
