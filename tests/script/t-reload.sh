#!/usr/bin/env bash
# Settings that change while the process runs. Guards against a change that has
# no effect, one that needs a signal, and a broken file that stops a VM.
set -u
. "$(dirname "$0")/lib.sh"
lib_init "$1"

notice_ms=8000 # above the 5 s in which a VM hands its partitions over
file=$dir/vm.json

# write_settings MEMBERS: settings of the VM with more members.
write_settings() {
	sed "\$s/}}\$/},$1}/" "$dir/vm1.json" >"$file"
}

reloads() {
	grep -c 'settings reloaded' "$dir/vm.log"
}

more_reloads_than() {
	[ "$(reloads)" -gt "$1" ]
}

start_store || exit 1
read -ra ports < <("$standin/freeport" 3)
VM_ZONE[1]=${zones[0]}
VM_PORT[1]=${ports[0]}
VM_PEER[1]=${ports[1]}
VM_OPS[1]=${ports[2]}
vm_settings 1
write_settings '"leave_notice_ms":0'
CAMPHOR_FILE=$file spawn vm "$build/camphorhollowd" --settings-env CAMPHOR_FILE
wait_until 20 vm_has_ops 1
check "a VM starts with the file that a variable names" $? -eq 0

write_settings '"leave_notice_ms":0,"log":{"debug":true}'
kill -HUP "$child"
wait_until 20 more_reloads_than 0
check "a signal reloads" $? -eq 0

before=$(reloads)
write_settings "\"leave_notice_ms\":$notice_ms"
wait_until 30 more_reloads_than "$before"
check "a changed file reloads without a signal" $? -eq 0

echo '{"leave_notice_ms":"soon"}' >"$file"
kill -HUP "$child"
wait_until 20 has_line vm 'settings not reloaded'
check "a broken file is not taken" $? -eq 0
has_line vm 'leave_notice_ms: "soon"'
check "and its fault is named" $? -eq 0
"$build/camphorhollowd" --check-settings "$file" 2>"$dir/check.txt"
check "and found by --check-settings" $? -eq 3
vm_has_ops 1
check "the VM goes on" $? -eq 0

from_ms=$(now_ms)
kill -TERM "$child"
wait "$child" 2>/dev/null
check "it stops" $? -eq 0
untrack_child "$child"
check "with the notice that was reloaded" $(($(now_ms) - from_ms)) -ge "$notice_ms"
lib_finish
