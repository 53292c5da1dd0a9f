#!/bin/bash
# Case 12: see claim.txt. TROUBLE=0: the configs only
# change a time-out, and no machine stands still.
HERE=$(cd "$(dirname "$0")" && pwd)
. "$HERE/../kit-3/fleet.sh"
: >"$HERE/record.txt"
CLOUD=$NET.61:8466
start_fleet
for g in 1 2; do
	start "svc$g" "$STANDIN" --group="svc$g" --listen="$NET.6$g:5001" \
		--promote="$NET.6$g:8466" --announce="$CORES" --lag-ms=60
done
EDGE_PIDS=
for n in 1 2 3 4 5 6 7 8; do
	pid=PID_edge_$n
	EDGE_PIDS=$EDGE_PIDS${!pid},
done
"$TOOLS/client-12" "$CORES" "$EDGES" "${EDGE_PIDS%,}" \
	"$NET.61:5001,$NET.62:5001" 8 "$TROUBLE" "$TMP/client.txt" ||
	cannot_run "the deployment does not serve"
for g in 1 2; do
	pid=PID_svc$g
	kill -TERM "${!pid}"
	wait "${!pid}" 2>/dev/null
	sed -n "s/^commit \([0-9]* s\)/run svc$g commit \1/p" \
		"$TMP/svc$g.log" >>"$HERE/record.txt"
done
cat "$TMP/client.txt" >>"$HERE/record.txt"
# A read that returns a value which its session wrote earlier in the same
# service as its last acknowledged write ran on a log without that write.
awk '
$1 == "run" { in_service[$5 "=" $6] = $2; next }
$3 == "after" && $5 == "read" && $6 != "failed" {
	reads++
	if ($6 == $4)
		next
	wrote = in_service[$2 "=" $4]
	saw = in_service[$2 "=" $6]
	if (wrote != "" && wrote == saw) {
		broken++
		print "STALE: " $0 " (both values in " wrote ")"
	} else {
		other++
	}
}
END {
	print reads " reads after an acknowledged write, " broken + 0 \
		" lacked it in its service, " other + 0 " ran in the other service"
	exit broken ? 1 : 0
}' "$HERE/record.txt" >"$TMP/verdict"
RC=$?
cat "$TMP/verdict" >>"$HERE/record.txt"
tail -n 12 "$TMP/verdict"
exit $RC
