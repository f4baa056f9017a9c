# lib.sh - functions for runs over real processes. Source it, then lib_init.
#
#	. "$(dirname "$0")/lib.sh"
#	lib_init "$1"
#	start_store
#	start_upstreams menu 20 --service-us 5000
#	put_service menu menu.example menu
#	start_vms 13
#	write_plan "$dir/plan.json" menu:menu.example:1
#	run_load steady --rate 1000 --seconds 5
#	judge "wrong answers" "$(load_sum wrong)" -eq 0
#	lib_finish
#
# Everything is started as a child of the script and ended by process id.
# Variables: $dir scratch folder, $seed, $store port, UPS_ADMIN[name] and
# UPS_PORTS[name], RELAY_ADMIN[name] and RELAY_PORTS[name], VM_*[i] from 1 on.

declare -A UPS_ADMIN UPS_PORTS RELAY_ADMIN RELAY_PORTS
declare -a VM_ZONE=() VM_PORT=() VM_PEER=() VM_OPS=() VM_PID=()
zones=(a b c)
token=demo-token
failed=0
pids=()

# Runs the script once for each of $SEEDS seeds from $SEED on.
lib_soak() {
	local first=${SEED:-$((RANDOM * 32768 + RANDOM))} i broken=0
	for i in $(seq "$SEEDS"); do
		SEEDS='' SEED=$((first + i - 1)) "$0" "$@" || broken=$((broken + 1))
	done
	echo "$broken of $SEEDS seeds broken"
	[ "$broken" -eq 0 ]
	exit
}

# Prepares a run: build folder, scratch folder, seed (from $SEED or random).
lib_init() {
	[ -n "${SEEDS:-}" ] && lib_soak "$@"
	build=$1
	dir=$(mktemp -d)
	seed=${SEED:-$((RANDOM * 32768 + RANDOM))}
	standin=$build/standin
	results=$dir/results.jsonl
	notrun=$dir/not-run.txt
	: >"$results"
	: >"$notrun"
	trap lib_cleanup EXIT
	trap 'exit 130' INT TERM
	echo "seed $seed"
	RANDOM=$((seed % 32768)) # draws of the script follow the seed
}

now_ms() {
	echo $((${EPOCHREALTIME/./} / 1000))
}

lib_cleanup() {
	local p
	exec 2>/dev/null # the shell reports each child that it kills
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

# Ends the script with the verdict of all judge calls.
lib_finish() {
	if [ "$failed" -ne 0 ]; then
		echo "$failed checks failed, seed $seed"
		exit 1
	fi
	exit 0
}

# wait_until SECONDS COMMAND...: polls until the command succeeds.
wait_until() {
	local end=$((SECONDS + $1))
	shift
	until "$@" >/dev/null 2>&1; do
		[ "$SECONDS" -ge "$end" ] && return 1
		sleep 0.05
	done
}

# judge TEXT VALUE OP LIMIT: prints one line; a failed check fails the run.
judge() {
	local verdict=ok
	if ! [ "${2:-none}" "$3" "$4" ] 2>/dev/null; then
		verdict=BROKEN
		failed=$((failed + 1))
	fi
	printf '%-52s %10s (%s %s) %s\n' "$1" "${2:-none}" "$3" "$4" "$verdict"
}

# spawn NAME COMMAND...: starts a child, output in $dir/NAME.log; sets $child.
spawn() {
	local name=$1
	shift
	"$@" >"$dir/$name.log" 2>&1 &
	child=$!
	pids+=("$child")
}

# forget PID: the process has ended; lib_cleanup must not signal its id.
forget() {
	local p kept=()
	for p in "${pids[@]}"; do
		[ "$p" = "$1" ] || kept+=("$p")
	done
	pids=("${kept[@]}")
}

has_line() {
	grep -qE "$2" "$dir/$1.log"
}

jget() {
	"$standin/jget" "$@"
}

# post URL JSON
post() {
	curl -sf -o /dev/null --data-binary "$2" "$1"
}

start_store() {
	spawn store "$standin/store"
	wait_until 20 has_line store '^port ' || return 1
	store=$(sed -n 's/^port //p' "$dir/store.log")
}

store_admin() {
	post "http://127.0.0.1:$store/admin" "$1"
}

# store_stat PATH: counter of the store.
store_stat() {
	curl -sf "http://127.0.0.1:$store/admin" | jget "$1"
}

# put_object KEY JSON: writes over whatever version is there.
put_object() {
	local url=http://127.0.0.1:$store/objects/$1 version
	version=$(curl -sf "$url" | jget version) || version=0
	curl -sf -o /dev/null -X PUT -H "If-Match: $version" \
	    --data-binary "$2" "$url"
}

# start_upstreams NAME COUNT [OPTION...]: one process for all of them.
start_upstreams() {
	local name=$1 count=$2
	shift 2
	spawn "up-$name" "$standin/upstream" --count "$count" --seed "$seed" "$@"
	wait_until 20 has_line "up-$name" "^port $((count - 1)) " || return 1
	UPS_ADMIN[$name]=$(sed -n 's/^admin //p' "$dir/up-$name.log")
	UPS_PORTS[$name]=$(sed -n 's/^port [0-9]* //p' "$dir/up-$name.log" | tr '\n' ' ')
}

# ups_set NAME JSON: changes the behaviour of upstreams.
ups_set() {
	post "http://127.0.0.1:${UPS_ADMIN[$1]}/admin" "$2"
}

# ups_stat NAME PATH, e.g. upstreams.*.duplicates
ups_stat() {
	curl -sf "http://127.0.0.1:${UPS_ADMIN[$1]}/stats" | jget "$2"
}

# ups_sum PATH: added up over all upstream processes.
ups_sum() {
	local total=0 name v
	for name in "${!UPS_ADMIN[@]}"; do
		v=$(ups_stat "$name" "upstreams.*.$1") || return 1
		total=$((total + v))
	done
	echo "$total"
}

# ups_max PATH: greatest over all upstreams.
ups_max() {
	local max=0 name v
	for name in "${!UPS_ADMIN[@]}"; do
		v=$(ups_stat "$name" "upstreams.^.$1") || return 1
		[ "$v" -gt "$max" ] && max=$v
	done
	echo "$max"
}

# Upstream i is in zone i mod 3; versions alternate after each three, so that
# every zone has upstreams of both.
ups_zone() {
	echo "${zones[$(($1 % 3))]}"
}

# zone_indexes NAME ZONE: JSON array of the upstreams in a zone.
zone_indexes() {
	local i=0 out='' p
	for p in ${UPS_PORTS[$1]}; do
		[ "$(ups_zone "$i")" = "$2" ] && out=$out${out:+,}$i
		i=$((i + 1))
	done
	echo "[$out]"
}

# service_json NAME HOST[,HOST] UPSTREAMS [VERSIONS]: one or two versions, v1 has
# all traffic. Routes match the kinds of the load tool.
service_json() {
	local list='' i=0 p version versions='{"name":"v1","share":1000}'
	[ "${4:-1}" = 2 ] && versions=$versions',{"name":"v2","share":0}'
	for p in ${UPS_PORTS[$3]}; do
		version=v1
		[ "${4:-1}" = 2 ] && [ $((i / 3 % 2)) = 1 ] && version=v2
		list=$list${list:+,}$(printf '{"id":"%s-%d","addr":"127.0.0.1:%s","zone":"%s","version":"%s","state":"in"}' \
		    "$1" "$i" "$p" "$(ups_zone "$i")" "$version")
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

# put_service ARGS...: as service_json, written into the store.
put_service() {
	put_object "config/service/$1" "$(service_json "$@")"
}

# put_limits JSON-MEMBERS
put_limits() {
	put_object config/limits "{\"change\":\"limits-$seed\",$1}"
}

# object_version KEY: version in the store, 0 when there is none.
object_version() {
	curl -sf "http://127.0.0.1:$store/objects/$1" | jget version || echo 0
}

# partition_owner: number of the VM that owns most partitions.
partition_owner() {
	curl -sf "http://127.0.0.1:$store/objects/part/table" |
	    jget $(seq -f 'value.parts.%g.owner' 0 63) |
	    sed 's/@.*//; s/^vm//' | sort | uniq -c | sort -rn |
	    awk 'NR == 1 { print $2 }'
}

# Whether every partition has an owner.
partitions_owned() {
	[ "$(curl -sf "http://127.0.0.1:$store/objects/part/table" |
	    jget $(seq -f 'value.parts.%g.owner' 0 63) | grep -c .)" -eq 64 ]
}

put_zones() {
	put_object config/zones "{\"change\":\"zones-$seed\",\"zones\":[$(printf '{"name":"%s","state":"in"},' "${zones[@]}" | sed 's/,$//')]}"
}

# start_relay NAME LISTEN=IP:PORT...
start_relay() {
	local name=$1
	shift
	spawn "relay-$name" "$standin/relay" "$@"
	wait_until 20 has_line "relay-$name" "^port $(($# - 1)) " || return 1
	RELAY_ADMIN[$name]=$(sed -n 's/^admin //p' "$dir/relay-$name.log")
	RELAY_PORTS[$name]=$(sed -n 's/^port [0-9]* //p' "$dir/relay-$name.log" | tr '\n' ' ')
}

# relay_set NAME JSON
relay_set() {
	post "http://127.0.0.1:${RELAY_ADMIN[$1]}/admin" "$2"
}

# Writes the settings of VM i; VM_STORE[i] overrides the port of the store.
declare -a VM_STORE=()
vm_settings() {
	local i=$1
	cat >"$dir/vm$i.json" <<-JSON
		{"id":"vm$i","zone":"${VM_ZONE[$i]}","seed":$((seed + i)),
		 "listen":{"addr":"127.0.0.1","port":${VM_PORT[$i]}},
		 "peer":{"addr":"127.0.0.1","port":${VM_PEER[$i]},
		  "allow":["127.0.0.1"]},
		 "ops":{"addr":"127.0.0.1","port":${VM_OPS[$i]},"token":"$token"},
		 "platform":{"addr":"127.0.0.1","port":${VM_STORE[$i]:-$store}}}
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

# Whether VM i has an ops port at all, whatever its health.
vm_has_ops() {
	curl -s -o /dev/null -m 1 "http://127.0.0.1:${VM_OPS[$1]}/health"
}

# wait_vm I SECONDS: until it takes calls, by its health where it has one.
wait_vm() {
	wait_until "$2" vm_answers "$1" || return 1
	if vm_has_ops "$1"; then
		wait_until "$2" vm_healthy "$1"
	fi
}

# put_vms [LEAVING]: VM list of all VMs that were started; one may be leaving.
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

# start_vms N: VMs 1 to N in three zones, ready for calls.
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
	forget "${VM_PID[$1]}"
	VM_PID[$1]=
}

freeze_vm() {
	kill -STOP "${VM_PID[$1]}"
}

resume_vm() {
	kill -CONT "${VM_PID[$1]}"
}

# stop_vm I: graceful shutdown; the status is that of the daemon.
stop_vm() {
	local rc
	kill -TERM "${VM_PID[$1]}"
	wait "${VM_PID[$1]}" 2>/dev/null
	rc=$?
	forget "${VM_PID[$1]}"
	VM_PID[$1]=
	return $rc
}

# restart_vm I: graceful shutdown, then a new process with the same settings.
restart_vm() {
	local rc=0
	put_vms "$1"
	stop_vm "$1" || rc=$?
	start_vm "$1"
	put_vms
	wait_vm "$1" 30 || rc=1
	return $rc
}

# ctl_vm I ARGS...: camphorctl against VM I.
ctl_vm() {
	local i=$1
	shift
	timeout 30 "$build/camphorctl" --ops "127.0.0.1:${VM_OPS[$i]}" \
	    --token "$token" "$@"
}

# ctl ARGS...: camphorctl against the first VM that runs.
ctl() {
	local i
	for i in "${!VM_PID[@]}"; do
		[ -n "${VM_PID[$i]}" ] && break
	done
	ctl_vm "$i" "$@"
}

# intent_is ID STATE...
intent_is() {
	local id=$1 state
	shift
	state=$(ctl show "$id" --json | jget state) || return 1
	case " $* " in *" $state "*) return 0 ;; esac
	return 1
}

# declare_and_confirm ARGS...: sets $intent; fails when it is not confirmed. It
# may still be carried out.
declare_and_confirm() {
	local rc=0
	intent=$(ctl declare "$@" --json | jget id) || return 1
	ctl confirm "$intent" >/dev/null || rc=$?
	[ "$rc" -eq 0 ] || [ "$rc" -eq 4 ] # 4: stored, not yet accepted
}

# report_is ID STATE: whether the burn report shows this end of a move.
report_is() {
	local i=0 id state
	ctl report --json >"$dir/report.json" || return 1
	while id=$(jget -f "$dir/report.json" "moves.$i.intent"); do
		state=$(jget -f "$dir/report.json" "moves.$i.state")
		[ "$id" = "$1" ] && [ "$state" = "$2" ] && return 0
		i=$((i + 1))
	done
	return 1
}

# mark_zone ZONE JSON: counts new work of the upstreams of a zone as late.
mark_zone() {
	local name
	for name in "${!UPS_ADMIN[@]}"; do
		ups_set "$name" "{\"upstream\":$(zone_indexes "$name" "$1"),\"mark\":$2}"
	done
}

# write_plan FILE UPSTREAMS:HOST:WEIGHT...: plan for all VMs and services;
# $kinds is JSON of the kinds, empty for the default mix; $plan_order are the
# VMs in the order of their turns, empty for all.
kinds=
plan_order=
write_plan() {
	local file=$1 part name host weight services='' entries='' direct i ops=1
	shift
	[ "${#VM_PID[@]}" -gt 0 ] && ! vm_has_ops 1 && ops=0
	for part in "$@"; do
		IFS=: read -r name host weight <<<"$part"
		direct=$(printf '"127.0.0.1:%s",' ${UPS_PORTS[$name]} | sed 's/,$//')
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

# vm_status I HOST [PATH]: HTTP status of a call through VM I, 000 for none.
vm_status() {
	curl -s -m 2 -o /dev/null -w '%{http_code}' -H "Host: $2" \
	    "http://127.0.0.1:${VM_PORT[$1]}${3:-/lookup/1}"
}

# start_load LABEL ARGS...: callers in the background; sets $load_pid.
start_load() {
	local label=$1
	shift
	spawn "load-$label" "${callers:-$build/callers}" --plan "$plan" --label "$label" \
	    --out "$results" --not-run "$notrun" --seed "$seed" "$@"
	load_pid=$child
}

# end_load: lets the load phase end on its own; its status is that of callers.
end_load() {
	local rc=0
	wait "$load_pid" || rc=$?
	forget "$load_pid"
	return $rc
}

run_load() {
	start_load "$@"
	end_load
}

# load_sum KEY [LABELS]: key of the lines of all kinds together, added up over
# the runs through the VMs whose label matches the pattern.
load_sum() {
	local pattern=${2:-.*}
	grep '"mode":"entry"' "$results" | grep '"kind":"all"' |
	    grep -E "\"label\":\"($pattern)\"" | jget -l "$1" |
	    awk '{ n += $1 } END { print n + 0 }'
}

# load_get LABEL KIND KEY
load_get() {
	grep "\"label\":\"$1\"" "$results" | grep "\"kind\":\"$2\"" |
	    head -n 1 | jget "$3"
}

# not_run_but_ran: number of keys told not-run by every attempt that have run.
not_run_but_ran() {
	local name n=0 v
	for name in "${!UPS_ADMIN[@]}"; do
		v=$(curl -sf --data-binary "@$notrun" \
		    "http://127.0.0.1:${UPS_ADMIN[$name]}/ran" | jget 'ran.#') ||
		    return 1
		n=$((n + v))
	done
	echo "$n"
}
