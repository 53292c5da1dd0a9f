#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 does the same without the disruption. What was sent, answered and run
# is written to record.txt beside this file. review/build-2.sh builds the program.
# ONLY=loss leaves out the kill of the control processes, ONLY=kill the silence.
TROUBLE=${TROUBLE:-1}
export TROUBLE
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/review-2/case-10 ] || exit 2
exec target/review-2/case-10 "$folder/record.txt"
