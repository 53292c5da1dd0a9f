#!/bin/bash
# Case 13: see claim.txt. TROUBLE=0: no replica lags.
HERE=$(cd "$(dirname "$0")" && pwd)
. "$HERE/../kit-3/fleet.sh"
: >"$HERE/record.txt"
CLOUD=$NET.61:8466
start_fleet
for g in 1 2; do
	start "svc$g" "$TOOLS/backend" "svc$g" "$NET.6$g" 5001 "$CORES" 60 \
		"$TMP/runs-$g.txt"
done
"$TOOLS/client-13" "$CORES" "$EDGES" "$PID_svc1" 8 "$TROUBLE" \
	"$TMP/client.txt" || cannot_run "the deployment does not serve"
cat "$TMP/runs-1.txt" "$TMP/runs-2.txt" | grep ' id s' >>"$HERE/record.txt"
cat "$TMP/client.txt" >>"$HERE/record.txt"
# A read that ran in svc1 must return what its session wrote there last.
awk '
$2 == "run" && $9 == "READ" || $2 == "run" && $10 == "READ" || $2 == "run" && $8 == "READ" {
	service[$7] = substr($3, 1, 4)
	next
}
$2 == "run" { next }
$3 == "write" && $5 == "acknowledged" {
	if ($4 ~ /svc1$/)
		last[$2] = $4
	next
}
$3 == "after" && $5 == "read" && $6 ~ /^[0-9]+-svc[12]$|^nothing$/ {
	if (service[$2 "-" $4 "-r"] != "svc1")
		next
	reads++
	if ($6 != last[$2]) {
		broken++
		print "STALE: " $0 ", last acknowledged there " last[$2]
	}
}
END {
	print reads + 0 " reads in svc1, " broken + 0 \
		" lacked the last commit of their session there"
	exit broken ? 1 : 0
}' "$HERE/record.txt" >"$TMP/verdict"
RC=$?
cat "$TMP/verdict" >>"$HERE/record.txt"
tail -n 8 "$TMP/verdict"
exit $RC
