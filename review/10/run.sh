#!/bin/sh
# Plays case 10. 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/larchusher ] && [ -x bin/review-stand ] || { echo "build first" >&2; exit 2; }
exec bin/review-stand 10
