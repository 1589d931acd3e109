# Sourced by the cases. Starts processes around nodes, and ends exactly those when the case ends.
# A case sets `here` (its folder) before. Everything else lies in a temporary folder.
set -u
root=$(cd "$here/../.." && pwd)
cd "$root"
standin=$root/bin/standin
record=$here/record.txt
work=$(mktemp -d)
pids=()
: >"$record"

cannot_run() {
	echo "cannot run: $*" | tee -a "$record"
	exit 2
}

end_all() {
	local pid
	for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
	wait 2>/dev/null
	rm -rf "$work"
}
trap end_all EXIT

# note TEXT: a line in the record, with the time.
note() { echo "$(date +%H:%M:%S.%3N) $*" >>"$record"; }

# start NAME COMMAND...: starts a process in the background; its pid is in $started, its output in $work/NAME.log.
start() {
	local name=$1
	shift
	"$@" >"$work/$name.log" 2>&1 &
	started=$!
	pids+=("$started")
}

# start_node NAME: starts a node with the command of the deploy file, and waits until it is ready.
start_node() {
	local name=$1 command address
	command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
	[ -n "$command" ] || cannot_run "no run command in the deploy file"
	mkdir -p "$work/tmp-$name"
	address=$(sed -n 's/.*"listen": "\(.*\)".*/\1/p' "$work/$name.json" | head -1)
	start "$name" env NODE_CONFIG="$work/$name.json" NODE_NAME="$name" NODE_LISTEN="$address" TMPDIR="$work/tmp-$name" \
		/bin/sh -c "$command"
	"$standin" ready --address "$address" || cannot_run "$name is not ready: $(tail -3 "$work/$name.log")"
}

# check_running PID...: the case cannot run if one of these processes has ended.
check_running() {
	local pid
	for pid in "$@"; do kill -0 "$pid" 2>/dev/null || cannot_run "a process ended: $(tail -qn 3 "$work"/*.log)"; done
}

[ -x "$standin" ] && [ -x bin/fawnglade ] || cannot_run "build first: the deploy file's build, then review/build.sh"
