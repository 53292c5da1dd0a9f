#!/usr/bin/env bash
# Runs the benchmarks of the decisions; fails when one exceeds its bound. With
# LWS_BENCH_PROCESSES=1 also runs bench/processes.sh, which has no bounds.
# Usage: bench/run.sh BUILD
set -u
cd "$(dirname "$0")/.."
"$1/bench/bench_policy"
rc=$?
"$1/bench/bench_pooler" || rc=1
if [ "${LWS_BENCH_PROCESSES:-0}" = 1 ]; then
	bench/processes.sh || rc=1
fi
exit $rc
