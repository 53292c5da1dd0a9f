#!/usr/bin/env bash
# Counts the instructions that the decisions about a request take, for several
# numbers of customers and services. callgrind counts are reproducible; the
# difference of two runs excludes startup.
# Usage: bench/instructions.sh BUILD
set -u
cd "$(dirname "$0")/.."
count() {
	valgrind --tool=callgrind --callgrind-out-file=/dev/null \
		"$1/bench/bench_request" "$2" "$3" "$4" 2>&1 |
		sed -n 's/.*Collected : //p'
}
for pair in "8 3" "100 3" "1000 3" "4000 3" "8 30" "8 100" "8 300" "8 830"; do
	set -- "$1" $pair
	few=$(count "$1" "$2" "$3" 500)
	many=$(count "$1" "$2" "$3" 2500)
	echo "{\"measure\":\"instructions_per_request\",\"customers\":$2,\"services\":$3,\"value\":$(((many - few) / 2000))}"
done
