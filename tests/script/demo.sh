#!/usr/bin/env bash
# Demonstration in the size of the first deployment: three zones, services of
# 20, 12 and 6 upstreams with 6 slots each, 13 entry VMs and a mix of calls.
# Prints a table of results and fails if a guarantee is violated.
#
# Usage: demo.sh BUILD [--phases LIST] [--rate PER_S]
#
# Phases: steady, zone (drain and return a zone), version (move a service to a
# new version), kill (kill a VM), restart (restart a VM gracefully). Without
# --phases all of them run; if camphorctl is not built, only those without
# operator commands. SEED sets the seed; KEEP=1 keeps the scratch folder.
set -u
. "$(dirname "$0")/lib.sh"

vm_count=13
rate=2000
zone_bound_ms=5000 # limit for "a few seconds" in guarantee G3
# Shorter than the defaults, with which a move takes more than four minutes.
move_limits='"max_step_permille":500,"step_min_s":1,"observe_s":2,"margin_s":4,"step_min_calls":5,"route_min_calls":5'
probe_budget=2 # probes per second for each upstream
phases=
build_dir=${1:?usage: demo.sh BUILD [--phases LIST] [--rate PER_S]}
shift
while [ $# -gt 0 ]; do
	case $1 in
	--phases) phases=${2//,/ } ;;
	--rate) rate=$2 ;;
	*)
		echo "demo.sh: unknown option $1" >&2
		exit 2
		;;
	esac
	shift 2
done
if [ -z "$phases" ]; then
	phases='steady zone version kill restart'
	if [ ! -x "$build_dir/camphorctl" ]; then
		phases='steady kill restart'
		echo "camphorctl is not built: skipping phases zone and version"
	fi
fi

# log_progress TEXT...: prints the text with the elapsed seconds.
log_progress() {
	printf '%3d s  %s\n' "$SECONDS" "$*"
}

set_up() {
	local behaviour='{"dist":"lognormal","sigma":0.5,"health_lag_ms":500}'
	start_store || return 1
	start_upstreams menu 20 --service-us 8000 --set "$behaviour" || return 1
	start_upstreams order 12 --service-us 8000 --set "$behaviour" || return 1
	start_upstreams report 6 --service-us 8000 --set "$behaviour" || return 1
	put_zones
	put_limits "$move_limits"
	put_service menu menu.example menu
	put_service order order.example order 2
	put_service report report.example report
	start_vms "$vm_count" || return 1
	write_plan "$dir/plan.json" menu:menu.example:10 order:order.example:4 \
	    report:report.example:3
	store_admin '{"reset_counts":true}'
	measure_start_s=$SECONDS
}

late_requests() {
	upstream_sum late
}

phase_steady() {
	log_progress "direct calls for comparison"
	run_load direct --direct --rate "$rate" --seconds 3
	log_progress "steady load"
	run_load steady --rate "$rate" --seconds 6
}

phase_zone() {
	log_progress "drain zone b"
	start_load zone --rate "$rate" --seconds 13
	sleep 1
	if ! declare_and_confirm drain-zone b; then
		check "drain of zone b confirmed" 0 -eq 1
	else
		mark_zone b "{\"grace_ms\":$zone_bound_ms}"
		wait_until 10 intent_in_state "$intent" done
		check "drain of zone b in effect" $? -eq 0
		sleep 7
		mark_zone b null
		declare_and_confirm return-zone b &&
		    wait_until 10 intent_in_state "$intent" done
		check "return of zone b in effect" $? -eq 0
	fi
	wait_load
	check "requests received by zone b after ${zone_bound_ms} ms" "$(late_requests)" -eq 0
}

phase_version() {
	log_progress "move service order to v2"
	start_load version --rate "$rate" --seconds 11
	if ! declare_and_confirm move-version order v2 --due-s 60; then
		check "move of order confirmed" 0 -eq 1
	else
		wait_until 60 intent_in_state "$intent" done rolled_back refused dropped
		check "move of order done" "$(ctl show "$intent" --json |
		    jget state | grep -c '^done$')" -eq 1
	fi
	wait_load
}

phase_kill() {
	log_progress "kill vm4"
	start_load kill --rate "$rate" --seconds 5
	sleep 1
	kill_vm 4
	sleep 2
	log_progress "start a new process for vm4"
	start_vm 4
	wait_vm 4 30
	check "vm4 serves again" $? -eq 0
	wait_load
}

phase_restart() {
	log_progress "restart vm5 gracefully"
	start_load restart --rate "$rate" --seconds 5
	sleep 1
	restart_vm 5
	check "graceful restart of vm5" $? -eq 0
	wait_load
}

print_table() {
	local label kind
	printf '\n%-8s %-9s %7s %8s %8s %9s %10s %10s\n' phase kind calls \
	    p50_us p99_us p99.9_us added_p50 added_p99
	jget -l label kind count p50_us p99_us p999_us <"$results" | paste - - - - - - |
	    awk '$1 == "direct" { d50[$2] = $4; d99[$2] = $5 }
		{ a50 = a99 = "-"
		  if ($1 != "direct" && $2 in d50) { a50 = $4 - d50[$2]; a99 = $5 - d99[$2] }
		  printf "%-8s %-9s %7d %8d %8d %9d %10s %10s\n", $1, $2, $3, $4, $5, $6, a50, a99 }'
	printf '\nrefusals by error kind:\n'
	grep '"kind":"all"' "$results" | jget -l label refusals | paste - - |
	    grep -v '{}' || echo "none"
	printf 'calls that did not end ok, by outcome:\n'
	grep '"kind":"all"' "$results" |
	    jget -l label wrong partial closed timeout refused status no_entry unknown retries asks resent |
	    paste - - - - - - - - - - - - |
	    awk '{ printf "%-8s wrong %d, partial %d, closed %d, timeout %d, refused %d, status %d, no entry %d, unknown %d; retries %d, outcome queries %d, resent %d\n",
		$1, $2, $3, $4, $5, $6, $7, $8, $9, $10, $11, $12 }'
}

check_guarantees() {
	local elapsed=$((SECONDS - measure_start_s)) probes upstreams=38
	probes=$(upstream_sum probes)
	printf '\nstore: %s reads, %s writes in %d s (%s calls per second), at most %s calls in one second, %s throttled\n' \
	    "$(store_stat reads)" "$(store_stat writes)" "$elapsed" \
	    "$(awk -v r="$(store_stat reads)" -v w="$(store_stat writes)" -v s="$elapsed" \
		'BEGIN { printf "%.1f", (r + w) / (s > 0 ? s : 1) }')" \
	    "$(store_stat peak_per_s)" "$(store_stat throttled)"
	printf 'probes: %d, %s per second for each upstream, at most %s in one second\n\n' \
	    "$probes" "$(awk -v n="$probes" -v s="$elapsed" -v u="$upstreams" \
		'BEGIN { printf "%.2f", n / s / u }')" "$(upstream_max probe_peak)"
	check "wrong answers (G5)" "$(load_sum wrong)" -eq 0
	check "truncated answers, no VM killed (G9)" \
	    "$(load_sum partial 'steady|zone|version|restart')" -eq 0
	check "calls without an answer, no VM killed (G9)" \
	    "$(load_sum closed 'steady|zone|version|restart')" -eq 0
	check "payments executed twice (G7)" "$(upstream_sum duplicates)" -eq 0
	check "payments answered not-run but executed (G6)" "$(count_false_not_run)" -eq 0
	check "payments with unknown outcome, no VM killed" \
	    "$(load_sum unknown 'steady|zone|version|restart')" -eq 0
	check "probes above the budget on average (G1)" \
	    "$((probes > probe_budget * upstreams * elapsed ? 1 : 0))" -eq 0
	check "store calls throttled by the rate limit" "$(store_stat throttled)" -eq 0
	check "calls that ended ok" "$(load_sum ok)" -gt 0
}

lib_init "$build_dir"
set_up || {
	echo "setup failed"
	exit 1
}
log_progress "13 VMs, 38 upstreams ready"
for phase in $phases; do
	"phase_$phase"
done
log_progress "all phases ended"
print_table
printf 'burn report:\n'
ctl report
check "burn report is available" $? -eq 0
check_guarantees
lib_finish
