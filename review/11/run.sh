#!/bin/bash
# Case 11: see claim.txt. TROUBLE=0: the machine that stands still does so, but
# no disk is lost.
HERE=$(cd "$(dirname "$0")" && pwd)
. "$HERE/../kit-3/fleet.sh"
: >"$HERE/record.txt"
ROUNDS=4
# From the freeze of one machine to the loss of the other's disk, then to its
# return, and to the end of the freeze (4 s after its begin).
WIPE_AFTER=2.5
BACK_AFTER=0.7
THAW_AFTER=0.8
RECOVERY=12
CLOUD=$NET.61:8466

say() { echo "$(date +%s.%3N) $*" >>"$TMP/events.txt"; }

# The voters, from the lines of the leaders: core-1, core-2, core-3 at first.
voters() {
	{
		echo '0 voter_added core-1'
		echo '0 voter_added core-2'
		echo '0 voter_added core-3'
		cat "$TMP"/core-*.log |
			sed -n 's/.*"time_ms":\([0-9]*\),.*"event":"\(voter_[a-z]*\)","name":"\([^"]*\)".*/\1 \2 \3/p'
	} | sort -s -n | awk '
		$2 == "voter_added" { n[$3]++ }
		$2 == "voter_removed" { n[$3]-- }
		END { for (v in n) if (n[v] > 0) print v }' | sort
}

leader() {
	cat "$TMP"/core-*.log |
		sed -n 's/.*"time_ms":\([0-9]*\),.*"instance":"\([^"]*\)","event":"lead_taken".*/\1 \2/p' |
		sort -n | tail -n 1 | cut -d ' ' -f 2
}

start_fleet
start svc1 "$TOOLS/backend" svc1 "$NET.61" 5001 "$CORES" 20 "$TMP/runs.txt"
start client "$TOOLS/client-11" "$CORES" "$EDGES" "$TMP/client.txt"
CLIENT=$PID_client
for i in $(seq 60); do
	sleep 0.5
	[ "$(tail -n 40 "$TMP/client.txt" | grep -c ' served$')" -ge 30 ] && break
	[ "$i" = 60 ] && cannot_run "the deployment does not serve"
done
sleep 3

for round in $(seq $ROUNDS); do
	lead=$(leader)
	others=$(voters | grep -v "^$lead\$")
	still=$(echo "$others" | sed -n 1p)
	lost=$(echo "$others" | sed -n 2p)
	[ -n "$lost" ] || cannot_run "there are not three voters: $(voters)"
	say "round $round: leader $lead, $still stands still, $lost loses its disk"
	still_pid=PID_${still//-/_}
	lost_pid=PID_${lost//-/_}
	kill -STOP "${!still_pid}"
	sleep $WIPE_AFTER
	if [ "$TROUBLE" != 0 ]; then
		kill -KILL "${!lost_pid}"
		rm -rf "$TMP/data-$lost"
		say "$lost has lost its disk"
	fi
	sleep $BACK_AFTER
	[ "$TROUBLE" = 0 ] || start_core "${lost#core-}" false
	sleep $THAW_AFTER
	kill -CONT "${!still_pid}"
	say "all machines are back"
	back=$(date +%s.%3N)
	# More than stable_window_ms (4 s), in which the config is read back.
	sleep $((RECOVERY + 6))
	say "round $round ends"
	now=$(date +%s.%3N)
	grep -h -E "acknowledged|read back|served" "$TMP/client.txt" | awk -v from="$(echo "$back $RECOVERY" | awk '{ printf "%.3f", $1 + $2 }')" -v to="$now" '
		$1 < from || $1 > to { next }
		/acknowledged$/ { configs++ }
		/[0-9] read back$/ { back++ }
		/ served$/ { served++ }
		/not served/ { not_served++ }
		END {
			print configs + 0 " configs acknowledged, " back + 0 \
				" times read back, " served + 0 " reads served, " \
				not_served + 0 " not, 12 to 18 s after all are back"
			exit back || served * 3 >= not_served ? 0 : 1
		}' >"$TMP/round"
	RC=$?
	say "$(cat "$TMP/round")"
	[ $RC = 0 ] || break
done
kill -TERM "$CLIENT"
wait "$CLIENT" 2>/dev/null
{
	grep -h -E '"event":"(voter_added|voter_removed|lead_taken|lead_lost)"' "$TMP"/core-*.log |
		sed 's/{"time_ms":\([0-9]*\)\([0-9][0-9][0-9]\),/\1.\2 /'
	cat "$TMP/client.txt" "$TMP/events.txt"
} | sort -s -n >>"$HERE/record.txt"
if [ $RC = 0 ]; then
	VERDICT="served again after each of $round rounds"
else
	VERDICT="CONFIG, RECOVER: not served again in round $round: $(cat "$TMP/round")"
fi
echo "$VERDICT" | tee -a "$HERE/record.txt"
exit $RC
