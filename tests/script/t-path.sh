#!/usr/bin/env bash
# The whole path over real processes: store, two upstreams, one daemon. Guards
# against a build in which no request is served end to end.
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

# Starts a program, waits for its "port N" line; sets $port.
start() {
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

start store "$build/standin/store"
store=$port
start up1 "$build/standin/upstream" 0 500
u1=$port
start up2 "$build/standin/upstream" 0 500
u2=$port
read -r p1 p2 p3 < <("$build/standin/freeport" 3)
cat >"$dir/svc.json" <<JSON
{"name":"menu","hosts":["menu.example"],"change":"c1",
 "routes":[{"prefix":"/","idempotent":true,"timeout_ms":2000},
           {"prefix":"/pay","idempotent":false,"timeout_ms":2000}],
 "slots":6,"slo":{"target":0.999,"latency_ms":100},
 "versions":[{"name":"v1","share":1000}],
 "upstreams":[
  {"id":"u1","addr":"127.0.0.1:$u1","zone":"a","version":"v1","state":"in"},
  {"id":"u2","addr":"127.0.0.1:$u2","zone":"b","version":"v1","state":"in"}],
 "move":null}
JSON
curl -sf -X PUT -H 'If-Match: 0' --data-binary "@$dir/svc.json" \
    "http://127.0.0.1:$store/objects/config/service/menu" >/dev/null
curl -sf -o /dev/null --data-binary \
    '{"vms":[{"id":"vm1","zone":"a","peer":"127.0.0.1:'"$p2"'","state":"live"}]}' \
    "http://127.0.0.1:$store/admin"
cat >"$dir/vm1.json" <<JSON
{"id":"vm1","zone":"a","listen":{"addr":"127.0.0.1","port":$p1},
 "peer":{"addr":"127.0.0.1","port":$p2},"ops":{"addr":"127.0.0.1","port":$p3,"token":"path"},
 "platform":{"addr":"127.0.0.1","port":$store}}
JSON
"$build/camphorhollowd" --check-settings "$dir/vm1.json"
"$build/camphorhollowd" --settings "$dir/vm1.json" >"$dir/vm1.log" 2>&1 &
daemon=$!
pids+=($daemon)
# Calls are refused with 503 until the VM has read its configuration.
for _ in $(seq 200); do
	code=$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$p1/") || true
	[ "$code" = 404 ] && break
	sleep 0.05
done
for i in $(seq 20); do
	got=$(curl -sf -H 'Host: menu.example' -H "X-Request-Id: r$i" \
	    "http://127.0.0.1:$p1/items?q=$i")
	case $got in *"\"id\":\"r$i\""*) ;; *) echo "wrong answer: $got"; exit 1 ;; esac
done
head -c 300000 /dev/zero >"$dir/body"
got=$(curl -sf -H 'Host: menu.example' --data-binary "@$dir/body" \
    "http://127.0.0.1:$p1/upload")
case $got in *'"body":300000'*) ;; *) echo "wrong answer: $got"; exit 1 ;; esac
code=$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$p1/")
[ "$code" = 404 ]
kill -TERM "$daemon"
wait "$daemon"
echo "path served"
