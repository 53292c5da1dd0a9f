#!/usr/bin/env bash
# Starts a fleet of processes on loopback addresses, demonstrates its functions
# and stops it. Exits non-zero at the first step that fails.
set -u
cd "$(dirname "$0")"

PACKAGES="build-essential pkg-config libtalloc-dev libtevent-dev libmsgpack-dev
	liburcu-dev libglib2.0-dev libnghttp2-dev nghttp2-client curl
	libjansson-dev libyaml-dev libsodium-dev libxxhash-dev libhttp-parser-dev"
if ! dpkg -s $PACKAGES >/dev/null 2>&1; then
	apt-get update -qq && apt-get install -y -qq $PACKAGES >/dev/null ||
		{ echo "demo: packages cannot be installed"; exit 1; }
fi
make -s -j"$(nproc)" all >/dev/null || { echo "demo: build failed"; exit 1; }

. contrib/fleet.sh

step() {
	# step TEXT EXPECTED ACTUAL
	if [ "$2" = "$3" ]; then
		echo "ok    $1: $3"
	else
		echo "FAIL  $1: expected $2, got $3"
		exit 1
	fi
}

fleet_start 3 || { echo "FAIL  fleet did not start"; exit 1; }
step "fleet of 3 instances, 3 endpoints" ready ready
ops apply examples/abay >/dev/null
step "configuration applied" 0 $?
key=$(ops key give parents-portal 2>/dev/null)
fleet_wait_primary bookings-1 || { echo "FAIL  no primary"; exit 1; }

fleet_call 1 POST /booking/book "$key" '{"key":"bed-7","value":"Liya"}'
step "booking written through instance 1" 200 "$status"
token=$session
fleet_call 2 GET "/booking/places?key=bed-7" "$key" "" "$token"
step "own write read through instance 2" '"Liya"' "$(value_of)"
fleet_call 3 GET "/booking/programme?key=bed-7" "" ""
step "bounded-staleness read on an open route, instance 3" 200 "$status"
fleet_call 1 POST /booking/book "lwk_wrong" '{"key":"bed-8","value":"x"}'
step "wrong key is refused" "401 key_unknown" "$status $(error_of)"

doomed=$(ops key give parents-portal 2>/dev/null)
fleet_call 1 GET "/booking/places?key=bed-7" "$doomed" ""
step "second key works" 200 "$status"
withdrawn_at=$(now_ms)
printf '%s\n' "$doomed" | ops key withdraw >/dev/null
step "key withdrawn" 0 $?
while :; do
	fleet_call 2 GET "/booking/places?key=bed-7" "$doomed" ""
	[ "$status" = 401 ] && break
	[ $(($(now_ms) - withdrawn_at)) -gt 5000 ] && break
	sleep 0.05
done
step "withdrawn key is refused by another instance" 401 "$status"
echo "      after $(($(now_ms) - withdrawn_at)) ms"

primary=$(fleet_primary bookings-1)
fleet_kill_endpoint "$primary"
killed_at=$(now_ms)
fleet_call 2 POST /booking/book "$key" '{"key":"bed-9","value":"Abel"}'
step "write after the primary was killed" 200 "$status"
echo "      acknowledged $(($(now_ms) - killed_at)) ms after the kill, without operator action"
fleet_call 3 GET "/booking/places?key=bed-7" "$key" "" "$token"
step "earlier booking is kept" '"Liya"' "$(value_of)"
[ "$(fleet_primary bookings-1)" != "$primary" ]
step "another endpoint was promoted" 0 $?

fleet_stop
step "graceful stop of all instances" 0 $?
echo "demo: all steps passed"
