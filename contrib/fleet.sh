# Functions to run a fleet on loopback addresses; sourced by demo.sh and the
# scripts in bench/.

FLEET_DIR=$(mktemp -d)
FLEET_NET="127.$((RANDOM % 200 + 20)).$((RANDOM % 200 + 1))"
FLEET_DOMAINS=(bole piassa kazanchis arat-kilo)
declare -A FLEET_PID=()
declare -A FLEET_ENDPOINT_PID=()

now_ms() {
	date +%s%3N
}

ops() {
	build/lacewingspan --admin "$FLEET_ADMIN" --who demo "$@"
}

fleet_cleanup() {
	local pid
	for pid in "${FLEET_PID[@]}" "${FLEET_ENDPOINT_PID[@]}"; do
		kill -9 "$pid" 2>/dev/null
		wait "$pid" 2>/dev/null
	done
	rm -rf "$FLEET_DIR"
}
trap fleet_cleanup EXIT

# fleet_instance NUMBER: starts or restarts an instance with a data directory
fleet_instance() {
	local i=$1
	build/lacewingspand --name "entry-$i" \
		--failure-domain "${FLEET_DOMAINS[$(((i - 1) % 4))]}" \
		--listen "$FLEET_NET.$i:7400" --peer-listen "$FLEET_NET.$i:7401" \
		--admin-listen "$FLEET_NET.$i:7402" --control "$FLEET_CONTROL" \
		--data "$FLEET_DIR/entry-$i" >>"$FLEET_DIR/entry-$i.log" 2>&1 &
	FLEET_PID[$i]=$!
}

# fleet_endpoint GROUP NUMBER: starts an endpoint
fleet_endpoint() {
	build/standin --group "$1" --id "$1-e$2" \
		--failure-domain "${FLEET_DOMAINS[$((($2 - 1) % 4))]}" \
		--announce "$FLEET_ADMIN" --data "$FLEET_DIR/$1-e$2.db" \
		>>"$FLEET_DIR/$1-e$2.log" 2>&1 &
	FLEET_ENDPOINT_PID[$1-e$2]=$!
}

# fleet_start COUNT: starts COUNT instances, bootstraps the cluster and starts
# three endpoints of one group
fleet_start() {
	local i
	FLEET_ADMIN=""
	FLEET_CONTROL=""
	for ((i = 1; i <= $1; i++)); do
		FLEET_ADMIN+="${FLEET_ADMIN:+,}$FLEET_NET.$i:7402"
		FLEET_CONTROL+="${FLEET_CONTROL:+,}$FLEET_NET.$i:7401"
	done
	for ((i = 1; i <= $1; i++)); do
		fleet_instance "$i"
	done
	sleep 0.3
	ops bootstrap >/dev/null || return 1
	for i in 1 2 3; do
		fleet_endpoint bookings-1 "$i"
	done
}

# fleet_primary GROUP: prints the id of its primary
fleet_primary() {
	ops --json status | tr -d '\n ' |
		sed -n "s/.*\"name\":\"$1\",\"primary\":\"\([^\"]*\)\".*/\1/p"
}

# fleet_wait_primary GROUP: waits up to about 10 s for a primary
fleet_wait_primary() {
	local i
	for ((i = 0; i < 100; i++)); do
		[ -n "$(fleet_primary "$1")" ] && return 0
		sleep 0.1
	done
	return 1
}

# fleet_call INSTANCE METHOD PATH KEY BODY [SESSION]: sends a request; sets
# status, answer and session
fleet_call() {
	local args=(-s --http2-prior-knowledge -X "$2" -D "$FLEET_DIR/headers"
		-o "$FLEET_DIR/body" --max-time 10)
	[ -n "$4" ] && args+=(-H "lws-key: $4")
	[ -n "$5" ] && args+=(-d "$5")
	[ -n "${6:-}" ] && args+=(-H "lws-session: $6")
	curl "${args[@]}" "http://$FLEET_NET.$1:7400$3"
	status=$(sed -n 's/^HTTP\/2 \([0-9]*\).*/\1/p' "$FLEET_DIR/headers")
	session=$(sed -n 's/^lws-session: \([^\r]*\).*/\1/p' "$FLEET_DIR/headers")
	answer=$(cat "$FLEET_DIR/body" 2>/dev/null)
}

# value_of: prints the field "value" of the last answer
value_of() {
	echo "$answer" | sed -n 's/.*"value":\([^,}]*\).*/\1/p'
}

# error_of: prints the field "error" of the last answer
error_of() {
	echo "$answer" | sed -n 's/.*"error":"\([^"]*\)".*/\1/p'
}

fleet_kill_endpoint() {
	kill -9 "${FLEET_ENDPOINT_PID[$1]}"
	wait "${FLEET_ENDPOINT_PID[$1]}" 2>/dev/null
	unset "FLEET_ENDPOINT_PID[$1]"
}

# fleet_stop: stops all instances gracefully; fails if one exits with an error
fleet_stop() {
	local i rc=0
	for i in "${!FLEET_PID[@]}"; do
		kill -TERM "${FLEET_PID[$i]}"
	done
	for i in "${!FLEET_PID[@]}"; do
		wait "${FLEET_PID[$i]}" || rc=1
		unset "FLEET_PID[$i]"
	done
	return $rc
}

# fleet_diskless NUMBER: starts an instance without a data directory
fleet_diskless() {
	local i=$1
	build/lacewingspand --name "entry-$i" \
		--failure-domain "${FLEET_DOMAINS[$(((i - 1) % 4))]}" \
		--listen "$FLEET_NET.$i:7400" --admin-listen "$FLEET_NET.$i:7402" \
		--control "$FLEET_CONTROL" >>"$FLEET_DIR/entry-$i.log" 2>&1 &
	FLEET_PID[$i]=$!
}
