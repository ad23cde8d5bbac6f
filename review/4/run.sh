#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/catkinspindle-node target/review-harness; do
	[ -x "$program" ] || { echo "$program is missing: run the build of deploy/system.toml and review/build.sh" >&2; exit 2; }
done
exec target/review-harness shed review/4
