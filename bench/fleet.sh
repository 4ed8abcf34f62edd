#!/usr/bin/env bash
# Measures real processes over loopback and writes CSV files to bench/results/.
#   bench/fleet.sh control ENTRIES ENGINES   control traffic, CPU time and memory of each process; sheet propagation
#   bench/fleet.sh relay RATE                CPU time per relayed token at RATE requests/s
#   bench/fleet.sh recovery                  throughput relative to the bound, and recovery from an engine crash
#   bench/fleet.sh leader                    time until orders succeed after a leader crash
# A run takes about 15 s after the fleet has started. SEED sets the seed, RESULTS the output directory.
set -uo pipefail
cd "$(dirname "$0")/.."

SEED=${SEED:-1}
command="SEED=$SEED bench/fleet.sh $*"
results=${RESULTS:-bench/results}
mode=${1:-}
shift || true

export FLEET_MODELS=scriba:4.2 FLEET_LAYERS=48
case $mode in
control) export FLEET_ENTRIES=${1:-3} engines=${2:-6} ;;
relay) export FLEET_ENTRIES=1 engines=3 ;;
recovery | leader) export FLEET_ENTRIES=3 engines=6 ;;
*)
    sed -n '2,7s/^# \{0,1\}//p' "$0"
    exit 2
    ;;
esac
# shellcheck source=tools/fleet.sh
. tools/fleet.sh
mkdir -p "$results"
fleet_prepare
trap 'fleet_stop; rm -rf "$FLEET_DIR"' EXIT

# Appends a comment line with command, seed and load average to the file, and the
# header if the file is new.
open_csv() {
    local file=$1 header=$2 isNew=0
    [ -s "$file" ] || isNew=1
    echo "# $command; seed $SEED; load average $(cut -d' ' -f1-3 /proc/loadavg)" >>"$file"
    [ $isNew -eq 0 ] || echo "$header" >>"$file"
}

milliseconds() { date +%s%3N; }

# Raises the limits of the example sheet, which would reject the offered load.
bench_sheet() { awk -F, -v OFS=, 'NR>1 && $1=="model"{$8=4000;$9=4000;$4="4.2"} {print}' examples/lacci.csv >"$1"; }
adapters() { awk -F, '$1=="model" && $5!=""{printf "%s%s:%s",s,$2,$5;s=","}' examples/lacci.csv; }

# start_fleet STEP_BASE_US STEP_SEQUENCE_US MAXIMUM_BATCH
start_fleet() {
    local i range
    for i in 1 2 3; do fleet_replica "$i"; done
    for ((i = 1; i <= FLEET_ENTRIES; ++i)); do fleet_entry "$i"; done
    for ((i = 1; i <= engines; ++i)); do
        range=$((((i - 1) % 3) * 16))
        fleet_engine "engine-$i" "$i" "$range" "$((range + 15))" --accelerator=large \
            --step-base-us="$1" --step-sequence-us="$2" --maximum-batch="$3"
    done
    fleet_wait 30 fleet_ready 1 || { echo "bench: the fleet is not ready" >&2; exit 1; }
    bench_sheet "$FLEET_DIR/bench.csv"
    fleet_ctl --operator=bench --number=1 sheet apply "$FLEET_DIR/bench.csv" >/dev/null || { echo "bench: the sheet was refused" >&2; exit 1; }
    for ((i = 1; i <= FLEET_ENTRIES; ++i)); do
        fleet_wait 30 fleet_engines_ready "$i" "$engines" || { echo "bench: entry VM $i has no channels to $engines engines" >&2; exit 1; }
    done
}

# run_load LABEL RATE_PER_1000_S DURATION_MS [FLAGS...]: writes the report to
# standard output and appends a CSV row to load.csv.
run_load() {
    local label=$1 rate=$2 duration=$3
    shift 3
    "$FLEET_BIN/arbutus-load" --entries="$(fleet_entry_urls)" --team-tokens-file="$FLEET_DIR/team.tokens" --model=scriba \
        --versions=4.2 --layers=48 --adapters="$(adapters)" --seed="$SEED" --rate="$rate" --duration-ms="$duration" \
        --label="$label" --csv="$FLEET_DIR/load.csv" "$@"
}

keep_load() {
    open_csv "$results/load.csv" "$(head -1 "$FLEET_DIR/load.csv")"
    tail -n +2 "$FLEET_DIR/load.csv" >>"$results/load.csv"
}

metrics_url() {
    case $1 in
    entry-*) echo "$(fleet_entry_url "${1#entry-}")/metrics" ;;
    state-*) echo "http://$(fleet_address "${1#state-}" 10):8182/metrics" ;;
    esac
}

# sample NAME: prints CPU ticks, resident pages, control bytes in and out, and
# tokens of a process.
sample() {
    local ticks pages
    ticks=$(sed 's/.*) //' "/proc/${FLEET_PIDS[$1]}/stat" 2>/dev/null | awk '{print $12+$13}')
    pages=$(awk '{print $2}' "/proc/${FLEET_PIDS[$1]}/statm" 2>/dev/null)
    [ -n "$ticks" ] || return 1
    curl -s --max-time 2 "$(metrics_url "$1")" | awk -v t="$ticks" -v p="$pages" '
        /^arbutus_control_bytes_in_total /{i=$2} /^arbutus_control_bytes_out_total /{o=$2} /^arbutus_tokens_total /{k=$2}
        END{printf "%s %s %.0f %.0f %.0f\n",t,p,i,o,k}'
}

declare -A before=()
declare -A beforeTime=()
watched() { printf '%s\n' "${!FLEET_PIDS[@]}" | grep -E '^(entry|state)-' | sort; }

begin_phase() {
    local name
    before=()
    for name in $(watched); do
        beforeTime[$name]=$(milliseconds)
        before[$name]=$(sample "$name") || unset "before[$name]"
    done
}

# end_phase PHASE: appends one row for each process that ran during the whole phase.
end_phase() {
    local name now after tick page
    tick=$(getconf CLK_TCK)
    page=$(getconf PAGESIZE)
    for name in "${!before[@]}"; do
        now=$(milliseconds)
        after=$(sample "$name") || continue
        echo "${before[$name]} $after" | awk -v n="$name" -v ph="$1" -v e="$FLEET_ENTRIES" -v g="$engines" -v s=$(((now - beforeTime[$name]))) -v tick="$tick" -v page="$page" \
            '{s/=1000; printf "%d,%d,%s,%s,%.1f,%.0f,%.0f,%.4f,%.1f,%.0f\n",e,g,ph,n,s,($8-$3)/s,($9-$4)/s,($6-$1)/tick/s,$7*page/1048576,($10-$5)/s}'
    done | sort >>"$results/control.csv"
}

# sheet_time REVISION: appends the times from the first application of the sheet on
# a replica until it is in force on the first and the last entry VM. The timeline
# uses hybrid clocks, so times of different processes are comparable.
sheet_time() {
    open_csv "$results/sheet.csv" "entries,engines,revision,entry_vms_in_force,first_ms,last_ms"
    fleet_ctl --json timeline >"$FLEET_DIR/timeline.json" || return 1
    jq -r '.[] | [(.time|split(".")[0]), .kind, (.fields.revision // ""), (.fields.index // ""), .process] | @tsv' "$FLEET_DIR/timeline.json" |
        awk -F'\t' -v r="$1" -v e="$FLEET_ENTRIES" -v g="$engines" '
            $2=="command-applied" && (!($4 in applied) || $1<applied[$4]) {applied[$4]=$1}
            $2=="configuration-in-force" && $3==r && !($5 in seen) {seen[$5]=1; n++; if(!first||$1<first) first=$1; if($1>last) last=$1}
            END{for(i in applied) if(applied[i]<=first && applied[i]>accepted) accepted=applied[i];
                printf "%d,%d,%d,%d,%.1f,%.1f\n",e,g,r,n,(first-accepted)/1000,(last-accepted)/1000}' | tee -a "$results/sheet.csv"
}

measure_control() {
    open_csv "$results/control.csv" "entries,engines,phase,process,seconds,control_bytes_in_per_s,control_bytes_out_per_s,cores,resident_mib,tokens_per_s"
    start_fleet 4000 50 64
    begin_phase
    sleep 3
    end_phase idle
    run_load "control-$FLEET_ENTRIES-$engines" 20000 12500 --drain-ms=8000 &
    local load=$!
    sleep 1
    begin_phase
    sleep 2.5
    end_phase load
    sed 's/,fiere,scriba,4.2,fiere-it,8,/,fiere,scriba,4.2,fiere-it,9,/' "$FLEET_DIR/bench.csv" >"$FLEET_DIR/bench-2.csv"
    begin_phase
    fleet_ctl --operator=bench --number=2 --base=1 sheet apply "$FLEET_DIR/bench-2.csv" >/dev/null || echo "bench: the second sheet was refused" >&2
    sleep 2.5
    end_phase sheet
    sheet_time 2
    begin_phase
    curl -s -o /dev/null -d '{"leave":true}' "$(fleet_engine_url "$engines")/engine/v1/faults"
    sleep 2.5
    end_phase engine-leaves
    if [ "$FLEET_ENTRIES" -gt 1 ]; then
        begin_phase
        fleet_kill "entry-$FLEET_ENTRIES" KILL
        sleep 2.5
        end_phase entry-dies
    fi
    wait "$load"
    echo "load exit code $?"
    keep_load
}

measure_relay() {
    local rate=${1:-50}
    open_csv "$results/relay.csv" "rate,seconds,entry_tokens_per_s,entry_cores,entry_us_per_token,resident_mib"
    # Short steps and large batches make the entry process the bottleneck.
    start_fleet 1000 5 512
    run_load "relay-$rate" "${rate}000" 10000 --prompt-tokens=fixed:16 --answer-tokens=fixed:64 --drain-ms=5000 &
    local load=$! first last begin end
    sleep 2
    begin=$(milliseconds)
    first=$(sample entry-1)
    if [ -n "${PERF:-}" ]; then perf record -o "$PERF" -F 499 -g -p "${FLEET_PIDS[entry-1]}" -- sleep 7 >/dev/null 2>&1; else sleep 7; fi
    last=$(sample entry-1)
    end=$(milliseconds)
    echo "$first $last" | awk -v r="$rate" -v s=$((end - begin)) -v tick="$(getconf CLK_TCK)" -v page="$(getconf PAGESIZE)" \
        '{s/=1000; c=($6-$1)/tick; k=$10-$5; printf "%s,%.2f,%.0f,%.3f,%.1f,%.1f\n",r,s,k/s,c/s,k?c*1e6/k:0,$7*page/1048576}' | tee -a "$results/relay.csv"
    wait "$load"
    echo "load exit code $?"
    keep_load
}

measure_recovery() {
    open_csv "$results/recovery.csv" "seed,killed,longest_gap_ms,longest_gap_at_ms,killed_at_ms,errors"
    # A step with a full batch of 32 takes 20000 + 32 * 250 = 28000 us. One pipeline
    # produces at most 32 / 0.028 s = 1143 tokens/s, two produce 2286.
    start_fleet 20000 250 32
    run_load saturated 60000 12000 --warm-up-ms=5000 --prompt-tokens=fixed:16 --answer-tokens=fixed:64 --drain-ms=5000
    local reached
    reached=$(tail -1 "$FLEET_DIR/load.csv" | awk -F, '{print $(NF-4)}')
    open_csv "$results/bound.csv" "seed,tokens_per_s,bound_tokens_per_s,share"
    awk -v s="$SEED" -v t="$reached" 'BEGIN{b=2*32/0.028; printf "%s,%.1f,%.1f,%.3f\n",s,t,b,t/b}' | tee -a "$results/bound.csv"
    local begin
    begin=$(milliseconds)
    run_load killed-engine 8000 8000 --warm-up-ms=1000 --prompt-tokens=fixed:16 --answer-tokens=fixed:64 --drain-ms=10000 &
    local load=$! code
    sleep 4
    local killed=$(($(milliseconds) - begin))
    fleet_kill engine-2 KILL
    wait "$load"
    code=$?
    tail -1 "$FLEET_DIR/load.csv" | awk -F, -v s="$SEED" -v k="$killed" -v c="$code" '{print s",engine-2,"$(NF-7)","$(NF-6)","k","$7+$8+$9+$10+$11+$12}' | tee -a "$results/recovery.csv"
    keep_load
}

place_order() {
    curl -s --max-time 10 -o /dev/null -w '%{http_code}' -H "Authorization: Bearer token-fiere" -H "Idempotency-Key: $1" \
        -d reel=1 "$(fleet_entry_url 1)/v1/services/magazzino/reorders"
}

measure_leader() {
    open_csv "$results/leader.csv" "round,killed,order_after_ms,refusals_before"
    start_fleet 4000 50 64
    fleet_orders 1
    fleet_orders 2
    placed() { [ "$(place_order "first-$RANDOM")" = 201 ]; }
    fleet_wait 15 placed || { echo "bench: no order is placed" >&2; exit 1; }
    local leader begin tries=0
    leader=$(fleet_ctl replicas | awk '$1=="replica"{split($2,a,"/"); print a[1]}')
    begin=$(milliseconds)
    fleet_kill "state-$leader" KILL
    until [ "$(place_order "after-$tries")" = 201 ] || [ $tries -ge 200 ]; do
        tries=$((tries + 1))
        sleep 0.02
    done
    echo "1,state-$leader,$(($(milliseconds) - begin)),$tries" | tee -a "$results/leader.csv"
}

"measure_$mode" "$@"
