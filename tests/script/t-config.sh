#!/usr/bin/env bash
# Changes of a service through camphorctl under faults. Generation N of the
# service answers to the host gN.example only, so each VM shows which one it has
# in effect. Guards against an accepted change that is late on a VM that routes,
# that is taken back, and against a VM that routes while cut off.
set -u
. "$(dirname "$0")/lib.sh"
lib_init "$1"

bound_ms=7000 # of guarantee G10
watch_s=1
gen=1

# set_next I: writes the next generation through VM I.
set_next() {
	local rc
	gen=$((gen + 1))
	service_json u "u.example,g$gen.example" u >"$dir/gen.json"
	ctl_vm "$1" set service/u "$dir/gen.json" \
	    --version "$(object_version config/service/u)" >"$dir/set.log" 2>&1
	rc=$?
	accepted_ms=$(now_ms)
	return $rc
}

# Whether no VM routes by an earlier generation. A VM that does not route or is
# not there counts as right.
none_is_old() {
	local i
	for i in 1 2 3 4 5; do
		[ "$(vm_status "$i" "g$gen.example")" = 404 ] && return 1
	done
	return 0
}

# Number of VMs that route by the newest generation.
in_effect() {
	local i n=0
	for i in 1 2 3 4 5; do
		[ "$(vm_status "$i" "g$gen.example")" = 200 ] && n=$((n + 1))
	done
	echo "$n"
}

# judge_change TEXT MIN: in effect in time, on at least MIN VMs, and it stays.
judge_change() {
	local text=$1 end n
	wait_until 20 none_is_old
	judge "$text: in effect, ms" $(($(now_ms) - accepted_ms)) -le "$bound_ms"
	judge "$text: VMs that route by it" "$(in_effect)" -ge "$2"
	end=$((SECONDS + watch_s))
	n=0
	while [ "$SECONDS" -le "$end" ]; do
		none_is_old || n=$((n + 1))
	done
	judge "$text: times it was taken back" "$n" -eq 0
}

vm5_refuses() {
	[ "$(vm_status 5 u.example)" = 503 ]
}

all_route() {
	[ "$(in_effect)" -eq 5 ]
}

start_store || exit 1
start_relay store "0=127.0.0.1:$store" || exit 1
start_upstreams u 3 || exit 1
put_zones
put_service u u.example,g1.example u
VM_STORE[5]=${RELAY_PORTS[store]% }
start_vms 5 || exit 1
wait_until 30 all_route
judge "all VMs route" $? -eq 0

store_admin '{"lose_answers":1}'
set_next 1
judge "change with a lost answer is accepted" $? -eq 0
judge_change "lost answer" 5

set_next 2
judge "change is accepted" $? -eq 0
kill_vm 2
judge_change "writer killed" 4
start_vm 2
wait_until 30 all_route
judge "a new VM has the newest configuration" $? -eq 0

relay_set store '{"mode":"cut"}'
set_next 3
judge "change past a VM without store is accepted" $? -eq 0
store_admin '{"outage":true}'
judge_change "store down" 5

# Peers are cut off by freezing all the others: they connect to each other by
# the addresses that they announce, not through a relay.
for i in 1 2 3 4; do freeze_vm "$i"; done
wait_until 20 vm5_refuses
judge "a VM without peers and store stops routing" $? -eq 0
for i in 1 2 3 4; do resume_vm "$i"; done
store_admin '{"outage":false}'
relay_set store '{"mode":"heal"}'
wait_until 30 all_route
judge "all VMs route again" $? -eq 0
lib_finish
