#!/usr/bin/env bash
# Graceful shutdown of one VM after another under load. Guards against a
# planned shutdown that aborts a call (G9) and a shutdown that does not finish.
set -u
. "$(dirname "$0")/lib.sh"
lib_init "$1"

bound_ms=8000 # the longest call of this run takes about a second

start_store || exit 1
start_upstreams u 6 --service-us 5000 || exit 1
put_zones
put_service u u.example u
start_vms 5 || exit 1
wait_until 30 partitions_owned
kinds='{"lookup":{"weight":80,"timeout_ms":3000},"pay":{"weight":40,"timeout_ms":3000},
 "download":{"weight":4,"bytes":200000,"chunk":4000,"pace_us":20000,"timeout_ms":20000},
 "upload":{"weight":2,"body":100000,"timeout_ms":20000}}'
write_plan "$dir/plan.json" u:u.example:1
start_load stop --rate 200 --seconds 18
order=$(seq 5 | awk -v s="$RANDOM" 'BEGIN { srand(s) } { print rand(), $1 }' |
    sort | awk 'NR <= 4 { print $2 }')
for i in $order; do
	sleep 0.5
	put_vms "$i"
	start_ms=$(now_ms)
	stop_vm "$i"
	check "vm$i: exit status" $? -eq 0
	check "vm$i: duration of the shutdown, ms" $(($(now_ms) - start_ms)) -le "$bound_ms"
	put_vms
done
kill -TERM "$load_pid"
wait_load
check "wrong answers" "$(load_sum wrong)" -eq 0
check "truncated answers" "$(load_sum partial)" -eq 0
check "calls without an answer" "$(load_sum closed)" -eq 0
check "calls that timed out" "$(load_sum timeout)" -eq 0
check "payments with unknown outcome" "$(load_sum unknown)" -eq 0
check "payments executed twice" "$(upstream_sum duplicates)" -eq 0
check "payments answered not-run but executed" "$(count_false_not_run)" -eq 0
check "calls that succeeded" "$(load_sum ok)" -gt 500
lib_finish
