#!/bin/sh
# Runs the case. Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
[ -x "$folder/bin/case" ] && [ -x "$root/bin/threadglade" ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
exec "$folder/bin/case" "$root" "$folder"
