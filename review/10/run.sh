#!/bin/sh
# Runs the case; see claim.txt. With TROUBLE=0 it does the same without the disruption. Exit code: 0 the rule held,
# 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/threadglade ] || [ ! -x bin/review-stand2 ]; then
	echo "build first: the build line of deploy/balancer.toml, then review/build-2.sh" >&2
	exit 2
fi
exec bin/review-stand2 10 review/10 "${TROUBLE:-1}"
