#!/bin/bash
# Case 13: see claim.txt. TROUBLE=0: the second config leaves the key where it
# is.
HERE=$(cd "$(dirname "$0")" && pwd)
. "$HERE/../kit-3/fleet.sh"
: >"$HERE/record.txt"
CLOUD=$NET.61:8466
start_fleet
start svc1 "$TOOLS/backend" svc1 "$NET.61" 5001 "$CORES" 20 "$TMP/runs.txt"
"$TOOLS/client-13" "$CORES" "$EDGES" "$TROUBLE" "$TMP/client.txt" ||
	cannot_run "the deployment does not serve"
grep -v 'id probe' "$TMP/runs.txt" >>"$HERE/record.txt"
cat "$TMP/client.txt" >>"$HERE/record.txt"
# Statements that were sent later than revoke_ms (5 s) after the
# acknowledgement and ran for the tenant from which the key was taken.
awk '
$3 == "sent:" && $2 == "config" && $1 != "" { }
$2 == "config" && $4 == "sent:" { holder[$3] = $8 }
$2 == "config" && $4 == "acknowledged" { acknowledged = $1; now_holds = holder[$3] }
$2 == "run" { ran[$7] = $5; next }
$3 == "sent" { sent[$2] = $1 }
END {
	for (id in ran) {
		if (!(id in sent))
			continue
		total++
		if (ran[id] != now_holds && sent[id] > acknowledged + 5) {
			broken++
			printf "UNASKED: %s, sent %.1f s after the " \
				"acknowledgement, ran for %s; the key belongs to %s\n", \
				id, sent[id] - acknowledged, ran[id], now_holds
		}
	}
	print total + 0 " statements ran, " broken + 0 \
		" of them for a tenant that had not held the key for over 5 s"
	exit broken ? 1 : 0
}' "$HERE/record.txt" >"$TMP/verdict"
RC=$?
cat "$TMP/verdict" >>"$HERE/record.txt"
tail -n 8 "$TMP/verdict"
exit $RC
