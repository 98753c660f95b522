#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
[ -x "$here/../bin/3" ] && [ -x "$here/../../bin/larchusher" ] || { echo "build first: the deploy file's build, then review/build.sh" >&2; exit 2; }
exec "$here/../bin/3" "$here"
