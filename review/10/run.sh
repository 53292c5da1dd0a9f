#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
exec target/review-2/case-10 "$folder"
