#!/usr/bin/env bash
# Runs a small fleet on loopback: fleet.sh up starts it, down stops it, and demo starts it, sends requests, prints
# their outcomes and stops it. RUN is the directory of its files, PORT its first port, SIZE holds flags of standin fleet.
set -eu
cd "$(dirname "$0")/.."
dir=${RUN:-run}
port=${PORT:-7400}
size=${SIZE:-}
export PATH="$PWD/bin:$PATH"
export PIMENTOSEAM_TOKEN=demo-operators-token

address() {
	awk -v n="$1" '$1 == n { print $2 }' "$dir/addresses"
}

down() {
	[ -f "$dir/pids" ] || return 0
	while read -r name pid; do
		kill -CONT "$pid" 2>/dev/null || true
		kill "$pid" 2>/dev/null || true
	done <"$dir/pids"
	for _ in $(seq 100); do
		left=0
		while read -r name pid; do
			if kill -0 "$pid" 2>/dev/null; then left=1; fi
		done <"$dir/pids"
		[ "$left" = 1 ] || break
		sleep 0.1
	done
	if [ "$left" = 1 ]; then
		while read -r name pid; do kill -9 "$pid" 2>/dev/null || true; done <"$dir/pids"
	fi
	rm -f "$dir/pids"
}

up() {
	down
	rm -rf "$dir"
	mkdir -p "$dir/logs"
	# shellcheck disable=SC2086
	standin fleet --dir "$dir" --port "$port" $size
	while read -r name command; do
		# shellcheck disable=SC2086
		nohup $command >"$dir/logs/$name.log" 2>&1 </dev/null &
		echo "$name $!" >>"$dir/pids"
	done <"$dir/procs"
	submit
}

# submit tries up to 50 times to submit the configuration, then checks the status up to 100 times, each time after
# 0.1 s, until no entry lags or is unreachable.
submit() {
	admin=$(address entry-1-admin)
	for _ in $(seq 50); do
		if pimentoseam --admin "$admin" submit "$dir/config.json" --revision 0 2>/dev/null; then break; fi
		sleep 0.1
	done
	for _ in $(seq 100); do
		if pimentoseam --admin "$admin" status 2>/dev/null | awk '/lags|unreachable/ { bad = 1 } END { exit bad }'; then return 0; fi
		sleep 0.1
	done
	echo "fleet: not ready after 10 s" >&2
	return 1
}

demo() {
	trap down EXIT
	up
	sleep "${SETTLE:-2.5}" # Agents answer "unknown" for keys minted before their start or up to 2 s after it.
	entries=$(awk '$1 ~ /^entry-[0-9]+$/ { printf "%s%s", sep, $2; sep = "," }' "$dir/addresses")
	echo "== what each caller got"
	standin load --entries "$entries" --for "${FOR:-5s}"
	echo "== processes"
	pimentoseam --admin "$(address entry-1-admin)" status
	echo "== time line over all processes"
	pimentoseam --admin "$(address entry-2-admin)" events
}

case "${1:-}" in
up) up ;;
down) down ;;
demo) demo ;;
*)
	echo "usage: fleet.sh up|down|demo" >&2
	exit 1
	;;
esac
