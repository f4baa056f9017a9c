#!/usr/bin/env bash
# Tests of the functions in lib.sh that inject faults into entry VMs. Guards
# against tests in which a VM was not really frozen, killed, cut off or
# restarted.
set -u
. "$(dirname "$0")/lib.sh"
lib_init "$1"
start_store || exit 1
start_upstreams u 6 || exit 1
put_zones
put_service u u.example u
start_vms 3 || exit 1
kinds='{"lookup":{"weight":1,"timeout_ms":1000}}'
write_plan "$dir/plan.json" u:u.example:1

run_load all --closed 12 --seconds 60 --calls 600
check "three VMs: every answer correct" "$(load_get all all ok)" -eq 600

freeze_vm 1
vm_answers 1
check "a frozen VM does not answer" $? -ne 0
resume_vm 1
wait_vm 1 30
check "a resumed VM answers" $? -eq 0

kill_vm 2
vm_answers 2
check "a killed VM does not answer" $? -ne 0
run_load killed --closed 12 --seconds 60 --calls 600
check "callers use the other VMs" "$(load_get killed all ok)" -eq 600
start_vm 2
wait_vm 2 30
check "a new process for the killed VM answers" $? -eq 0

before=${VM_PID[3]}
restart_vm 3
check "graceful restart" $? -eq 0
check "the restarted VM is a new process" "${VM_PID[3]}" -ne "$before"
check "VM list shows all as live" "$(curl -s "http://127.0.0.1:$store_port/vms" | grep -o live | wc -l)" -eq 3

start_relay store "0=127.0.0.1:$store_port" || exit 1
relay_set store '{"mode":"cut"}'
stop_vm 1
VM_STORE_PORT[1]=${RELAY_PORTS[store]% }
start_vm 1
wait_until 30 vm_answers 1
code=$(curl -s -o /dev/null -w '%{http_code}' -H 'Host: u.example' "http://127.0.0.1:${VM_PORT[1]}/lookup/1")
check "a VM cut off from the store at start does not route" "$code" -ge 400
lib_finish
