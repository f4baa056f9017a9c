#!/usr/bin/env bash
# Tests of the stand-ins (store, upstreams, relay) and of the load tool. Guards
# against tests that pass because a fault was not injected or not detected.
set -u
. "$(dirname "$0")/lib.sh"
lib_init "$1"

http_status() {
	curl -s -o /dev/null -w '%{http_code}' "$@"
}

start_store || exit 1
url=http://127.0.0.1:$store_port

# Store: conditional writes, lost answers, stale reads, a lagging VM list,
# watches and rate limits.
put_object config/x '{"v":1}'
check "stale version is refused" "$(http_status -X PUT -H 'If-Match: 7' -d 1 "$url/objects/config/x")" -eq 412
store_admin '{"lose_answers":1}'
check "lost answer closes the connection" "$(http_status -X PUT -H 'If-Match: 1' -d '{"v":2}' "$url/objects/config/x")" -eq 0
check "lost write took effect" "$(curl -s "$url/objects/config/x" | jget value.v)" -eq 2
store_admin '{"stale_read_ms":60000}'
put_object config/x '{"v":3}'
check "stale read returns the previous version" "$(curl -s "$url/objects/config/x" | jget value.v)" -eq 2
store_admin '{"stale_read_ms":0}'
check "stale reads end" "$(curl -s "$url/objects/config/x" | jget value.v)" -eq 3
store_admin '{"vms":[{"id":"a"}],"vms_lag_ms":0}'
store_admin '{"vms":[{"id":"a"},{"id":"b"}],"vms_lag_ms":60000}'
check "lagging VM list is the oldest one" "$(curl -s "$url/vms" | jget '#')" -eq 0
store_admin '{"vms_lag_ms":0}'
check "VM list is up to date" "$(curl -s "$url/vms" | jget '#')" -eq 2
curl -s "$url/watch?prefix=config/&since=$(store_stat revision)&wait_ms=30000" >"$dir/watch" &
pids+=($!)
watcher=$!
sleep 0.3
put_object config/y '{"v":4}'
wait "$watcher"
untrack_child "$watcher"
check "watch returns only the changed object" "$(jget -f "$dir/watch" 'objects.#')" -eq 1
check "wake-ups are counted" "$(store_stat watch_wakeups)" -eq 1
since=$(store_stat revision)
watchers=()
for i in $(seq 19); do
	curl -s -o "$dir/watch$i" "$url/watch?prefix=config/&since=$since&wait_ms=30000" &
	pids+=($!)
	watchers+=($!)
done
all_watches_wait() { [ "$(store_stat kinds.watch)" -eq 20 ]; }
wait_until 30 all_watches_wait
put_object config/y '{"v":5}'
for w in "${watchers[@]}"; do
	wait "$w"
	untrack_child "$w"
done
check "19 watches wake at once" "$(store_stat watch_wakeups)" -eq 20
put_object intent/i1 '{"v":1}'
put_object report/r1 '{"v":1}'
check "list takes several prefixes" "$(curl -s "$url/objects?prefix=config/&prefix=intent/" | jget 'objects.#')" -eq 3
check "watch takes several prefixes" "$(curl -s "$url/watch?prefix=intent/&prefix=report/&since=0&wait_ms=0" | jget 'objects.#')" -eq 2
store_admin '{"writes_per_s":0.001}'
for i in 1 2 3 4 5; do
	http_status -X PUT -H 'If-Match: 999' -d 1 "$url/objects/config/x" >>"$dir/codes"
	echo >>"$dir/codes"
done
check "writes above the rate get 429" "$(grep -c 429 "$dir/codes")" -eq 4
store_admin '{"writes_per_s":0,"outage":true}'
check "outage" "$(http_status "$url/vms")" -eq 503
store_admin '{"outage":false}'

# Upstreams and load tool, without the daemon.
start_upstreams u 3 --service-us 500 || exit 1
write_plan "$dir/plan.json" u:u.example:1
run_load clean --direct --rate 2000 --seconds 60 --calls 2000
check "clean run: every answer correct" "$(load_get clean all ok)" -eq 2000
check "clean run: no duplicates" "$(upstream_sum duplicates)" -eq 0

upstream_set u '{"upstream":1,"corrupt_answers":7}'
run_load corrupt --direct --closed 4 --seconds 60 --calls 200
check "each corrupted answer is detected" "$(load_get corrupt all wrong)" -eq 7

kinds='{"pay":{"weight":1}}'
write_plan "$dir/plan.json" u:u.example:1
upstream_set u '{"upstream":0,"drop_answers":20}'
run_load lost --direct --closed 4 --seconds 60 --calls 400
check "lost answers are retried" "$(load_get lost all retries)" -eq 20
check "each retry is executed again and counted" "$(upstream_sum duplicates)" -eq 20
before=$(upstream_sum duplicates)
run_load same --direct --rate 400 --seconds 60 --calls 100 --ids same
run_load again --direct --rate 400 --seconds 60 --calls 100 --ids same
check "runs with the same ids send the same keys" $(($(upstream_sum duplicates) - before)) -eq 100
upstream_set u '{"queue_limit":0,"slots":0}'
run_load shed --direct --closed 4 --seconds 60 --calls 20 --tries 2
check "shed payments are answered not-run" "$(load_get shed all keys_not_run)" -eq 20
check "shed payments were not executed" "$(count_false_not_run)" -eq 0
upstream_set u '{"queue_limit":null,"slots":null}'
key=$(head -n 1 "$not_run_file")
curl -s -o /dev/null -H "Idempotency-Key: $key" -d x "http://127.0.0.1:${UPSTREAM_PORTS[u]%% *}/pay"
check "an executed key is counted" "$(count_false_not_run)" -eq 1

first_port=${UPSTREAM_PORTS[u]%% *}
check "request past its deadline is refused" "$(http_status -H 'X-Deadline-Ms: 1' "http://127.0.0.1:$first_port/lookup")" -eq 504
upstream_set u '{"upstream":0,"service_us":60000000,"dist":"const"}'
curl -s -m 2 "http://127.0.0.1:$first_port/lookup" >/dev/null
request_cancelled() { [ "$(upstream_stat u upstreams.0.cancelled_running)" -eq 1 ]; }
wait_until 30 request_cancelled
check "closed connection cancels the request" "$(upstream_stat u upstreams.0.cancelled_running)" -eq 1
check "cancelled request frees its slot" "$(upstream_stat u upstreams.0.in_service)" -eq 0
upstream_set u '{"upstream":0,"service_us":1000,"drain":{"grace_ms":0}}'
check "draining upstream still serves" "$(http_status "http://127.0.0.1:$first_port/lookup")" -eq 200
check "its new request is counted as late" "$(upstream_stat u upstreams.0.late)" -eq 1
upstream_set u '{"upstream":0,"drain":null,"cold":{"ramp_ms":600000,"mode":"fail"},"service_us":2000000}'
for i in 1 2 3; do
	curl -s -o /dev/null "http://127.0.0.1:$first_port/lookup" &
	pids+=($!)
	last=$!
done
wait "$last"
check "requests above the cold-start limit are counted" "$(upstream_stat u upstreams.0.cold_overload)" -ge 1
upstream_set u '{"upstream":0,"cold":null,"bad":{"mode":"fail","prefix":"/refresh"}}'
check "bad version fails on its route" "$(http_status "http://127.0.0.1:$first_port/refresh/1")" -eq 500
upstream_set u '{"upstream":0,"bad":{"mode":"fail","after":2}}'
codes=$(for i in 1 2 3 4; do http_status "http://127.0.0.1:$first_port/lookup/1"; done)
check "bad version fails after its first calls" "$codes" -eq 200200500500
upstream_set u '{"upstream":0,"bad":{"mode":"fail","above":1}}'
check "bad version succeeds without load" "$(http_status "http://127.0.0.1:$first_port/lookup/1")" -eq 200
upstream_set u '{"upstream":0,"bad":{"mode":"fail","prefix":"/refresh"}}'
check "bad version succeeds on other routes" "$(http_status "http://127.0.0.1:$first_port/lookup/1")" -eq 200

# Relay: a cut truncates downloads and refuses connections until it is healed.
upstream_set u '{"bad":null,"service_us":1000}'
start_relay r "0=127.0.0.1:$first_port" || exit 1
UPSTREAM_PORTS[r]=${RELAY_PORTS[r]}
kinds='{"download":{"weight":1,"bytes":4000000,"chunk":4000,"pace_us":10000}}'
write_plan "$dir/plan.json" r:u.example:1
start_load cut --direct --closed 5 --seconds 60 --calls 5
download_started() { [ "$(curl -sf "http://127.0.0.1:${RELAY_ADMIN[r]}/stats" | jget relays.0.bytes_back)" -gt 100000 ]; }
wait_until 20 download_started
relay_set r '{"mode":"cut"}'
wait_load
check "cut downloads are partial, not wrong" "$(load_get cut download partial)" -eq 5
check "a cut relay refuses connections" "$(http_status "http://127.0.0.1:${RELAY_PORTS[r]% }/lookup")" -eq 0
relay_set r '{"mode":"blackhole"}'
check "a relay in mode blackhole does not answer" "$(http_status -m 0.5 "http://127.0.0.1:${RELAY_PORTS[r]% }/lookup")" -eq 0
relay_set r '{"mode":"heal","to_ms":100,"back_ms":100}'
check "a healed relay forwards" "$(http_status "http://127.0.0.1:${RELAY_PORTS[r]% }/lookup")" -eq 200
took_s=$(curl -s -o /dev/null -w '%{time_total}' "http://127.0.0.1:${RELAY_PORTS[r]% }/lookup")
check "a relay delays both directions, ms" "$(awk -v t="$took_s" 'BEGIN { printf "%d", t * 1000 }')" -ge 200
lib_finish
