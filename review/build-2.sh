#!/bin/sh
# Builds the programs of the review's scripts into target/review-2.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/scenario-2.c; do
	[ -e "$source" ] || continue
	number=$(basename "$(dirname "$source")")
	cc -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -Werror \
		-Wno-format-truncation -Ireview/kit-2 "$source" \
		review/kit-2/kit.c -lpthread -o "target/review-2/case-$number"
done
