#!/usr/bin/env bash
# Three VMs with a store of objects count the requests of two workspaces. The VM
# that reports the usage is killed, and the next one is paused. Then the store
# and the receiver of the reports have faults.
#
# Guards against reports that differ from what the upstream ran, a window that
# is reported twice with different figures, two holders under one token, and
# counts of the surviving VMs that are lost with the holder.
. "$(dirname "$0")/lib.sh"
lib_init "$1"

vms=3
requests=40
limit_s=90

spawn objects "$standin/objects"
wait_until 20 has_line objects '^port ' || exit 1
store_port=$(sed -n 's/^port //p' "$dir/objects.log")
upstream_port=$(sed -n 's/^upstream //p' "$dir/objects.log")

# put_store_object KIND NAME SPEC
put_store_object() {
	post_json "http://127.0.0.1:$store_port/v1/objects/$1" \
	    "{\"metadata\":{\"name\":\"$2\"},\"spec\":$3}"
}

vm_settings() {
	local i=$1
	cat >"$dir/vm$i.json" <<-JSON
		{"id":"vm$i","zone":"${VM_ZONE[$i]}","seed":$((seed + i)),
		 "listen":{"address":"127.0.0.1:${VM_PORT[$i]}"},
		 "peer":{"addr":"127.0.0.1","port":${VM_PEER[$i]},"link_mbps":100},
		 "ops":{"address":"127.0.0.1:${VM_OPS[$i]}"},
		 "platform":{"address":"127.0.0.1:$store_port","api":"objects"},
		 "usage":{"address":"127.0.0.1:$store_port","window":"1s",
		  "due":"10s","lease":"3000ms"},
		 "workers":1,"retry":{"ratio":0.2,"burst":60}}
	JSON
}

start_usage_vms() {
	local i ports
	read -ra ports < <("$standin/freeport" $((3 * vms)))
	for i in $(seq "$vms"); do
		VM_ZONE[$i]=${zones[$((i - 1))]}
		VM_PORT[$i]=${ports[$((3 * i - 3))]}
		VM_PEER[$i]=${ports[$((3 * i - 2))]}
		VM_OPS[$i]=${ports[$((3 * i - 1))]}
		start_vm "$i"
	done
	for i in $(seq "$vms"); do
		wait_vm "$i" "$limit_s" || return 1
	done
}

# metric I NAME: prints a metric of VM I.
metric() {
	curl -sf -m 2 "http://127.0.0.1:${VM_OPS[$1]}/metrics" |
	    sed -n "s/^camphorhollow_$2 //p"
}

# metric_sum NAME: prints the sum of a metric over the running VMs.
metric_sum() {
	local i total=0
	for i in $(other_vms 0); do
		total=$((total + $(metric "$i" "$1")))
	done
	echo "$total"
}

# send_requests I WORKSPACE N: sends N requests through VM I with the key of a
# workspace.
send_requests() {
	curl -s -o /dev/null -m 30 -H 'Host: a.example' \
	    -H "Authorization: Bearer key-of-$2" \
	    "http://127.0.0.1:${VM_PORT[$1]}/x?[1-$3]"
}

served() {
	curl -sf "http://127.0.0.1:$upstream_port/ctl/counts" | jget "$1"
}

reports() {
	curl -sf "http://127.0.0.1:$store_port/usage" | jget "$1"
}

# reported WORKSPACE: prints the sum of its counts in the accepted reports.
reported() {
	reports "accepted.*.$1"
}

# is_reported MIN_PERCENT: whether the accepted reports have this part of the
# requests that the upstream ran.
is_reported() {
	local w
	for w in blue red; do
		[ $((100 * $(reported $w))) -ge $(($1 * $(served $w))) ] ||
		    return 1
	done
}

# find_holder: sets $holder to the only VM that is the holder.
find_holder() {
	local i found=
	for i in "${!VM_PID[@]}"; do
		[ -n "${VM_PID[$i]}" ] || continue
		[ "$(metric "$i" usage_holder)" = 1 ] || continue
		[ -z "$found" ] || return 1
		found=$i
	done
	[ -n "$found" ] && holder=$found
}

put_store_object config main '{"version":1,"routes":{
 "r":{"host":"a.example","pathPrefix":"/","kind":"unsafe","timeout":"3000ms",
  "service":"s"}},
 "services":{"s":{"healthPath":"/health"}},"limits":{},
 "tenants":{"blue":{"apiKeys":["key-of-blue"]},"red":{"apiKeys":["key-of-red"]}}}' ||
    exit 1
put_store_object servers u1 "{\"service\":\"s\",
 \"address\":\"127.0.0.1:$upstream_port\",\"zone\":\"a\",\"version\":\"v1\",
 \"slots\":16,\"state\":\"ready\",\"warmupLeft\":\"0ms\",\"sequence\":1,
 \"born\":1700000000000}" || exit 1
start_usage_vms || exit 1

for i in $(seq "$vms"); do
	send_requests "$i" blue "$requests"
	send_requests "$i" red $((requests / 2))
done
check "requests of blue that the upstream ran" "$(served blue)" -eq \
    $((vms * requests))
wait_until "$limit_s" is_reported 95
check "percent of blue that was reported" \
    $((100 * $(reported blue) / $(served blue))) -ge 95
wait_until "$limit_s" find_holder
check "VM that has the duty" "${holder:-0}" -gt 0
[ "${holder:-0}" -gt 0 ] || lib_finish
first=$holder

# start_senders VM...: sends requests through the VMs until stop_senders.
start_senders() {
	local i
	rm -f "$dir/stop"
	senders=()
	for i in "$@"; do
		(for _ in $(seq 2000); do
			[ -e "$dir/stop" ] && break
			send_requests "$i" blue 2
			send_requests "$i" red 1
			sleep 0.05
		done) &
		senders+=($!)
	done
}

stop_senders() {
	touch "$dir/stop"
	wait "${senders[@]}"
}

# wait_served N: waits until the upstream ran N more requests of blue.
wait_served() {
	local before
	before=$(served blue)
	wait_until "$limit_s" eval "[ \"\$(served blue)\" -gt $((before + $1)) ]"
}

# other_vms I: prints the running VMs except VM I.
other_vms() {
	local i
	for i in "${!VM_PID[@]}"; do
		[ -n "${VM_PID[$i]}" ] && [ "$i" != "$1" ] && echo "$i"
	done
}

# The other VMs take requests while the holder is lost.
start_senders $(other_vms "$first")
wait_served 20
kill_vm "$first"
wait_until "$limit_s" find_holder
check "after a kill, another VM has the duty" "$holder" -ne "$first"
wait_served 20
stop_senders
wait_until "$limit_s" is_reported 100

second=$holder
start_senders $(other_vms "$second")
wait_served 20
freeze_vm "$second"
wait_until "$limit_s" find_holder
check "during a pause, another VM has the duty" "$holder" -ne "$second"
wait_served 20
resume_vm "$second"
wait_served 20
wait_until "$limit_s" eval '[ "$(metric "$second" usage_holder)" = 0 ]'
check "the paused VM knows that it lost the duty" \
    "$(metric "$second" usage_holder)" -eq 0

# set_fault NAME=VALUE METRIC: injects a fault until it shows in a metric.
set_fault() {
	local before
	before=$(metric_sum "$2")
	curl -sf -o /dev/null "http://127.0.0.1:$upstream_port/ctl/faults?$1"
	wait_until "$limit_s" eval "[ \"\$(metric_sum $2)\" -gt $before ]"
	check "fault $1 shows in $2" "$(metric_sum "$2")" -gt "$before"
	curl -sf -o /dev/null "http://127.0.0.1:$upstream_port/ctl/faults"
}

set_fault report_status=429 usage_reports_failed_total
set_fault drop_report_responses=1 usage_reports_failed_total
set_fault drop_write_responses=1 store_errors_total
set_fault status=503 store_errors_total
wait_served 20
stop_senders
wait_until "$limit_s" is_reported 100

for w in blue red; do
	echo "$w: the upstream ran $(served $w), reported $(reported $w)"
	check "percent of $w that was reported" \
	    $((100 * $(reported $w) / $(served $w))) -ge 95
	check "$w: reported, and at most what was run" "$(reported $w)" -le \
	    "$(served $w)"
done
check "requests without workspace" "$(served none || echo 0)" -eq 0
check "windows with different figures, tokens with two holders" \
    "$(reports violations)" -eq 0
check "token after two takeovers" "$(reports token)" -ge 3
check "windows reported" "$(reports accepted.#)" -ge 6
check "reports accepted by the metrics of both VMs" \
    "$(metric_sum usage_reports_accepted_total)" -ge 1
# Each takeover and each further window costs one write; the others are the
# entries of the VMs and repeated calls.
check "writes of both VMs to the store" "$(metric_sum store_writes_total)" \
    -le $(($(metric_sum usage_reports_accepted_total) + 3 * $(reports token) +
	$(metric_sum store_errors_total)))
wait_until "$limit_s" eval \
    '[ "$(metric "$holder" usage_token)" = "$(reports token)" ]'
check "token in the metrics" "$(metric "$holder" usage_token)" -eq \
    "$(reports token)"
lib_finish
