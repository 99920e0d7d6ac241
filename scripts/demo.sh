#!/usr/bin/env bash
# Builds cottonspool, starts stand-ins and three entry instances, serves a long generation and a service call through them,
# prints the state and stops all processes.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh | tail -1
source scripts/processes.sh

# Starts an entry instance; arguments: name, data hall, quoted address of a seed peer. Sets HTTP and PEER to its addresses.
instance() {
	local NAME=$1
	cat >"$DIR/$NAME.toml" <<-TOML
		[instance]
		name = "$NAME"
		hall = "$2"
		http_port = 0
		peer_port = 0
		[peers]
		seeds = [$3]
		[platform]
		url = "http://127.0.0.1:$PLATFORM"
		[operator]
		key_sha256 = "$(printf operators-key | sha256sum | cut -d' ' -f1)"
		[stop]
		notice_ms = 300
	TOML
	start "$NAME" build/cottonspool serve --settings "$DIR/$NAME.toml"
	INSTANCES+=("$PID")
	HTTP=$(address "$NAME")
	PEER=$(sed -n 's/.*event=started.* peers=\([0-9.:]*\).*/\1/p' "$DIR/$NAME.out")
}

INSTANCES=()
start platform build/cottonspool-standin platform
PLATFORM=$(port platform)
start engine-1 build/cottonspool-standin engine --name engine-1
ENGINE1=$(port engine-1)
start engine-2 build/cottonspool-standin engine --name engine-2
ENGINE2=$(port engine-2)
start receipts build/cottonspool-standin service
SERVICE=$(port receipts)
instance hall-a-1 hall-a "" && FIRST=$HTTP SEED="\"$PEER\""
instance hall-a-2 hall-a "$SEED" && SECOND=$HTTP
instance hall-b-1 hall-b "$SEED" && THIRD=$HTTP
export COTTONSPOOL_OPERATOR_KEY=operators-key
SERVERS="http://$FIRST,http://$SECOND,http://$THIRD"

cat >"$DIR/first.toml" <<TOML
author = "demo"
note = "first configuration"
[account.kiosk]
key_sha256 = "$(printf kiosk-key | sha256sum | cut -d' ' -f1)"
[model.small]
[target.engine-1]
address = "127.0.0.1:$ENGINE1"
hall = "hall-a"
serves = ["small"]
[target.engine-2]
address = "127.0.0.1:$ENGINE2"
hall = "hall-b"
serves = ["small"]
[target.receipts-1]
kind = "service"
address = "127.0.0.1:$SERVICE"
hall = "hall-a"
serves = ["receipts"]
TOML
echo "== configuration"
build/cottonspool check "$DIR/first.toml"
build/cottonspool apply "$DIR/first.toml" --server "$SERVERS" --wait_s 10
sleep 1
echo "== one long generation, streamed through $SECOND (first and last lines)"
curl -sS -N -H "Authorization: Bearer kiosk-key" -H "Cottonspool-Class: stream" \
	-d '{"model":"small","prompt":"a long summary, tokens=200","stream":true}' "http://$SECOND/v1/completions" >"$DIR/stream.txt"
head -2 "$DIR/stream.txt"
tail -4 "$DIR/stream.txt"
echo "== one service call through $THIRD"
curl -sS -D "$DIR/head.txt" -H "Authorization: Bearer kiosk-key" -H "Cottonspool-Repeatable: no" -H "Idempotency-Key: receipt-1" \
	-d '{"pay":1}' "http://$THIRD/services/receipts/issue"
echo
grep -i '^cottonspool' "$DIR/head.txt"
echo "== state"
build/cottonspool status --server "$SERVERS"
echo "== decisions for this request"
REQUEST=$(sed -n 's/^cottonspool-request: \([^\r]*\).*/\1/Ip' "$DIR/head.txt")
build/cottonspool explain "$REQUEST" --server "$SERVERS"
echo "== stop"
kill -TERM "${INSTANCES[@]}"
for PID in "${INSTANCES[@]}"; do wait "$PID"; done
echo "all three instances stopped with exit code 0"
TOKENS=$(grep -c '^id: ' "$DIR/stream.txt")
[ "$TOKENS" = 200 ] && echo "demo: all 200 tokens came once and in order"
