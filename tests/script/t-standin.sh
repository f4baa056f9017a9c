#!/usr/bin/env bash
# The stand-ins and the load tool themselves. Guards against a run that passes
# because a fault was not injected or not noticed.
set -u
. "$(dirname "$0")/lib.sh"
lib_init "$1"

status() {
	curl -s -o /dev/null -w '%{http_code}' "$@"
}

start_store || exit 1
url=http://127.0.0.1:$store

# Store: conditional writes, lost answers, stale reads, lagging list, limits.
put_object config/x '{"v":1}'
judge "stale version is refused" "$(status -X PUT -H 'If-Match: 7' -d 1 "$url/objects/config/x")" -eq 412
store_admin '{"lose_answers":1}'
judge "lost answer closes the connection" "$(status -X PUT -H 'If-Match: 1' -d '{"v":2}' "$url/objects/config/x")" -eq 0
judge "lost write took effect" "$(curl -s "$url/objects/config/x" | jget value.v)" -eq 2
store_admin '{"stale_read_ms":60000}'
put_object config/x '{"v":3}'
judge "stale read shows the version before" "$(curl -s "$url/objects/config/x" | jget value.v)" -eq 2
store_admin '{"stale_read_ms":0}'
judge "stale reads end" "$(curl -s "$url/objects/config/x" | jget value.v)" -eq 3
store_admin '{"vms":[{"id":"a"}],"vms_lag_ms":0}'
store_admin '{"vms":[{"id":"a"},{"id":"b"}],"vms_lag_ms":60000}'
judge "lagging VM list is the oldest" "$(curl -s "$url/vms" | jget '#')" -eq 0
store_admin '{"vms_lag_ms":0}'
judge "VM list is up to date" "$(curl -s "$url/vms" | jget '#')" -eq 2
curl -s "$url/watch?prefix=config/&since=$(store_stat revision)&wait_ms=30000" >"$dir/watch" &
pids+=($!)
watcher=$!
sleep 0.3
put_object config/y '{"v":4}'
wait "$watcher"
forget "$watcher"
judge "watch wakes with the change alone" "$(jget -f "$dir/watch" 'objects.#')" -eq 1
judge "wake-ups are counted" "$(store_stat watch_wakeups)" -eq 1
since=$(store_stat revision)
watchers=()
for i in $(seq 19); do
	curl -s -o "$dir/watch$i" "$url/watch?prefix=config/&since=$since&wait_ms=30000" &
	pids+=($!)
	watchers+=($!)
done
all_wait() { [ "$(store_stat kinds.watch)" -eq 20 ]; }
wait_until 30 all_wait
put_object config/y '{"v":5}'
for w in "${watchers[@]}"; do
	wait "$w"
	forget "$w"
done
judge "19 watches wake at once" "$(store_stat watch_wakeups)" -eq 20
put_object intent/i1 '{"v":1}'
put_object report/r1 '{"v":1}'
judge "list takes several prefixes" "$(curl -s "$url/objects?prefix=config/&prefix=intent/" | jget 'objects.#')" -eq 3
judge "watch takes several prefixes" "$(curl -s "$url/watch?prefix=intent/&prefix=report/&since=0&wait_ms=0" | jget 'objects.#')" -eq 2
store_admin '{"writes_per_s":0.001}'
for i in 1 2 3 4 5; do
	status -X PUT -H 'If-Match: 999' -d 1 "$url/objects/config/x" >>"$dir/codes"
	echo >>"$dir/codes"
done
judge "writes above the rate get 429" "$(grep -c 429 "$dir/codes")" -eq 4
store_admin '{"writes_per_s":0,"outage":true}'
judge "outage" "$(status "$url/vms")" -eq 503
store_admin '{"outage":false}'

# Upstreams and load tool, without the daemon.
start_upstreams u 3 --service-us 500 || exit 1
write_plan "$dir/plan.json" u:u.example:1
run_load clean --direct --rate 2000 --seconds 60 --calls 2000
judge "clean run: every answer right" "$(load_get clean all ok)" -eq 2000
judge "clean run: no duplicates" "$(ups_sum duplicates)" -eq 0

ups_set u '{"upstream":1,"corrupt_answers":7}'
run_load corrupt --direct --closed 4 --seconds 60 --calls 200
judge "each wrong byte is noticed" "$(load_get corrupt all wrong)" -eq 7

kinds='{"pay":{"weight":1}}'
write_plan "$dir/plan.json" u:u.example:1
ups_set u '{"upstream":0,"drop_answers":20}'
run_load lost --direct --closed 4 --seconds 60 --calls 400
judge "lost answers are retried" "$(load_get lost all retries)" -eq 20
judge "each retry ran again and is counted" "$(ups_sum duplicates)" -eq 20
before=$(ups_sum duplicates)
run_load same --direct --rate 400 --seconds 60 --calls 100 --ids same
run_load again --direct --rate 400 --seconds 60 --calls 100 --ids same
judge "runs with the same ids send the same keys" $(($(ups_sum duplicates) - before)) -eq 100
ups_set u '{"queue_limit":0,"slots":0}'
run_load shed --direct --closed 4 --seconds 60 --calls 20 --tries 2
judge "shed payments are told not-run" "$(load_get shed all keys_not_run)" -eq 20
judge "they have not run" "$(not_run_but_ran)" -eq 0
ups_set u '{"queue_limit":null,"slots":null}'
key=$(head -n 1 "$notrun")
curl -s -o /dev/null -H "Idempotency-Key: $key" -d x "http://127.0.0.1:${UPS_PORTS[u]%% *}/pay"
judge "a key that did run is found" "$(not_run_but_ran)" -eq 1

first=${UPS_PORTS[u]%% *}
judge "late request is refused" "$(status -H 'X-Deadline-Ms: 1' "http://127.0.0.1:$first/lookup")" -eq 504
ups_set u '{"upstream":0,"service_us":60000000,"dist":"const"}'
curl -s -m 2 "http://127.0.0.1:$first/lookup" >/dev/null
cancelled() { [ "$(ups_stat u upstreams.0.cancelled_running)" -eq 1 ]; }
wait_until 30 cancelled
judge "closed connection cancels" "$(ups_stat u upstreams.0.cancelled_running)" -eq 1
judge "cancelled request gives its slot back" "$(ups_stat u upstreams.0.in_service)" -eq 0
ups_set u '{"upstream":0,"service_us":1000,"drain":{"grace_ms":0}}'
judge "draining upstream serves on" "$(status "http://127.0.0.1:$first/lookup")" -eq 200
judge "its new work is counted as late" "$(ups_stat u upstreams.0.late)" -eq 1
ups_set u '{"upstream":0,"drain":null,"cold":{"ramp_ms":600000,"mode":"fail"},"service_us":2000000}'
for i in 1 2 3; do
	curl -s -o /dev/null "http://127.0.0.1:$first/lookup" &
	pids+=($!)
	last=$!
done
wait "$last"
judge "load above one while cold is counted" "$(ups_stat u upstreams.0.cold_overload)" -ge 1
ups_set u '{"upstream":0,"cold":null,"bad":{"mode":"fail","prefix":"/refresh"}}'
judge "bad version fails on its route" "$(status "http://127.0.0.1:$first/refresh/1")" -eq 500
ups_set u '{"upstream":0,"bad":{"mode":"fail","after":2}}'
codes=$(for i in 1 2 3 4; do status "http://127.0.0.1:$first/lookup/1"; done)
judge "bad version fails after its first calls" "$codes" -eq 200200500500
ups_set u '{"upstream":0,"bad":{"mode":"fail","above":1}}'
judge "bad version is good without load" "$(status "http://127.0.0.1:$first/lookup/1")" -eq 200
ups_set u '{"upstream":0,"bad":{"mode":"fail","prefix":"/refresh"}}'
judge "and on no other" "$(status "http://127.0.0.1:$first/lookup/1")" -eq 200

# Relay: a cut breaks downloads visibly, and refuses connections until healed.
ups_set u '{"bad":null,"service_us":1000}'
start_relay r "0=127.0.0.1:$first" || exit 1
UPS_PORTS[r]=${RELAY_PORTS[r]}
kinds='{"download":{"weight":1,"bytes":4000000,"chunk":4000,"pace_us":10000}}'
write_plan "$dir/plan.json" r:u.example:1
start_load cut --direct --closed 5 --seconds 60 --calls 5
flowing() { [ "$(curl -sf "http://127.0.0.1:${RELAY_ADMIN[r]}/stats" | jget relays.0.bytes_back)" -gt 100000 ]; }
wait_until 20 flowing
relay_set r '{"mode":"cut"}'
end_load
judge "cut downloads are partial, not wrong" "$(load_get cut download partial)" -eq 5
judge "a cut relay refuses" "$(status "http://127.0.0.1:${RELAY_PORTS[r]% }/lookup")" -eq 0
relay_set r '{"mode":"blackhole"}'
judge "a black hole does not answer" "$(status -m 0.5 "http://127.0.0.1:${RELAY_PORTS[r]% }/lookup")" -eq 0
relay_set r '{"mode":"heal","to_ms":100,"back_ms":100}'
judge "a healed relay forwards" "$(status "http://127.0.0.1:${RELAY_PORTS[r]% }/lookup")" -eq 200
took=$(curl -s -o /dev/null -w '%{time_total}' "http://127.0.0.1:${RELAY_PORTS[r]% }/lookup")
judge "and delays both ways, in ms" "$(awk -v t="$took" 'BEGIN { printf "%d", t * 1000 }')" -ge 200
lib_finish
