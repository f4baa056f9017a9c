#!/usr/bin/env bash
# Changes of a service through camphorctl under faults. Only generation N of
# the service has the host gN.example, so a call to that host shows whether a
# VM has generation N in effect. Guards against an accepted change that a
# routing VM applies late, an accepted change that is reverted, and a VM that
# routes while it is cut off from its peers and the store.
set -u
. "$(dirname "$0")/lib.sh"
lib_init "$1"

bound_ms=7000 # limit of guarantee G10
observe_s=1
generation=1

# write_next_generation I: writes the next generation through VM I; sets
# $accepted_ms and returns the status of camphorctl.
write_next_generation() {
	local rc
	generation=$((generation + 1))
	service_json u "u.example,g$generation.example" u >"$dir/gen.json"
	ctl_vm "$1" set service/u "$dir/gen.json" \
	    --version "$(object_version config/service/u)" >"$dir/set.log" 2>&1
	rc=$?
	accepted_ms=$(now_ms)
	return $rc
}

# Whether no VM routes by an earlier generation. A VM that does not route or
# does not run counts as up to date.
no_vm_is_stale() {
	local i
	for i in 1 2 3 4 5; do
		[ "$(vm_status "$i" "g$generation.example")" = 404 ] && return 1
	done
	return 0
}

# Prints the number of VMs that route by the newest generation.
count_vms_in_effect() {
	local i n=0
	for i in 1 2 3 4 5; do
		[ "$(vm_status "$i" "g$generation.example")" = 200 ] && n=$((n + 1))
	done
	echo "$n"
}

# check_change TEXT MIN: checks that the change is in effect in time on at
# least MIN VMs and is not reverted.
check_change() {
	local text=$1 end n
	wait_until 20 no_vm_is_stale
	check "$text: in effect, ms" $(($(now_ms) - accepted_ms)) -le "$bound_ms"
	check "$text: VMs that route by it" "$(count_vms_in_effect)" -ge "$2"
	end=$((SECONDS + observe_s))
	n=0
	while [ "$SECONDS" -le "$end" ]; do
		no_vm_is_stale || n=$((n + 1))
	done
	check "$text: times it was reverted" "$n" -eq 0
}

vm5_refuses() {
	[ "$(vm_status 5 u.example)" = 503 ]
}

all_route() {
	[ "$(count_vms_in_effect)" -eq 5 ]
}

start_store || exit 1
start_relay store "0=127.0.0.1:$store_port" || exit 1
start_upstreams u 3 || exit 1
put_zones
put_service u u.example,g1.example u
VM_STORE_PORT[5]=${RELAY_PORTS[store]% }
start_vms 5 || exit 1
wait_until 30 all_route
check "all VMs route" $? -eq 0

store_admin '{"lose_answers":1}'
write_next_generation 1
check "change with a lost answer is accepted" $? -eq 0
check_change "lost answer" 5

write_next_generation 2
check "change is accepted" $? -eq 0
kill_vm 2
check_change "writer killed" 4
start_vm 2
wait_until 30 all_route
check "a new VM has the newest configuration" $? -eq 0

relay_set store '{"mode":"cut"}'
write_next_generation 3
check "change is accepted, vm5 cut off from the store" $? -eq 0
store_admin '{"outage":true}'
check_change "store down" 5

# VM 5 is cut off from its peers by freezing all other VMs. A relay cannot do
# it, because VMs connect to each other by the addresses that they announce.
for i in 1 2 3 4; do freeze_vm "$i"; done
wait_until 20 vm5_refuses
check "a VM without peers and store stops routing" $? -eq 0
for i in 1 2 3 4; do resume_vm "$i"; done
store_admin '{"outage":false}'
relay_set store '{"mode":"heal"}'
wait_until 30 all_route
check "all VMs route again" $? -eq 0
lib_finish
