#!/usr/bin/env bash
# Demonstration at the sizes of the first user: three zones, services of 20, 12
# and 6 upstreams with 6 slots each, 13 entry VMs, mixed calls. Ends with a
# table and fails when a guarantee broke.
#
# Usage: demo.sh BUILD [--phases LIST] [--rate PER_S]
#
# Phases: steady, zone (drain and return one), version (move one service),
# kill (one VM), restart (one VM gracefully). Without --phases all of them run,
# or only those without operator commands when camphorctl is not built. SEED
# sets the seed; KEEP=1 keeps the scratch folder.
set -u
. "$(dirname "$0")/lib.sh"

vms=13
rate=2000
zone_bound_ms=5000 # "a few seconds" of guarantee G3
# A move with the default limits takes more than four minutes.
move_limits='"max_step_permille":500,"step_min_s":1,"observe_s":2,"margin_s":4,"step_min_calls":5,"route_min_calls":5'
probe_budget=2     # a second for each upstream
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
		echo "camphorctl is not built: phases zone and version are not run"
	fi
fi

note() {
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
	start_vms "$vms" || return 1
	write_plan "$dir/plan.json" menu:menu.example:10 order:order.example:4 \
	    report:report.example:3
	store_admin '{"reset_counts":true}'
	measured_from=$SECONDS
}

late_work() {
	ups_sum late
}

phase_steady() {
	note "direct calls for comparison"
	run_load direct --direct --rate "$rate" --seconds 3
	note "steady"
	run_load steady --rate "$rate" --seconds 6
}

phase_zone() {
	note "drain zone b"
	start_load zone --rate "$rate" --seconds 13
	sleep 1
	if ! declare_and_confirm drain-zone b; then
		judge "drain of zone b confirmed" 0 -eq 1
	else
		mark_zone b "{\"grace_ms\":$zone_bound_ms}"
		wait_until 10 intent_is "$intent" done
		judge "drain of zone b in effect" $? -eq 0
		sleep 7
		mark_zone b null
		declare_and_confirm return-zone b &&
		    wait_until 10 intent_is "$intent" done
		judge "return of zone b in effect" $? -eq 0
	fi
	end_load
	judge "work received by zone b after ${zone_bound_ms} ms" "$(late_work)" -eq 0
}

phase_version() {
	note "move service order to v2"
	start_load version --rate "$rate" --seconds 11
	if ! declare_and_confirm move-version order v2 --due-s 60; then
		judge "move of order confirmed" 0 -eq 1
	else
		wait_until 60 intent_is "$intent" done rolled_back refused dropped
		judge "move of order done" "$(ctl show "$intent" --json |
		    jget state | grep -c '^done$')" -eq 1
	fi
	end_load
}

phase_kill() {
	note "kill vm4"
	start_load kill --rate "$rate" --seconds 5
	sleep 1
	kill_vm 4
	sleep 2
	note "a new process takes its place"
	start_vm 4
	wait_vm 4 30
	judge "vm4 serves again" $? -eq 0
	end_load
}

phase_restart() {
	note "restart vm5 gracefully"
	start_load restart --rate "$rate" --seconds 5
	sleep 1
	restart_vm 5
	judge "graceful restart of vm5" $? -eq 0
	end_load
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
	printf '\nrefusals by kind:\n'
	grep '"kind":"all"' "$results" | jget -l label refusals | paste - - |
	    grep -v '{}' || echo "none"
	printf 'ends of calls other than ok:\n'
	grep '"kind":"all"' "$results" |
	    jget -l label wrong partial closed timeout refused status no_entry unknown retries asks resent |
	    paste - - - - - - - - - - - - |
	    awk '{ printf "%-8s wrong %d, partial %d, closed %d, timeout %d, refused %d, status %d, no entry %d, unknown %d; retries %d, asks %d, resent %d\n",
		$1, $2, $3, $4, $5, $6, $7, $8, $9, $10, $11, $12 }'
}

judge_all() {
	local elapsed=$((SECONDS - measured_from)) probes upstreams=38
	probes=$(ups_sum probes)
	printf '\nstore: %s reads, %s writes in %d s (%s calls a second), at most %s calls in one second, %s throttled\n' \
	    "$(store_stat reads)" "$(store_stat writes)" "$elapsed" \
	    "$(awk -v r="$(store_stat reads)" -v w="$(store_stat writes)" -v s="$elapsed" \
		'BEGIN { printf "%.1f", (r + w) / (s > 0 ? s : 1) }')" \
	    "$(store_stat peak_per_s)" "$(store_stat throttled)"
	printf 'probes: %d, %s a second for each upstream, at most %s in one second\n\n' \
	    "$probes" "$(awk -v n="$probes" -v s="$elapsed" -v u="$upstreams" \
		'BEGIN { printf "%.2f", n / s / u }')" "$(ups_max probe_peak)"
	judge "wrong answers (G5)" "$(load_sum wrong)" -eq 0
	judge "answers broken off, no VM killed (G9)" \
	    "$(load_sum partial 'steady|zone|version|restart')" -eq 0
	judge "calls without answer, no VM killed (G9)" \
	    "$(load_sum closed 'steady|zone|version|restart')" -eq 0
	judge "payments run twice (G7)" "$(ups_sum duplicates)" -eq 0
	judge "payments told not-run that ran (G6)" "$(not_run_but_ran)" -eq 0
	judge "payments with unknown outcome, no VM killed" \
	    "$(load_sum unknown 'steady|zone|version|restart')" -eq 0
	judge "probes above the budget on average (G1)" \
	    "$((probes > probe_budget * upstreams * elapsed ? 1 : 0))" -eq 0
	judge "store calls above its rate" "$(store_stat throttled)" -eq 0
	judge "calls ended ok" "$(load_sum ok)" -gt 0
}

lib_init "$build_dir"
set_up || {
	echo "set-up failed"
	exit 1
}
note "13 VMs, 38 upstreams ready"
for phase in $phases; do
	"phase_$phase"
done
note "end"
print_table
printf 'burn report:\n'
ctl report
judge "burn report is there" $? -eq 0
judge_all
lib_finish
