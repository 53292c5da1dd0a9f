#!/usr/bin/env bash
# Measures the slopes for docs/CAPACITY.md: those of bench_slopes, then those of
# real processes: memory by number of caller connections, control traffic and
# processor time by number of instances. Real processes need BUILD "build".
# Usage: bench/slopes.sh BUILD
set -u
cd "$(dirname "$0")/.."
"$1/bench/bench_slopes" || exit 1
[ "$1" = build ] || exit 0
. contrib/fleet.sh
ulimit -n 20000

# fit NAME X_UNIT Y_UNIT: fits a straight line to the "x y" lines of standard
# input; prints the line with its largest residual as a share of the largest y
fit() {
	awk -v name="$1" -v xu="$2" -v yu="$3" '
	{ n++; x[n] = $1; y[n] = $2; sx += $1; sy += $2; sxx += $1 * $1
	  sxy += $1 * $2; if ($2 > most) most = $2
	  points = points (n > 1 ? "," : "") "[" $1 "," $2 "]" }
	END { per = (n * sxy - sx * sy) / (n * sxx - sx * sx)
	  base = (sy - per * sx) / n
	  for (i = 1; i <= n; i++) { off = y[i] - base - per * x[i]
	    if (off < 0) off = -off
	    if (off > worst) worst = off }
	  printf "{\"slope\":\"%s\",\"x\":\"%s\",\"y\":\"%s\",\"points\":[%s],\"per_x\":%.4f,\"base\":%.3f,\"residual\":%.3f}\n",
	    name, xu, yu, points, per, base, most ? worst / most : 0 }'
}

rss_kib() {
	awk '/VmRSS/ { print $2 }' "/proc/$1/status"
}

cpu_ticks() {
	awk '{ print $14 + $15 }' "/proc/$1/stat"
}

peer_bytes() {
	build/lacewingspan --admin "$FLEET_NET.$1:7402" --json counters |
		awk -F'[:,]' '/peer_bytes_/ { sum += $2 } END { print sum }'
}

# Memory by number of caller connections
fleet_start 3 >/dev/null || exit 1
ops apply examples/abay >/dev/null
sleep 2
for count in 0 1000 2000 3000 4000; do
	if [ "$count" -gt 0 ]; then
		h2load -c "$count" -n $((count * 2)) -t 4 --rps 0.4 \
			"http://$FLEET_NET.1:7400/booking/programme" \
			>/dev/null 2>&1 &
		load=$!
		sleep 4
	fi
	echo "$count $(rss_kib "${FLEET_PID[1]}")"
	if [ "$count" -gt 0 ]; then
		wait "$load"
	fi
done | fit memory_by_connections "connections" "KiB"

# Control traffic and processor time by number of instances, of the leader and
# of a diskless instance
leader() {
	ops --json status | sed -n 's/.*"leader": "entry-\([0-9]*\)".*/\1/p'
}
leader_number=$(leader)
diskless_number=4
points=$(mktemp -d)
started=3
for count in 6 12 24 48; do
	while [ "$started" -lt "$count" ]; do
		started=$((started + 1))
		fleet_diskless "$started"
	done
	sleep 4
	before_leader="$(peer_bytes "$leader_number") $(cpu_ticks "${FLEET_PID[$leader_number]}")"
	before_diskless="$(peer_bytes "$diskless_number") $(cpu_ticks "${FLEET_PID[$diskless_number]}")"
	sleep 10
	after_leader="$(peer_bytes "$leader_number") $(cpu_ticks "${FLEET_PID[$leader_number]}")"
	after_diskless="$(peer_bytes "$diskless_number") $(cpu_ticks "${FLEET_PID[$diskless_number]}")"
	for role in leader diskless; do
		before=before_$role
		after=after_$role
		set -- ${!before} ${!after}
		echo "$count $((($3 - $1) / 10))" >>"$points/bytes_$role"
		echo "$count $(awk "BEGIN { print ($4 - $2) / 10 }")" \
			>>"$points/cpu_$role"
	done
done
fit leader_bytes_by_instances instances "bytes a second" \
	<"$points/bytes_leader"
fit leader_cpu_by_instances instances "percent of a core" <"$points/cpu_leader"
fit entry_bytes_by_instances instances "bytes a second" \
	<"$points/bytes_diskless"
fit entry_cpu_by_instances instances "percent of a core" \
	<"$points/cpu_diskless"
rm -rf "$points"
