#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review/, after the build of
# the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for n in 1 2 3 5; do
	cc -std=gnu11 -O1 -g -Wall -Wextra -Ireview -o "target/review/case-$n" \
		"review/$n/case.c" review/kit.c -lpthread
done
