#!/usr/bin/env bash
# Moves of two services to a new version. One version is good; the other starts
# to fail on one route while the store is down. Guards against a bad version
# that keeps receiving traffic, a good move that does not finish, and a wrong
# report (G4).
set -u
. "$(dirname "$0")/lib.sh"
lib_init "$1"

bad_bound_ms=5000 # limit for "shortly" in guarantee G4
upstream_count=12

# Prints the indexes of the upstreams of v2 as a JSON array, numbered as in
# service_json.
v2_indexes() {
	seq 0 $((upstream_count - 1)) | awk 'int($1 / 3) % 2 == 1' | paste -sd, |
	    sed 's/.*/[&]/'
}

# v2_received NAME: prints the number of requests that v2 of a service
# received.
v2_received() {
	local i total=0 v
	for i in $(v2_indexes | tr -d '[]' | tr , ' '); do
		v=$(upstream_stat "$1" "upstreams.$i.received") || return 1
		total=$((total + v))
	done
	echo "$total"
}

bad_v2_fails_requests() {
	[ "$(upstream_stat bad upstreams.*.failed)" -gt 0 ]
}

bad_v2_receives_requests() {
	[ "$(v2_received bad)" -gt 20 ]
}

# Whether v2 of the bad service received no new request within half a second.
bad_v2_receives_none() {
	local before
	before=$(v2_received bad)
	sleep 0.5
	[ "$(v2_received bad)" -eq "$before" ]
}

start_store || exit 1
start_upstreams good "$upstream_count" --service-us 2000 || exit 1
start_upstreams bad "$upstream_count" --service-us 2000 || exit 1
put_zones
put_limits '"max_step_permille":500,"step_min_s":1,"observe_s":2,"margin_s":4,"step_min_calls":5,"route_min_calls":5'
put_service good good.example good 2
put_service bad bad.example bad 2
start_vms 5 || exit 1
kinds='{"lookup":{"weight":2,"timeout_ms":1000},"refresh":{"weight":1,"timeout_ms":1000}}'
write_plan "$dir/plan.json" good:good.example:1 bad:bad.example:1
start_load move --rate 800 --seconds 17
declare_and_confirm move-version good v2 --due-s 60
check "move of the good version is confirmed" $? -eq 0
good_intent=$intent
declare_and_confirm move-version bad v2 --due-s 60
check "move of the bad version is confirmed" $? -eq 0
bad_intent=$intent
wait_until 15 bad_v2_receives_requests
store_admin '{"outage":true}'
upstream_set bad "{\"upstream\":$(v2_indexes),\"bad\":{\"mode\":\"fail\",\"prefix\":\"/refresh\"}}"
wait_until 10 bad_v2_fails_requests
upstream_set bad "{\"upstream\":$(v2_indexes),\"mark\":{\"grace_ms\":$bad_bound_ms}}"
wait_until 10 bad_v2_receives_none
check "the bad version gets no requests, store down" $? -eq 0
store_admin '{"outage":false}'
wait_until 20 intent_in_state "$bad_intent" rolled_back
check "the bad move is rolled back" $? -eq 0
wait_until 30 intent_in_state "$good_intent" done
check "the good move is done" $? -eq 0
wait_load
check "work for the bad version after $bad_bound_ms ms" "$(upstream_sum late)" -eq 0
# The factor is 2000 because the bad service receives half of all calls.
check "failed calls, per 1000 calls of the bad service" \
    $((2000 * $(upstream_stat bad 'upstreams.*.failed') / $(load_get move all ok))) -lt 20
wait_until 10 report_shows_move "$bad_intent" rolled_back
check "the report lists the rolled-back move" $? -eq 0
wait_until 10 report_shows_move "$good_intent" done
check "the report lists the finished move" $? -eq 0
check "wrong answers" "$(load_sum wrong)" -eq 0
lib_finish
