#!/usr/bin/env bash
# Plays the case on loopback. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption. review/build-2.sh and the build of the deploy file come first.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
for program in target/clementineport target/review-2/reviewcase; do
	if [ ! -x "$root/$program" ]; then
		echo "$program is missing" >&2
		exit 2
	fi
done
exec "$root/target/review-2/reviewcase" deadly "$root" "$here"
