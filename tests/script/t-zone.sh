#!/usr/bin/env bash
# Drain and return of a zone. One VM is frozen from before the drain until
# after the time limit of the drain; another starts while the store is down.
# Guards against a VM that sends requests to the drained zone because its
# configuration is stale (G3).
set -u
. "$(dirname "$0")/lib.sh"
lib_init "$1"

bound_ms=5000 # limit for "a few seconds" in guarantee G3
zone=b

# Prints the number of requests that the upstreams of the zone received.
zone_received() {
	local i total=0 v
	for i in $(zone_indexes u "$zone" | tr -d '[]' | tr , ' '); do
		v=$(upstream_stat u "upstreams.$i.received") || return 1
		total=$((total + v))
	done
	echo "$total"
}

zone_receives_requests() {
	[ "$(zone_received)" -gt "$received_before" ]
}

start_store || exit 1
start_upstreams u 9 --service-us 3000 || exit 1
put_zones
put_service u u.example u
start_vms 6 || exit 1
kinds='{"lookup":{"weight":3,"timeout_ms":1000},"pay":{"weight":1,"timeout_ms":1000}}'
write_plan "$dir/plan.json" u:u.example:1
kill_vm 6
late_vm=6
frozen=$((RANDOM % 4 + 2))
start_load drain --rate 300 --seconds 11
sleep 1
freeze_vm "$frozen"
declare_and_confirm drain-zone "$zone"
check "drain is confirmed" $? -eq 0
mark_zone "$zone" "{\"grace_ms\":$bound_ms}"
wait_until 10 intent_in_state "$intent" done
check "drain is in effect" $? -eq 0
store_admin '{"outage":true}'
start_vm "$late_vm"
sleep 6
resume_vm "$frozen"
sleep 2
store_admin '{"outage":false}'
wait_load
check "requests received by the zone after $bound_ms ms" "$(upstream_sum late)" -eq 0
check "calls that succeeded" "$(load_get drain all ok)" -gt 1000
check "wrong answers" "$(load_sum wrong)" -eq 0
check "payments executed twice" "$(upstream_sum duplicates)" -eq 0
mark_zone "$zone" null
wait_vm "$late_vm" 30
check "the VM started during the outage routes" $? -eq 0
received_before=$(zone_received)
declare_and_confirm return-zone "$zone"
check "return is confirmed" $? -eq 0
wait_until 10 intent_in_state "$intent" done
check "return is in effect" $? -eq 0
run_load return --rate 300 --seconds 2
wait_until 1 zone_receives_requests
check "the zone receives requests again" $? -eq 0
lib_finish
