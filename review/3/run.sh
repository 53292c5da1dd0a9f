#!/usr/bin/env bash
# Case 3; see claim.txt. Run it after the build of the deploy file and
# review/build.sh. Exit status: 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 does the same without the disruption.
set -u
export TROUBLE="${TROUBLE:-1}"
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/lacewingspand ] && [ -x target/review/case-3 ] || exit 2
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
# What was sent, answered and run goes to record.txt beside this script.
timeout -k 2 115 target/review/case-3 --dir="$dir" \
	--record="$here/record.txt"
rc=$?
[ $rc -le 1 ] || rc=2
exit $rc
