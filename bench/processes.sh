#!/usr/bin/env bash
# Measures the cost of the proxy with real processes: load through an instance,
# compared with load sent directly to an endpoint in the same round. Only
# reported, without a bound, since the figures depend on the machine.
set -u
cd "$(dirname "$0")/.."
. contrib/fleet.sh

percent() {
	awk -v a="$1" -v b="$2" 'BEGIN { printf "%.3f", b ? a / b : 0 }'
}

# load URL [H2LOAD FLAGS]: prints requests per second and mean time in us
load() {
	h2load -n 20000 -c "$clients" -m 1 -t 1 "$@" 2>/dev/null |
		awk '/^finished in/ { rate = $4 }
		/^time for request:/ { t = $6
			if (t ~ /us$/) us = t + 0
			else if (t ~ /ms$/) us = t * 1000
			else us = t * 1000000 }
		END { print rate + 0, us }'
}

ticks() {
	awk '{ print $14 + $15 }' "/proc/$1/stat"
}

fleet_start 3 >/dev/null || exit 1
ops apply examples/abay >/dev/null
fleet_wait_primary bookings-1 || exit 1
sleep 1
addr=$(ops --json status | tr -d '\n ' |
	sed -n 's/.*"addr":"\([^"]*\)"[^}]*"id":"bookings-1-e1".*/\1/p')
echo '{"op":"read","id":"x","service":"booking","route":"programme","query":"","term":0}' \
	>"$FLEET_DIR/exec.json"
for clients in 1 4; do
	for round in 1 2 3; do
		direct=$(load "http://$addr/exec" -d "$FLEET_DIR/exec.json")
		before=$(ticks "${FLEET_PID[1]}")
		proxied=$(load "http://$FLEET_NET.1:7400/booking/programme")
		after=$(ticks "${FLEET_PID[1]}")
		set -- $direct $proxied
		echo "{\"measure\":\"proxy_cost\",\"clients\":$clients,\"round\":$round,\"direct_per_s\":$1,\"through_per_s\":$3,\"direct_mean_us\":$2,\"through_mean_us\":$4,\"proxy_cpu_us_per_request\":$(awk "BEGIN { print ($after - $before) * 10000 / 20000 }")}"
	done
done
