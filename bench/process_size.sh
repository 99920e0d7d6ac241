#!/usr/bin/env bash
# Measures memory and CPU time of an idle instance with a given number of accounts and targets in its configuration.
# Usage: bench/process_size.sh [ACCOUNTS] [TARGETS] [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
ACCOUNTS=${1:-47000} TARGETS=${2:-3700} WATCH=${3:-20}
source scripts/processes.sh
start platform build/cottonspool-standin platform
start engine build/cottonspool-standin engine --name engine
serve() {
	printf '[instance]\nname = "%s"\nhall = "hall0"\nhttp_port = 0\npeer_port = 0\n[targets]\nwatched = 2\nreport_poll_ms = 2000\n[callers]\nmax_body_bytes = 100000000\n[platform]\nurl = "http://127.0.0.1:%s"\n[operator]\nkey_sha256 = "%s"\n' \
		"$1" "$(port platform)" "$(printf ops | sha256sum | cut -d' ' -f1)" >"$DIR/$1.toml"
	start "$1" build/cottonspool serve --settings "$DIR/$1.toml"
	HTTP=$(address "$1")
}
memory() { awk '/^VmRSS|^VmHWM/ {printf "%s %.1f MB ", $1, $2 / 1024}' "/proc/$PID/status"; }
cpu() { awk '{print $14 + $15}' "/proc/$PID/stat"; }
serve first
for PART in $(seq 0 1000 $((ACCOUNTS - 1))); do
	{
		printf 'author = "bench"\n'
		awk -v from="$PART" -v all="$ACCOUNTS" 'BEGIN { for (i = from; i < from + 1000 && i < all; i++) printf "[account.account%d]\nkey_sha256 = \"%064x\"\n", i, i + 1 }'
		if [ "$PART" -eq 0 ]; then
			awk -v all="$TARGETS" -v port="$(port engine)" 'BEGIN {
				for (i = 0; i < 28; i++) printf "[model.model%d]\n", i
				for (i = 0; i < all; i++) printf "[target.target%d]\naddress = \"127.0.0.1:%s\"\nhall = \"hall%d\"\nserves = [\"model%d\"]\nwish = \"leaving\"\n", i, port, i % 9, i % 28
			}'
		fi
	} >"$DIR/part.toml"
	build/cottonspool apply "$DIR/part.toml" --server "http://$HTTP" --key ops >/dev/null
done
echo "after $ACCOUNTS accounts and $TARGETS targets in changes: $(memory)"
FROM=$(cpu)
sleep "$WATCH"
echo "idle, ${WATCH} s: $(($(cpu) - FROM)) ticks ($(getconf CLK_TCK) per second); targets watched: $(build/cottonspool status --server "http://$HTTP" --key ops | grep -c 'in flight')"
printf 'author = "bench"\n[account.account1]\nkey_sha256 = "%064x"\n' 999999999 >"$DIR/one.toml"
FROM=$(cpu)
for _ in $(seq 20); do build/cottonspool apply "$DIR/one.toml" --server "http://$HTTP" --key ops >/dev/null; done
echo "20 further changes of one account: $(($(cpu) - FROM)) ticks"
serve second
sleep 5
echo "second instance, loaded from the store: $(memory)"
