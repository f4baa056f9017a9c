#!/usr/bin/env bash
# Keyed payments under faults. Two callers send every key at the same time
# through different VMs. Meanwhile one random fault is injected, then two
# together, out of: the VM that owns the most partitions is killed, a VM is
# frozen for 6 s, the store is down for 5 s. Guards against a key that is
# executed twice, a key that is answered with not-run but was executed, and
# partitions that do not recover.
set -u
. "$(dirname "$0")/lib.sh"
lib_init "$1"

rate=100
rounds=2
freeze_s=6
outage_s=5

# Kills the VM that owns the most partitions, or a random one if the owner is
# unknown, already down or frozen.
kill_partition_owner() {
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

freeze_random_vm() {
	frozen=$((RANDOM % 5 + 1))
	[ "$frozen" = "$killed" ] && frozen=$((frozen % 5 + 1))
	echo "freeze vm$frozen"
	freeze_vm "$frozen"
}

stop_store() {
	echo "store down"
	store_admin '{"outage":true}'
}

# inject_faults N: injects N different faults together, then ends them.
inject_faults() {
	local faults=(kill_partition_owner freeze_random_vm stop_store) n=$1 i
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

# Whether 100 calls with new keys all succeed; sets $keys_ok to the number
# of calls that succeed.
new_keys_succeed() {
	local label=healed-$RANDOM$RANDOM
	run_load "$label" --closed 8 --seconds 20 --calls 100
	keys_ok=$(load_get "$label" all ok)
	[ "$keys_ok" -eq 100 ]
}

start_store || exit 1
start_upstreams u 6 --service-us 3000 || exit 1
put_zones
put_service u u.example u
start_vms 5 || exit 1
wait_until 30 partitions_owned
check "all partitions have an owner" $? -eq 0
kinds='{"pay":{"weight":1,"timeout_ms":2000}}'
plan_order='3 4 5 1 2' write_plan "$dir/plan2.json" u:u.example:1
second_plan=$plan
write_plan "$dir/plan.json" u:u.example:1
load_args="--rate $rate --seconds $((rounds * freeze_s)) --ids race$seed"
not_run_file=$dir/not-run-2.txt plan=$second_plan start_load second $load_args
second_pid=$load_pid
start_load first $load_args
for i in $(seq "$rounds"); do
	sleep 1
	inject_faults "$i"
done
wait_load
load_pid=$second_pid
wait_load
sort "$not_run_file" >"$dir/first.txt"
sort "$dir/not-run-2.txt" | comm -12 - "$dir/first.txt" >"$not_run_file"
echo "$(load_sum ok 'first|second') payments ok, $(load_sum unknown 'first|second') unknown, $(wc -l <"$not_run_file") answered not-run to both callers"
check "payments that succeeded" "$(load_sum ok 'first|second')" -gt "$rate"
check "payments executed twice" "$(upstream_sum duplicates)" -eq 0
check "payments answered not-run but executed" "$(count_false_not_run)" -eq 0
check "wrong answers" "$(load_sum wrong)" -eq 0
keys_ok=0
wait_until 30 new_keys_succeed
check "new keys that succeed after recovery" "$keys_ok" -eq 100
lib_finish
