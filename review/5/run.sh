#!/usr/bin/env bash
# Case 5 of the review. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 does the same without the disruption. Needs target/clementineport and review/build.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
export TROUBLE="${TROUBLE:-1}"
if [ ! -x "$root/target/clementineport" ] || [ ! -x "$root/review/bin/standin" ]; then
	echo "build target/clementineport with deploy/system.toml, and review/build.sh, first" >&2
	exit 2
fi
exec "$root/review/bin/standin" cold-owners "$root" "$here" # writes record.txt
