#!/bin/sh
# Builds what the scripts of the third review start, after the build of the
# deploy file: the project's stand-in of the platform and the clients.
set -e
cd "$(dirname "$0")/.."
make -s -j4 BUILD=target target/platform_standin
mkdir -p target/review-3
cc -std=gnu11 -D_GNU_SOURCE -O1 -Wall -Wextra \
	-o target/review-3/backend review/kit-3/backend.c -lpthread
for dir in review/1[1-5]; do
	n=${dir#review/}
	for source in "$dir"/*.c; do
		[ -f "$source" ] || continue
		cc -std=gnu11 -O1 -Wall -Wextra -o \
			"target/review-3/$(basename "$source" .c)-$n" "$source" \
			-lpthread
	done
done
