# To be sourced by the demo and benchmark scripts: creates a temporary folder and starts processes that end with the script.
DIR=$(mktemp -d)
PIDS=()
finish() {
	kill "${PIDS[@]}" 2>/dev/null || true
	wait 2>/dev/null || true
	rm -rf "$DIR"
}
trap finish EXIT

# Starts a process under a name and waits until it listens. Sets PID to its id.
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

# Prints the port of a stand-in.
port() { sed -n 's/^listening port=//p' "$DIR/$1.out"; }

# Prints the HTTP address of an instance.
address() { sed -n 's/.*event=started.* http=\([0-9.:]*\).*/\1/p' "$DIR/$1.out"; }
