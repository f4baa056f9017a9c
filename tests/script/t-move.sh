#!/usr/bin/env bash
# Moves to a new version: a good one, and one that is bad on one route while the
# store is down when that shows. Guards against a bad version that keeps its
# traffic, a good one that does not finish, and a wrong report (G4).
set -u
. "$(dirname "$0")/lib.sh"
lib_init "$1"

bad_bound_ms=5000 # "shortly" of guarantee G4
ups_n=12

# version_indexes: JSON array of the upstreams of v2, as service_json has them.
version_indexes() {
	seq 0 $((ups_n - 1)) | awk 'int($1 / 3) % 2 == 1' | paste -sd, |
	    sed 's/.*/[&]/'
}

version_received() {
	local i total=0 v
	for i in $(version_indexes | tr -d '[]' | tr , ' '); do
		v=$(ups_stat "$1" "upstreams.$i.received") || return 1
		total=$((total + v))
	done
	echo "$total"
}

version_failed() {
	[ "$(ups_stat bad upstreams.*.failed)" -gt 0 ]
}

bad_gets_work() {
	[ "$(version_received bad)" -gt 20 ]
}

# Whether v2 of the bad service got no new request in half a second.
bad_gets_none() {
	local before
	before=$(version_received bad)
	sleep 0.5
	[ "$(version_received bad)" -eq "$before" ]
}

start_store || exit 1
start_upstreams good "$ups_n" --service-us 2000 || exit 1
start_upstreams bad "$ups_n" --service-us 2000 || exit 1
put_zones
put_limits '"max_step_permille":500,"step_min_s":1,"observe_s":2,"margin_s":4,"step_min_calls":5,"route_min_calls":5'
put_service good good.example good 2
put_service bad bad.example bad 2
start_vms 5 || exit 1
kinds='{"lookup":{"weight":2,"timeout_ms":1000},"refresh":{"weight":1,"timeout_ms":1000}}'
write_plan "$dir/plan.json" good:good.example:1 bad:bad.example:1
start_load move --rate 800 --seconds 17
declare_and_confirm move-version good v2 --due-s 60
judge "move of the good version is confirmed" $? -eq 0
good=$intent
declare_and_confirm move-version bad v2 --due-s 60
judge "move of the bad version is confirmed" $? -eq 0
bad=$intent
wait_until 15 bad_gets_work
store_admin '{"outage":true}'
ups_set bad "{\"upstream\":$(version_indexes),\"bad\":{\"mode\":\"fail\",\"prefix\":\"/refresh\"}}"
wait_until 10 version_failed
ups_set bad "{\"upstream\":$(version_indexes),\"mark\":{\"grace_ms\":$bad_bound_ms}}"
wait_until 10 bad_gets_none
judge "the bad version gets no more work, store down" $? -eq 0
store_admin '{"outage":false}'
wait_until 20 intent_is "$bad" rolled_back
judge "the bad move is rolled back" $? -eq 0
wait_until 30 intent_is "$good" done
judge "the good move is done" $? -eq 0
end_load
judge "work for the bad version after $bad_bound_ms ms" "$(ups_sum late)" -eq 0
judge "failed calls, per 1000 calls of the bad service" \
    $((2000 * $(ups_stat bad 'upstreams.*.failed') / $(load_get move all ok))) -lt 20
wait_until 10 report_is "$bad" rolled_back
judge "the report names the rolled back move" $? -eq 0
wait_until 10 report_is "$good" done
judge "the report names the finished move" $? -eq 0
judge "wrong answers" "$(load_sum wrong)" -eq 0
lib_finish
