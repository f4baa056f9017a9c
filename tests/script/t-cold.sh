#!/usr/bin/env bash
# Cold starts of upstreams: one before the load starts, one under load, and a
# whole zone under load. Guards against more load than a cold upstream can take
# (G2) and against probes that exceed their budget (G1).
set -u
. "$(dirname "$0")/lib.sh"
lib_init "$1"

probe_budget=2 # probes per second for each upstream
detection_s=2  # time in which a response or probe shows an unannounced change
ramp='{"ramp_ms":6000,"mode":"slow"}'
upstream_count=9

# Prints the overload counter of each upstream, in the order of their indexes.
overload_counts() {
	curl -sf "http://127.0.0.1:${UPSTREAM_ADMIN[u]}/stats" |
	    jget $(seq -f 'upstreams.%g.cold_overload' 0 $((upstream_count - 1))) | paste -sd' '
}

start_store || exit 1
start_upstreams u "$upstream_count" --service-us 4000 || exit 1
put_zones
put_limits '"cold_ramp_s":6'
put_service u u.example u
start_vms 5 || exit 1
wait_until 30 partitions_owned
kinds='{"lookup":{"weight":1,"timeout_ms":1000}}'
write_plan "$dir/plan.json" u:u.example:1
start_ms=$(now_ms)
probes_before=$(upstream_sum probes)

first_cold=$((RANDOM % upstream_count))
# Not in zone c, which turns cold later: if an upstream that is already cold
# restarts its warm-up, no response or probe shows a change.
second_cold=$((RANDOM % (upstream_count / 3) * 3 + RANDOM % 2))
[ "$second_cold" = "$first_cold" ] && second_cold=$(((second_cold + 3) % upstream_count))
echo "upstreams that turn cold: $first_cold, then $second_cold, then 2, 5 and 8"
upstream_set u "{\"upstream\":$first_cold,\"cold\":$ramp}"
sleep "$detection_s"
run_load known --rate 1200 --seconds 3
check "overload of an upstream known to be cold" "$(upstream_sum cold_overload)" -eq 0

start_load turns --rate 1200 --seconds 10
sleep 0.5
upstream_set u "{\"upstream\":$second_cold,\"cold\":$ramp}"
sleep "$detection_s"
overload_before=$(upstream_sum cold_overload)
echo "overload of one upstream before detection: $overload_before"
sleep 1
check "overload of one upstream after ${detection_s} s" $(($(upstream_sum cold_overload) - overload_before)) -eq 0
upstream_set u "{\"upstream\":$(zone_indexes u c),\"cold\":$ramp}"
sleep "$detection_s"
overload_before=$(upstream_sum cold_overload)
echo "overload of a zone before detection: $overload_before in all ($(overload_counts))"
wait_load
echo "overload at the end: $(overload_counts)"
check "overload of a zone after ${detection_s} s" $(($(upstream_sum cold_overload) - overload_before)) -eq 0
check "calls that succeeded" "$(load_sum ok)" -gt 5000
check "wrong answers" "$(load_sum wrong)" -eq 0
took_ms=$(($(now_ms) - start_ms))
check "probes of all upstreams" $(($(upstream_sum probes) - probes_before)) \
    -le $((probe_budget * upstream_count * (took_ms + 1000) / 1000))
# Probes that are due in adjacent seconds can arrive in the same second.
check "probes of one upstream in one second" "$(upstream_max probe_peak)" -le $((probe_budget + 1))
lib_finish
