# lib.sh - functions for tests that run real processes.
#
# A script sources this file and calls lib_init first:
#
#	. "$(dirname "$0")/lib.sh"
#	lib_init "$1"
#	start_store
#	start_upstreams menu 20 --service-us 5000
#	put_service menu menu.example menu
#	start_vms 13
#	write_plan "$dir/plan.json" menu:menu.example:1
#	run_load steady --rate 1000 --seconds 5
#	check "wrong answers" "$(load_sum wrong)" -eq 0
#	lib_finish
#
# All processes are children of the script; lib_cleanup ends them by process
# id.
#
# Global variables:
#	$dir		scratch folder of the run
#	$seed		seed of the run
#	$results	results of all load runs, as JSON lines
#	$not_run_file	keys of which each attempt was answered with not-run
#	$store_port	port of the store stand-in
#	UPSTREAM_ADMIN[name], UPSTREAM_PORTS[name]
#			admin port and service ports of a group of upstreams
#	RELAY_ADMIN[name], RELAY_PORTS[name]
#			admin port and listening ports of a relay
#	VM_*[i]		zone, ports and process id of VM i, counted from 1

declare -A UPSTREAM_ADMIN UPSTREAM_PORTS RELAY_ADMIN RELAY_PORTS
declare -a VM_ZONE=() VM_PORT=() VM_PEER=() VM_OPS=() VM_PID=()
zones=(a b c)
token=demo-token
failed=0
pids=()

# Runs the script once for each of $SEEDS consecutive seeds, starting at $SEED.
lib_run_seeds() {
	local first=${SEED:-$((RANDOM * 32768 + RANDOM))} i failed_seeds=0
	for i in $(seq "$SEEDS"); do
		SEEDS='' SEED=$((first + i - 1)) "$0" "$@" || failed_seeds=$((failed_seeds + 1))
	done
	echo "$failed_seeds of $SEEDS seeds failed"
	[ "$failed_seeds" -eq 0 ]
	exit
}

# lib_init BUILD: creates the scratch folder and sets the seed, which is $SEED
# or random.
lib_init() {
	[ -n "${SEEDS:-}" ] && lib_run_seeds "$@"
	build=$1
	dir=$(mktemp -d)
	seed=${SEED:-$((RANDOM * 32768 + RANDOM))}
	standin=$build/standin
	results=$dir/results.jsonl
	not_run_file=$dir/not-run.txt
	: >"$results"
	: >"$not_run_file"
	trap lib_cleanup EXIT
	trap 'exit 130' INT TERM
	echo "seed $seed"
	RANDOM=$((seed % 32768)) # the same seed repeats the random choices
}

now_ms() {
	echo $((${EPOCHREALTIME/./} / 1000))
}

lib_cleanup() {
	local p
	exec 2>/dev/null # hides the shell's message about each killed child
	for p in "${pids[@]}"; do
		kill -CONT "$p" 2>/dev/null
		kill -KILL "$p" 2>/dev/null
	done
	wait 2>/dev/null
	if [ -n "${KEEP:-}" ]; then
		echo "kept $dir"
	else
		rm -rf "$dir"
	fi
}

# Exits with status 1 if any check failed, otherwise 0.
lib_finish() {
	if [ "$failed" -ne 0 ]; then
		echo "$failed checks failed, seed $seed"
		exit 1
	fi
	exit 0
}

# wait_until SECONDS COMMAND...: polls until the command succeeds; returns 1 on
# timeout.
wait_until() {
	local end=$((SECONDS + $1))
	shift
	until "$@" >/dev/null 2>&1; do
		[ "$SECONDS" -ge "$end" ] && return 1
		sleep 0.05
	done
}

# check TEXT VALUE OP LIMIT: compares VALUE with LIMIT by the test operator OP
# and prints one line; a failed check fails the run.
check() {
	local verdict=ok
	if ! [ "${2:-none}" "$3" "$4" ] 2>/dev/null; then
		verdict=FAILED
		failed=$((failed + 1))
	fi
	printf '%-52s %10s (%s %s) %s\n' "$1" "${2:-none}" "$3" "$4" "$verdict"
}

# spawn NAME COMMAND...: starts a child process with its output in
# $dir/NAME.log; sets $child to its process id.
spawn() {
	local name=$1
	shift
	"$@" >"$dir/$name.log" 2>&1 &
	child=$!
	pids+=("$child")
}

# untrack_child PID: removes an ended process from the list, because the system
# may reuse its id and lib_cleanup must not signal another process.
untrack_child() {
	local p kept=()
	for p in "${pids[@]}"; do
		[ "$p" = "$1" ] || kept+=("$p")
	done
	pids=("${kept[@]}")
}

# has_line NAME REGEX: whether the log of a child has a matching line.
has_line() {
	grep -qE "$2" "$dir/$1.log"
}

# jget [-f FILE] [-l] PATH...: prints values of a JSON document; see
# tests/standin/jget.c for the paths.
jget() {
	"$standin/jget" "$@"
}

# post_json URL JSON
post_json() {
	curl -sf -o /dev/null --data-binary "$2" "$1"
}

start_store() {
	spawn store "$standin/store"
	wait_until 20 has_line store '^port ' || return 1
	store_port=$(sed -n 's/^port //p' "$dir/store.log")
}

store_admin() {
	post_json "http://127.0.0.1:$store_port/admin" "$1"
}

# store_stat PATH: prints a counter of the store.
store_stat() {
	curl -sf "http://127.0.0.1:$store_port/admin" | jget "$1"
}

# put_object KEY JSON: creates the object or overwrites its current version.
put_object() {
	local url=http://127.0.0.1:$store_port/objects/$1 version
	version=$(curl -sf "$url" | jget version) || version=0
	curl -sf -o /dev/null -X PUT -H "If-Match: $version" \
	    --data-binary "$2" "$url"
}

# start_upstreams NAME COUNT [OPTION...]: starts one process that serves COUNT
# upstreams.
start_upstreams() {
	local name=$1 count=$2
	shift 2
	spawn "up-$name" "$standin/upstream" --count "$count" --seed "$seed" "$@"
	wait_until 20 has_line "up-$name" "^port $((count - 1)) " || return 1
	UPSTREAM_ADMIN[$name]=$(sed -n 's/^admin //p' "$dir/up-$name.log")
	UPSTREAM_PORTS[$name]=$(sed -n 's/^port [0-9]* //p' "$dir/up-$name.log" | tr '\n' ' ')
}

# upstream_set NAME JSON: changes the behaviour of upstreams of a group.
upstream_set() {
	post_json "http://127.0.0.1:${UPSTREAM_ADMIN[$1]}/admin" "$2"
}

# upstream_stat NAME PATH: prints a counter of a group of upstreams, for
# example upstreams.*.duplicates.
upstream_stat() {
	curl -sf "http://127.0.0.1:${UPSTREAM_ADMIN[$1]}/stats" | jget "$2"
}

# upstream_sum PATH: prints the sum of a counter over all upstreams.
upstream_sum() {
	local total=0 name v
	for name in "${!UPSTREAM_ADMIN[@]}"; do
		v=$(upstream_stat "$name" "upstreams.*.$1") || return 1
		total=$((total + v))
	done
	echo "$total"
}

# upstream_max PATH: prints the maximum of a counter over all upstreams.
upstream_max() {
	local max=0 name v
	for name in "${!UPSTREAM_ADMIN[@]}"; do
		v=$(upstream_stat "$name" "upstreams.^.$1") || return 1
		[ "$v" -gt "$max" ] && max=$v
	done
	echo "$max"
}

# upstream_zone I: prints the zone of upstream I. Upstream I is in zone I mod
# 3. The version alternates after every three upstreams, so that every zone has
# upstreams of both versions.
upstream_zone() {
	echo "${zones[$(($1 % 3))]}"
}

# zone_indexes NAME ZONE: prints the indexes of the upstreams in a zone as a
# JSON array.
zone_indexes() {
	local i=0 out='' p
	for p in ${UPSTREAM_PORTS[$1]}; do
		[ "$(upstream_zone "$i")" = "$2" ] && out=$out${out:+,}$i
		i=$((i + 1))
	done
	echo "[$out]"
}

# service_json NAME HOST[,HOST] UPSTREAMS [VERSIONS]: prints the configuration
# of a service with one version (default) or two; v1 receives all traffic. The
# routes match the kinds of calls that the load tool sends.
service_json() {
	local list='' i=0 p version versions='{"name":"v1","share":1000}'
	[ "${4:-1}" = 2 ] && versions=$versions',{"name":"v2","share":0}'
	for p in ${UPSTREAM_PORTS[$3]}; do
		version=v1
		[ "${4:-1}" = 2 ] && [ $((i / 3 % 2)) = 1 ] && version=v2
		list=$list${list:+,}$(printf '{"id":"%s-%d","addr":"127.0.0.1:%s","zone":"%s","version":"%s","state":"in"}' \
		    "$1" "$i" "$p" "$(upstream_zone "$i")" "$version")
		i=$((i + 1))
	done
	cat <<-JSON
		{"name":"$1","hosts":["${2//,/\",\"}"],"change":"$1-$seed","slots":6,
		 "routes":[{"prefix":"/","idempotent":true,"timeout_ms":2000},
		  {"prefix":"/pay","idempotent":false,"timeout_ms":2000},
		  {"prefix":"/upload","idempotent":false,"timeout_ms":10000},
		  {"prefix":"/download","idempotent":true,"timeout_ms":30000}],
		 "slo":{"target":0.999,"latency_ms":100},
		 "versions":[$versions],"upstreams":[$list],"move":null}
	JSON
}

# put_service ARGS...: writes the output of service_json ARGS into the store.
put_service() {
	put_object "config/service/$1" "$(service_json "$@")"
}

# put_limits JSON-MEMBERS: writes config/limits with the given members.
put_limits() {
	put_object config/limits "{\"change\":\"limits-$seed\",$1}"
}

# object_version KEY: prints the version in the store, 0 if the object is
# missing.
object_version() {
	curl -sf "http://127.0.0.1:$store_port/objects/$1" | jget version || echo 0
}

# partition_owner: prints the number of the VM that owns the most partitions.
partition_owner() {
	curl -sf "http://127.0.0.1:$store_port/objects/part/table" |
	    jget $(seq -f 'value.parts.%g.owner' 0 63) |
	    sed 's/@.*//; s/^vm//' | sort | uniq -c | sort -rn |
	    awk 'NR == 1 { print $2 }'
}

# partitions_owned: whether each of the 64 partitions has an owner.
partitions_owned() {
	[ "$(curl -sf "http://127.0.0.1:$store_port/objects/part/table" |
	    jget $(seq -f 'value.parts.%g.owner' 0 63) | grep -c .)" -eq 64 ]
}

put_zones() {
	put_object config/zones "{\"change\":\"zones-$seed\",\"zones\":[$(printf '{"name":"%s","state":"in"},' "${zones[@]}" | sed 's/,$//')]}"
}

# start_relay NAME LISTEN=IP:PORT...: starts a relay that forwards each LISTEN
# port on loopback (0 for a free one) to IP:PORT.
start_relay() {
	local name=$1
	shift
	spawn "relay-$name" "$standin/relay" "$@"
	wait_until 20 has_line "relay-$name" "^port $(($# - 1)) " || return 1
	RELAY_ADMIN[$name]=$(sed -n 's/^admin //p' "$dir/relay-$name.log")
	RELAY_PORTS[$name]=$(sed -n 's/^port [0-9]* //p' "$dir/relay-$name.log" | tr '\n' ' ')
}

# relay_set NAME JSON: changes the behaviour of a relay, for example its mode.
relay_set() {
	post_json "http://127.0.0.1:${RELAY_ADMIN[$1]}/admin" "$2"
}

# vm_settings I: writes the settings of VM I. VM_STORE_PORT[I] overrides the
# port of the store.
declare -a VM_STORE_PORT=()
vm_settings() {
	local i=$1
	cat >"$dir/vm$i.json" <<-JSON
		{"id":"vm$i","zone":"${VM_ZONE[$i]}","seed":$((seed + i)),
		 "listen":{"addr":"127.0.0.1","port":${VM_PORT[$i]}},
		 "peer":{"addr":"127.0.0.1","port":${VM_PEER[$i]},
		  "allow":["127.0.0.1"]},
		 "ops":{"addr":"127.0.0.1","port":${VM_OPS[$i]},"token":"$token"},
		 "platform":{"addr":"127.0.0.1","port":${VM_STORE_PORT[$i]:-$store_port}}}
	JSON
}

start_vm() {
	vm_settings "$1"
	spawn "vm$1-$SECONDS" "$build/camphorhollowd" --settings "$dir/vm$1.json"
	VM_PID[$1]=$child
}

vm_answers() {
	curl -s -o /dev/null -m 1 "http://127.0.0.1:${VM_PORT[$1]}/"
}

vm_healthy() {
	curl -sf -o /dev/null -m 1 "http://127.0.0.1:${VM_OPS[$1]}/health"
}

# vm_has_ops I: whether the ops port of VM I answers, with any HTTP status.
vm_has_ops() {
	curl -s -o /dev/null -m 1 "http://127.0.0.1:${VM_OPS[$1]}/health"
}

# wait_vm I SECONDS: waits until VM I accepts calls and, if it has an ops port,
# reports healthy.
wait_vm() {
	wait_until "$2" vm_answers "$1" || return 1
	if vm_has_ops "$1"; then
		wait_until "$2" vm_healthy "$1"
	fi
}

# put_vms [LEAVING]: sets the platform's VM list to all VMs that are started.
# VM LEAVING gets the state "leaving".
put_vms() {
	local i list='' state
	for i in "${!VM_PID[@]}"; do
		[ -n "${VM_PID[$i]}" ] || continue
		state=live
		[ "${1:-}" = "$i" ] && state=leaving
		list=$list${list:+,}$(printf '{"id":"vm%d","zone":"%s","peer":"127.0.0.1:%s","state":"%s"}' \
		    "$i" "${VM_ZONE[$i]}" "${VM_PEER[$i]}" "$state")
	done
	store_admin "{\"vms\":[$list]}"
}

# start_vms N: starts VMs 1 to N in three zones and waits until they accept
# calls.
start_vms() {
	local n=$1 i ports
	read -ra ports < <("$standin/freeport" $((3 * n)))
	for i in $(seq "$n"); do
		VM_ZONE[$i]=${zones[$(((i - 1) % 3))]}
		VM_PORT[$i]=${ports[$((3 * i - 3))]}
		VM_PEER[$i]=${ports[$((3 * i - 2))]}
		VM_OPS[$i]=${ports[$((3 * i - 1))]}
		VM_PID[$i]=pending
	done
	put_vms
	for i in $(seq "$n"); do
		start_vm "$i"
	done
	for i in $(seq "$n"); do
		wait_vm "$i" 30 || {
			tail -n 5 "$dir"/vm"$i"-*.log
			return 1
		}
	done
}

kill_vm() {
	kill -KILL "${VM_PID[$1]}"
	wait "${VM_PID[$1]}" 2>/dev/null
	untrack_child "${VM_PID[$1]}"
	VM_PID[$1]=
}

freeze_vm() {
	kill -STOP "${VM_PID[$1]}"
}

resume_vm() {
	kill -CONT "${VM_PID[$1]}"
}

# stop_vm I: shuts VM I down gracefully; returns the exit status of the daemon.
stop_vm() {
	local rc
	kill -TERM "${VM_PID[$1]}"
	wait "${VM_PID[$1]}" 2>/dev/null
	rc=$?
	untrack_child "${VM_PID[$1]}"
	VM_PID[$1]=
	return $rc
}

# restart_vm I: shuts VM I down gracefully and starts a new process with the
# same settings.
restart_vm() {
	local rc=0
	put_vms "$1"
	stop_vm "$1" || rc=$?
	start_vm "$1"
	put_vms
	wait_vm "$1" 30 || rc=1
	return $rc
}

# ctl_vm I ARGS...: runs camphorctl against VM I.
ctl_vm() {
	local i=$1
	shift
	timeout 30 "$build/camphorctl" --ops "127.0.0.1:${VM_OPS[$i]}" \
	    --token "$token" "$@"
}

# ctl ARGS...: runs camphorctl against the first running VM.
ctl() {
	local i
	for i in "${!VM_PID[@]}"; do
		[ -n "${VM_PID[$i]}" ] && break
	done
	ctl_vm "$i" "$@"
}

# intent_in_state ID STATE...: whether the intent is in one of the states.
intent_in_state() {
	local id=$1 state
	shift
	state=$(ctl show "$id" --json | jget state) || return 1
	case " $* " in *" $state "*) return 0 ;; esac
	return 1
}

# declare_and_confirm ARGS...: declares and confirms an intent and sets $intent
# to its id. Fails if the confirmation fails; the intent may still be carried
# out.
declare_and_confirm() {
	local rc=0
	intent=$(ctl declare "$@" --json | jget id) || return 1
	ctl confirm "$intent" >/dev/null || rc=$?
	[ "$rc" -eq 0 ] || [ "$rc" -eq 4 ] # 4: stored, not yet accepted
}

# report_shows_move ID STATE: whether the burn report lists the move in this
# state.
report_shows_move() {
	local i=0 id state
	ctl report --json >"$dir/report.json" || return 1
	while id=$(jget -f "$dir/report.json" "moves.$i.intent"); do
		state=$(jget -f "$dir/report.json" "moves.$i.state")
		[ "$id" = "$1" ] && [ "$state" = "$2" ] && return 0
		i=$((i + 1))
	done
	return 1
}

# mark_zone ZONE JSON: sets "mark" on the upstreams of a zone. They count
# requests that arrive after its grace_ms as late; null ends the counting.
mark_zone() {
	local name
	for name in "${!UPSTREAM_ADMIN[@]}"; do
		upstream_set "$name" "{\"upstream\":$(zone_indexes "$name" "$1"),\"mark\":$2}"
	done
}

# write_plan FILE UPSTREAMS:HOST:WEIGHT...: writes the plan of the load tool and
# sets $plan to FILE. $kinds is the JSON of the kinds of calls, empty for the
# default mix. $plan_order lists the VMs in the order of the load tool's round
# robin, empty for all VMs in ascending order.
kinds=
plan_order=
write_plan() {
	local file=$1 part name host weight services='' entries='' direct i ops=1
	shift
	[ "${#VM_PID[@]}" -gt 0 ] && ! vm_has_ops 1 && ops=0
	for part in "$@"; do
		IFS=: read -r name host weight <<<"$part"
		direct=$(printf '"127.0.0.1:%s",' ${UPSTREAM_PORTS[$name]} | sed 's/,$//')
		services=$services${services:+,}"{\"host\":\"$host\",\"weight\":$weight,\"direct\":[$direct]}"
	done
	for i in ${plan_order:-${!VM_PID[@]}}; do
		entries=$entries${entries:+,}"{\"addr\":\"127.0.0.1:${VM_PORT[$i]}\""
		[ "$ops" = 1 ] && entries=$entries",\"ops\":\"127.0.0.1:${VM_OPS[$i]}\""
		entries=$entries"}"
	done
	echo "{\"services\":[$services],\"entries\":[$entries]${kinds:+,\"kinds\":$kinds}}" >"$file"
	plan=$file
}

# vm_status I HOST [PATH]: prints the HTTP status of a call through VM I, 000
# if there is no response.
vm_status() {
	curl -s -m 2 -o /dev/null -w '%{http_code}' -H "Host: $2" \
	    "http://127.0.0.1:${VM_PORT[$1]}${3:-/lookup/1}"
}

# start_load LABEL ARGS...: starts the load tool in the background; sets
# $load_pid. The program is $callers if set, otherwise $build/callers.
start_load() {
	local label=$1
	shift
	spawn "load-$label" "${callers:-$build/callers}" --plan "$plan" --label "$label" \
	    --out "$results" --not-run "$not_run_file" --seed "$seed" "$@"
	load_pid=$child
}

# wait_load: waits until the load tool ends; returns its exit status.
wait_load() {
	local rc=0
	wait "$load_pid" || rc=$?
	untrack_child "$load_pid"
	return $rc
}

# run_load LABEL ARGS...: runs the load tool to its end.
run_load() {
	start_load "$@"
	wait_load
}

# load_sum KEY [LABELS]: prints the sum of a result, for all kinds of calls
# together, over the load runs whose label matches the pattern LABELS. Runs with
# --direct are excluded.
load_sum() {
	local pattern=${2:-.*}
	grep '"mode":"entry"' "$results" | grep '"kind":"all"' |
	    grep -E "\"label\":\"($pattern)\"" | jget -l "$1" |
	    awk '{ n += $1 } END { print n + 0 }'
}

# load_get LABEL KIND KEY: prints one result of a load run for a kind of calls.
load_get() {
	grep "\"label\":\"$1\"" "$results" | grep "\"kind\":\"$2\"" |
	    head -n 1 | jget "$3"
}

# count_false_not_run: prints the number of keys that an upstream has executed
# although every attempt was answered with not-run.
count_false_not_run() {
	local name n=0 v
	for name in "${!UPSTREAM_ADMIN[@]}"; do
		v=$(curl -sf --data-binary "@$not_run_file" \
		    "http://127.0.0.1:${UPSTREAM_ADMIN[$name]}/ran" | jget 'ran.#') ||
		    return 1
		n=$((n + v))
	done
	echo "$n"
}
