#!/usr/bin/env bash
# Runs test programs, by default all, with the programs in the directory BUILD.
# Usage: tests/run.sh BUILD [NAME ...]
# Failures that KNOWN-RED.txt lists are printed and don't fail the run.
# TESTS_FROM=DIRECTORY: take the test programs from another build. The thread
# sanitizer build uses it, to check the daemons but not the test library.
set -u
cd "$(dirname "$0")/.."
build=$1
shift
export LWS_BUILD=$build
# A disk may stall synced writes for minutes, longer than any bound of a test.
if [ -z "${TMPDIR:-}" ] && [ -w /dev/shm ]; then
	export TMPDIR=/dev/shm
fi
passed=0
failed=0
names=${*:-$(cd tests && ls test_*.c | sed 's/\.c$//')}
for name in $names; do
	out=$(mktemp)
	timeout 900 "${TESTS_FROM:-$build}/tests/$name" -k >"$out" 2>&1
	rc=$?
	passed=$((passed + $(grep -c '^ok ' "$out")))
	while read -r path; do
		if grep -q "^$path " KNOWN-RED.txt; then
			echo "known red: $path"
		else
			echo "FAILED: $name $path"
			failed=$((failed + 1))
		fi
	done < <(sed -n 's/^not ok [0-9]* \([^ ]*\).*/\1/p' "$out")
	if [ "$rc" -ne 0 ] && ! grep -q '^not ok' "$out"; then
		echo "FAILED: $name ended with $rc"
		failed=$((failed + 1))
	fi
	[ "$rc" -ne 0 ] && grep -E 'ERROR|SUMMARY|WARNING: Thread' "$out" |
		head -20
	rm -f "$out"
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
