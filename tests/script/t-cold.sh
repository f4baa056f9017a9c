#!/usr/bin/env bash
# Upstreams that turn cold: one between two runs, one and a whole zone under
# load. Guards against load above what a cold upstream bears (G2) and against
# probes above their budget (G1).
set -u
. "$(dirname "$0")/lib.sh"
lib_init "$1"

probe_budget=2 # a second for each upstream
notice_s=2     # a change without warning shows in a response or a probe
ramp='{"ramp_ms":6000,"mode":"slow"}'
ups_n=9

# Overloads of each upstream until now, in the order of their indexes.
overloads() {
	curl -sf "http://127.0.0.1:${UPS_ADMIN[u]}/stats" |
	    jget $(seq -f 'upstreams.%g.cold_overload' 0 $((ups_n - 1))) | paste -sd' '
}

start_store || exit 1
start_upstreams u "$ups_n" --service-us 4000 || exit 1
put_zones
put_limits '"cold_ramp_s":6'
put_service u u.example u
start_vms 5 || exit 1
wait_until 30 partitions_owned
kinds='{"lookup":{"weight":1,"timeout_ms":1000}}'
write_plan "$dir/plan.json" u:u.example:1
from_ms=$(now_ms)
probes=$(ups_sum probes)

one=$((RANDOM % ups_n))
# Not in zone c: a cold upstream that starts its warm-up again shows no change.
other=$((RANDOM % (ups_n / 3) * 3 + RANDOM % 2))
[ "$other" = "$one" ] && other=$(((other + 3) % ups_n))
echo "cold first: upstream $one, then $other, then 2, 5 and 8"
ups_set u "{\"upstream\":$one,\"cold\":$ramp}"
sleep "$notice_s"
run_load known --rate 1200 --seconds 3
judge "overload of an upstream known to be cold" "$(ups_sum cold_overload)" -eq 0

start_load turns --rate 1200 --seconds 10
sleep 0.5
ups_set u "{\"upstream\":$other,\"cold\":$ramp}"
sleep "$notice_s"
before=$(ups_sum cold_overload)
echo "overload of one upstream before it was noticed: $before"
sleep 1
judge "overload of one upstream after ${notice_s} s" $(($(ups_sum cold_overload) - before)) -eq 0
ups_set u "{\"upstream\":$(zone_indexes u c),\"cold\":$ramp}"
sleep "$notice_s"
before=$(ups_sum cold_overload)
echo "overload of a zone before it was noticed: $before in all ($(overloads))"
end_load
echo "overload in the end: $(overloads)"
judge "overload of a zone after ${notice_s} s" $(($(ups_sum cold_overload) - before)) -eq 0
judge "calls that succeeded" "$(load_sum ok)" -gt 5000
judge "wrong answers" "$(load_sum wrong)" -eq 0
took_ms=$(($(now_ms) - from_ms))
judge "probes of all upstreams" $(($(ups_sum probes) - probes)) \
    -le $((probe_budget * ups_n * (took_ms + 1000) / 1000))
# Probes that are due at the ends of a second can arrive in the same one.
judge "probes of one upstream in one second" "$(ups_max probe_peak)" -le $((probe_budget + 1))
lib_finish
