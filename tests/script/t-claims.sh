#!/usr/bin/env bash
# Keyed payments under faults: every key is sent at the same time by two callers
# through different VMs, while the VM that owns most partitions is killed, one
# is frozen for 6 s or the store is down for 5 s, drawn one and two at a time.
# Guards against a key that runs twice, a key told not-run that has run, and
# partitions that do not recover.
set -u
. "$(dirname "$0")/lib.sh"
lib_init "$1"

rate=100
rounds=2
freeze_s=6
outage_s=5

kill_owner() {
	local i
	i=$(partition_owner) || return 0
	if [ -z "$i" ] || [ -z "${VM_PID[$i]:-}" ] || [ "$i" = "$frozen" ]; then
		i=$((RANDOM % 5 + 1))
		[ "$i" = "$frozen" ] && i=$((i % 5 + 1))
	fi
	echo "kill vm$i"
	killed=$i
	kill_vm "$i"
}

freeze_one() {
	frozen=$((RANDOM % 5 + 1))
	[ "$frozen" = "$killed" ] && frozen=$((frozen % 5 + 1))
	echo "freeze vm$frozen"
	freeze_vm "$frozen"
}

stop_store() {
	echo "store down"
	store_admin '{"outage":true}'
}

# Injects $1 faults together, then undoes them.
round() {
	local faults=(kill_owner freeze_one stop_store) n=$1 i
	killed=
	frozen=
	while [ "$n" -gt 0 ]; do
		i=$((RANDOM % ${#faults[@]}))
		"${faults[$i]}"
		unset 'faults[i]'
		faults=("${faults[@]}")
		n=$((n - 1))
	done
	sleep "$outage_s"
	store_admin '{"outage":false}'
	if [ -n "$frozen" ]; then
		sleep $((freeze_s - outage_s))
		resume_vm "$frozen"
	fi
	[ -n "$killed" ] && start_vm "$killed"
}

new_keys_succeed() {
	local label=healed-$RANDOM$RANDOM
	run_load "$label" --closed 8 --seconds 20 --calls 100
	healed=$(load_get "$label" all ok)
	[ "$healed" -eq 100 ]
}

start_store || exit 1
start_upstreams u 6 --service-us 3000 || exit 1
put_zones
put_service u u.example u
start_vms 5 || exit 1
wait_until 30 partitions_owned
judge "all partitions have an owner" $? -eq 0
kinds='{"pay":{"weight":1,"timeout_ms":2000}}'
plan_order='3 4 5 1 2' write_plan "$dir/plan2.json" u:u.example:1
second=$plan
write_plan "$dir/plan.json" u:u.example:1
race="--rate $rate --seconds $((rounds * freeze_s)) --ids race$seed"
notrun=$dir/not-run-2.txt plan=$second start_load second $race
second_pid=$load_pid
start_load first $race
for i in $(seq "$rounds"); do
	sleep 1
	round "$i"
done
end_load
load_pid=$second_pid
end_load
sort "$notrun" >"$dir/first.txt"
sort "$dir/not-run-2.txt" | comm -12 - "$dir/first.txt" >"$notrun"
echo "$(load_sum ok 'first|second') payments ok, $(load_sum unknown 'first|second') unknown, $(wc -l <"$notrun") told not-run to both callers"
judge "payments that succeeded" "$(load_sum ok 'first|second')" -gt "$rate"
judge "payments run twice" "$(ups_sum duplicates)" -eq 0
judge "payments told not-run that ran" "$(not_run_but_ran)" -eq 0
judge "wrong answers" "$(load_sum wrong)" -eq 0
healed=0
wait_until 30 new_keys_succeed
judge "new keys succeed after healing" "$healed" -eq 100
lib_finish
