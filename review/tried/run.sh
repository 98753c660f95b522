#!/bin/sh
# Runs the trial that MODE names; see REPORT.md. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
[ -x "$here/../bin/tried" ] && [ -x "$here/../../bin/larchusher" ] || { echo "build first: the deploy file's build, then review/build.sh" >&2; exit 2; }
exec "$here/../bin/tried" "$here"
