#!/usr/bin/env bash
# run.sh N - runs the script of case N; see review/N/claim.txt. Exit status: 1
# if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
here="$(cd "$(dirname "$0")/.." && pwd)"
cd "$here/.."
n=$1
[ -x target/lacewingspand ] && [ -x "target/review/case-$n" ] || exit 2
dir=$(mktemp -d) || exit 2
timeout -k 2 115 "target/review/case-$n" --dir="$dir" --record="review/$n/record.txt"
rc=$?
[ "${KEEP_LOGS:-}" ] && cp "$dir"/*.log "$KEEP_LOGS"/
rm -rf "$dir"
[ $rc -le 1 ] || rc=2
exit $rc
