# Functions of the scripts of the third review. A script sets HERE (its folder)
# and sources this file; all files are in $TMP, all processes in $PIDS.
set -u
ROOT=$(cd "$HERE/../.." && pwd)
DAEMON=$ROOT/target/lacewingspand
STANDIN=$ROOT/target/platform_standin
TOOLS=$ROOT/target/review-3
TROUBLE=${TROUBLE:-1}
TMP=$(mktemp -d) || exit 2
# Loopback addresses that no other run uses at the same time.
NET=127.$((20 + $$ % 200)).$((1 + $$ / 200 % 250))
PIDS=

cannot_run() {
	echo "cannot run: $*" | tee -a "$HERE/record.txt"
	exit 2
}

stop_all() {
	exec 2>/dev/null
	for pid in $PIDS; do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$TMP"
}
trap stop_all EXIT
trap 'exit 2' INT TERM

# start NAME COMMAND...: starts a process; its output goes to $TMP/NAME.log
start() {
	local name=$1
	shift
	"$@" >>"$TMP/$name.log" 2>&1 &
	PIDS="$PIDS $!"
	eval "PID_${name//-/_}=$!"
}

core_ip() { echo "$NET.$((10 + $1))"; }
edge_ip() { echo "$NET.$((30 + $1))"; }

# Settings as the pages show them, with the bounds of the small deployments.
settings() { # NAME IP ZONE BOOTSTRAP ROLE
	cat <<-END
	node_name=$1
	ip=$2
	zone=z$3
	region=r1
	zones.z1=r1
	zones.z2=r1
	zones.z3=r1
	zones.z4=r1
	internal_ports=7560,7575
	seeds=$(core_ip 1):8462,$(core_ip 2):8462,$(core_ip 3):8462
	bootstrap=$4
	heartbeat_ms=1200
	cloud_api.address=$CLOUD
	contracts=base,drain,config,cost,recover,sql,tenants,quota
	fault_tolerance.machines=1
	fault_tolerance.zones=1
	bounds.drain_ms=7000
	bounds.grace_s=6
	bounds.revoke_ms=5000
	bounds.catch_up_s=4
	bounds.quota_window_s=5
	bounds.quota_excess=0.1
	bounds.quota_slack=20
	END
	case $5 in
	core)
		echo "class=core"
		echo "serves=control_plane"
		echo "listen.control=$2:8462"
		echo "data_dir=$TMP/data-$1"
		echo "limits.max_fds=4096"
		;;
	edge)
		echo "class=edge"
		echo "serves=edge"
		echo "listen.front=$2:8465"
		echo "listen.ready=$2:8460"
		echo "limits.max_fds=4200"
		;;
	esac
}

start_core() { # N [BOOTSTRAP]
	settings "core-$1" "$(core_ip "$1")" "$1" "${2:-true}" core \
		>"$TMP/core-$1.conf"
	start "core-$1" env -i PATH="$PATH" \
		LACEWINGSPAN_PEER_ADVERTISE="$(core_ip "$1"):7560" \
		LACEWINGSPAN_CONFIG="$TMP/core-$1.conf" "$DAEMON"
}

start_edge() { # N
	settings "edge-$1" "$(edge_ip "$1")" $((($1 - 1) % 4 + 1)) true edge \
		>"$TMP/edge-$1.conf"
	start "edge-$1" env -i PATH="$PATH" \
		LACEWINGSPAN_CONFIG="$TMP/edge-$1.conf" "$DAEMON"
}

# Four core and eight edge machines in four zones.
start_fleet() {
	local n
	for n in 1 2 3 4; do start_core "$n"; done
	for n in 1 2 3 4 5 6 7 8; do start_edge "$n"; done
	CORES=$(for n in 1 2 3 4; do printf '%s:8462,' "$(core_ip $n)"; done)
	CORES=${CORES%,}
	EDGES=$(for n in 1 2 3 4 5 6 7 8; do printf '%s:8465,' "$(edge_ip $n)"; done)
	EDGES=${EDGES%,}
}
