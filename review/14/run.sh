#!/bin/bash
# Case 14: see claim.txt. TROUBLE=0: the limit becomes 1 a second, burst 1.
HERE=$(cd "$(dirname "$0")" && pwd)
. "$HERE/../kit-3/fleet.sh"
: >"$HERE/record.txt"
CLOUD=$NET.61:8466
start_fleet
start svc1 "$TOOLS/backend" svc1 "$NET.61" 5001 "$CORES" 20 "$TMP/runs.txt"
"$TOOLS/client-14" "$CORES" "$EDGES" "$TROUBLE" "$TMP/client.txt" ||
	cannot_run "the deployment does not serve"
grep ' id c' "$TMP/runs.txt" >>"$HERE/record.txt"
cat "$TMP/client.txt" >>"$HERE/record.txt"
# Requests that were sent and run in a window of 5 s: (rate_per_s x 5 + burst)
# x 1.1 + 20.
LIMIT=$([ "$TROUBLE" = 0 ] && echo 1 || echo 0)
awk -v limit="$LIMIT" '
$2 == "run" { ran[$7] = 1; next }
$2 == "sent" { n++; id[n] = $3; at[n] = $1; next }
/the limit binds/ { from = $1 }
END {
	allowed = (limit * 5 + limit) * 1.1 + 20
	first = 1
	for (i = 1; i <= n; i++) {
		if (at[i] < from || !(id[i] in ran))
			continue
		count++
		times[count] = at[i]
		while (times[first] < at[i] - 5)
			first++
		if (count - first + 1 > most)
			most = count - first + 1
	}
	print "most in 5 s: " most + 0 ", allowed " allowed
	exit most > allowed ? 1 : 0
}' "$HERE/record.txt" >"$TMP/verdict"
RC=$?
[ $RC = 1 ] && sed -i 's/^/QUOTA: /' "$TMP/verdict"
cat "$TMP/verdict" >>"$HERE/record.txt"
cat "$TMP/verdict"
exit $RC
