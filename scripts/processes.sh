# What the demo and the bench scripts share: a folder of their own, and processes that end with the script. To be sourced.
DIR=$(mktemp -d)
PIDS=()
finish() {
	kill "${PIDS[@]}" 2>/dev/null || true
	wait 2>/dev/null || true
	rm -rf "$DIR"
}
trap finish EXIT

# Start a process under a name and wait until it says that it listens. Its id is in PID afterwards.
start() {
	local NAME=$1
	shift
	"$@" >"$DIR/$NAME.out" 2>&1 &
	PID=$!
	PIDS+=("$PID")
	for _ in $(seq 200); do grep -qE 'listening port=|event=started' "$DIR/$NAME.out" && return 0; sleep 0.05; done
	echo "$NAME did not start" >&2
	return 1
}

# The port of a stand-in.
port() { sed -n 's/^listening port=//p' "$DIR/$1.out"; }

# The HTTP address of an instance.
address() { sed -n 's/.*event=started.* http=\([0-9.:]*\).*/\1/p' "$DIR/$1.out"; }
