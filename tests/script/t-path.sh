#!/usr/bin/env bash
# End-to-end test with real processes: store, two upstreams and one daemon.
# Guards against a build that does not serve requests.
set -eu
build=$1
dir=$(mktemp -d)
pids=()
cleanup() {
	for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
	wait 2>/dev/null || true
	rm -rf "$dir"
}
trap cleanup EXIT

# start_program NAME COMMAND...: starts a program and waits for its "port N"
# line; sets $port.
start_program() {
	local out=$dir/$1.out
	shift
	"$@" >"$out" 2>&1 &
	pids+=($!)
	for _ in $(seq 200); do
		port=$(sed -n 's/^port //p' "$out")
		[ -n "$port" ] && return 0
		sleep 0.05
	done
	cat "$out"
	return 1
}

start_program store "$build/standin/store"
store_port=$port
start_program up1 "$build/standin/upstream" 0 500
u1_port=$port
start_program up2 "$build/standin/upstream" 0 500
u2_port=$port
read -r listen_port peer_port ops_port < <("$build/standin/freeport" 3)
cat >"$dir/svc.json" <<JSON
{"name":"menu","hosts":["menu.example"],"change":"c1",
 "routes":[{"prefix":"/","idempotent":true,"timeout_ms":2000},
           {"prefix":"/pay","idempotent":false,"timeout_ms":2000}],
 "slots":6,"slo":{"target":0.999,"latency_ms":100},
 "versions":[{"name":"v1","share":1000}],
 "upstreams":[
  {"id":"u1","addr":"127.0.0.1:$u1_port","zone":"a","version":"v1","state":"in"},
  {"id":"u2","addr":"127.0.0.1:$u2_port","zone":"b","version":"v1","state":"in"}],
 "move":null}
JSON
curl -sf -X PUT -H 'If-Match: 0' --data-binary "@$dir/svc.json" \
    "http://127.0.0.1:$store_port/objects/config/service/menu" >/dev/null
curl -sf -o /dev/null --data-binary \
    '{"vms":[{"id":"vm1","zone":"a","peer":"127.0.0.1:'"$peer_port"'","state":"live"}]}' \
    "http://127.0.0.1:$store_port/admin"
cat >"$dir/vm1.json" <<JSON
{"id":"vm1","zone":"a","listen":{"addr":"127.0.0.1","port":$listen_port},
 "peer":{"addr":"127.0.0.1","port":$peer_port},"ops":{"addr":"127.0.0.1","port":$ops_port,"token":"path"},
 "platform":{"addr":"127.0.0.1","port":$store_port}}
JSON
"$build/camphorhollowd" --check-settings "$dir/vm1.json"
"$build/camphorhollowd" --settings "$dir/vm1.json" >"$dir/vm1.log" 2>&1 &
daemon=$!
pids+=($daemon)
# Calls are refused with 503 until the VM has read its configuration.
for _ in $(seq 200); do
	code=$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$listen_port/") || true
	[ "$code" = 404 ] && break
	sleep 0.05
done
for i in $(seq 20); do
	answer=$(curl -sf -H 'Host: menu.example' -H "X-Request-Id: r$i" \
	    "http://127.0.0.1:$listen_port/items?q=$i")
	case $answer in *"\"id\":\"r$i\""*) ;; *) echo "wrong answer: $answer"; exit 1 ;; esac
done
head -c 300000 /dev/zero >"$dir/body"
answer=$(curl -sf -H 'Host: menu.example' --data-binary "@$dir/body" \
    "http://127.0.0.1:$listen_port/upload")
case $answer in *'"body":300000'*) ;; *) echo "wrong answer: $answer"; exit 1 ;; esac
code=$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$listen_port/")
[ "$code" = 404 ]
kill -TERM "$daemon"
wait "$daemon"
echo "all requests were served end to end"
