#!/usr/bin/env bash
# Injects the failures of design sections 1 and 4 into real processes on loopback
# and checks the guarantees. Each scenario starts its own fleet.
# Usage: tools/failures.sh [SCENARIO...]. Runs all scenarios by default.
# The last line of the output counts the checks.
set -uo pipefail
cd "$(dirname "$0")/.."

export FLEET_MODELS=scriba:4.2,scriba:4.3 FLEET_LAYERS=48
. tools/fleet.sh
passed=0
failed=0
CLIENT_PIDS=()

check() {
    local name=$1
    shift
    if "$@" >/dev/null; then
        passed=$((passed + 1))
        echo "ok    $scenario: $name"
    else
        failed=$((failed + 1))
        echo "FAIL  $scenario: $name"
    fi
}
# check_equal NAME ACTUAL EXPECTED
check_equal() {
    check "$1" test "$2" = "$3"
    [ "$2" = "$3" ] || echo "      got \"$2\" instead of \"$3\""
}
# check_between NAME ACTUAL LOW HIGH: compares integers, bounds included.
check_between() {
    check "$1 ($2 in $3..$4)" test "$2" -ge "$3" -a "$2" -le "$4"
}

now_ms() { date +%s%3N; }
in_force() { fleet_ctl sheet status >/dev/null; }
ctl() {
    local entry=$1
    shift
    "$FLEET_BIN/arbutusctl" --entry="$(fleet_entry_url "$entry")" --admin-token-file="$FLEET_DIR/admin.token" "$@"
}

# start_fleet [ENGINES]: starts 3 replicas, 3 entry VMs, 2 order services and engines
# that alternate between layers 0 to 15, 16 to 31 and 32 to 47. Applies the Lacci
# sheet and waits until it is in force.
start_fleet() {
    local engines=${1:-3} i
    fleet_prepare
    for i in 1 2 3; do fleet_replica "$i"; done
    for i in 1 2 3; do fleet_entry "$i"; done
    for ((i = 1; i <= engines; ++i)); do engine "$i"; done
    for i in 1 2; do fleet_orders "$i"; done
    for i in 1 2 3; do
        fleet_wait 10 fleet_ready "$i" || echo "entry VM $i is not ready"
    done
    ctl 1 --operator=anna --number=1 sheet apply examples/lacci.csv >/dev/null
    fleet_wait 5 in_force || echo "the first sheet is not in force"
    for i in 1 2 3; do
        fleet_wait 8 fleet_engines_ready "$i" "$engines" || echo "entry VM $i lacks engines"
    done
}

engine() {
    local range=$(((($1 - 1) % 3) * 16))
    fleet_engine "engine-$1" "$1" "$range" "$((range + 15))" --accelerator=large --step-base-us=4000 ${ENGINE_FLAGS:-}
}

signal() { kill -"$2" "${FLEET_PIDS[$1]}" 2>/dev/null; }
# kill_now NAME: kills the process. Discards the shell's job message on standard error.
kill_now() {
    signal "$1" KILL
    wait "${FLEET_PIDS[$1]}" 2>/dev/null
}

# replica_field REPLICA FIELD: prints a field of the replica's status.
replica_field() {
    curl -s --max-time 2 -H "Authorization: Bearer $(cat "$FLEET_DIR/admin.token")" \
        "http://$(fleet_address "$1" 10):8182/admin/v1/replica" | jq -r ".$2"
}
leader() {
    local i
    for i in "${@:-1 2 3}"; do
        for j in $i; do [ "$(replica_field "$j" role)" = leader ] && echo "$j" && return; done
    done
}
replicas_agree() {
    local one two three
    one="$(replica_field 1 appliedIndex) $(replica_field 1 auditHead)"
    two="$(replica_field 2 appliedIndex) $(replica_field 2 auditHead)"
    three="$(replica_field 3 appliedIndex) $(replica_field 3 auditHead)"
    # The index is 0 if the replica has applied nothing.
    [[ $one =~ ^[1-9][0-9]*\ [0-9a-f]{64}$ ]] && [ "$one" = "$two" ] && [ "$two" = "$three" ]
}

# complete ENTRY PROMPT TOKENS FILE: writes the event stream of an answer to the file.
complete() {
    curl -sN --max-time 20 -o "$4" -H "Authorization: Bearer token-${TEAM:-catalogo-catania}" \
        -d "{\"model\":\"scriba\",\"prompt\":\"$2\",\"max_tokens\":$3,\"stream\":true}" \
        "$(fleet_entry_url "$1")/v1/completions"
}
text_of() { sed -n 's/^data: //p' "$1" 2>/dev/null | grep -v DONE | jq -rj '.choices[0].text // empty' 2>/dev/null; }
is_whole() { grep -q '^data: \[DONE\]' "$1" && [ "$(text_of "$1")" = "$2" ]; }
# kind_of FILE: prints the error kind and the notRun value of a refusal.
kind_of() { sed 's/^data: //' "$1" 2>/dev/null | grep '"notRun"' | head -1 | jq -r '"\(.kind // .error.kind) \(if has("notRun") then .notRun else .error.notRun end)"' 2>/dev/null; }

# order ENTRY KEY BODY FILE: sends an order, writes the response to the file and
# prints the HTTP status.
order() {
    curl -s --max-time 14 -o "$4" -w '%{http_code}' -H "Authorization: Bearer token-${TEAM:-fiere}" \
        -H "Idempotency-Key: $2" -d "$3" "$(fleet_entry_url "$1")/v1/services/magazzino/reorders"
}
# executions: prints "KEY COUNT" for each key, summed over the order services.
executions() {
    local i
    for i in 1 2; do
        curl -s --max-time 2 "http://$(fleet_address "$i" 60):9100/fake/v1/executions" | jq -r 'to_entries[] | "\(.key) \(.value)"'
    done | awk '{n[$1] += $2} END {for (k in n) print k, n[k]}'
}
executions_of() { executions | awk -v k="$1" '$1 == k {n = $2} END {print n + 0}'; }
order_fault() { curl -s -o /dev/null -d "$2" "http://$(fleet_address "$1" 60):9100/fake/v1/faults"; }
engine_fault() { curl -s -o /dev/null --max-time 2 -d "$2" "$(fleet_engine_url "$1")/engine/v1/faults"; }
engine_state() { curl -s --max-time 2 "$(fleet_engine_url "$1")/engine/v1/state" | jq ".$2"; }

# order_client NUMBER: sends orders until the file "stop" exists. Does not retry an
# order that is refused as not run; retries any other failed order through the other
# entry VMs. Log line: KEY STATUS NOTRUN ANSWER.
order_client() {
    local n=0 key entry answer="$FLEET_DIR/client-$1.json" status log="$FLEET_DIR/client-$1.orders" again
    while [ ! -e "$FLEET_DIR/stop" ]; do
        n=$((n + 1))
        key="c$1-$n"
        for again in 0 1; do
            entry=$((($1 + n + again) % 3 + 1))
            status=$(order "$entry" "$key" "reel=$key" "$answer")
            echo "$key $status $(jq -r 'if has("notRun") then .notRun else "-" end' "$answer" 2>/dev/null || echo -) $(date +%s%3N) $(jq -c . "$answer" 2>/dev/null)" >>"$log"
            [ "$(awk 'END {print $3}' "$log")" = true ] && break
        done
        sleep 0.05
    done
}
start_order_clients() {
    local i
    CLIENT_PIDS=()
    for ((i = 1; i <= $1; ++i)); do
        order_client "$i" &
        CLIENT_PIDS+=($!)
    done
}
stop_clients() {
    touch "$FLEET_DIR/stop"
    wait "${CLIENT_PIDS[@]}" 2>/dev/null
    CLIENT_PIDS=()
    cat "$FLEET_DIR"/client-*.orders >"$FLEET_DIR/orders.log" 2>/dev/null
}
# check_orders: checks the invariants of the clients' orders.
check_orders() {
    local keys refused
    executions >"$FLEET_DIR/executions"
    check_equal "no key ran twice" "$(awk '$2 > 1' "$FLEET_DIR/executions" | wc -l)" 0
    refused=$(awk 'NR == FNR {ran[$1] = $2; next} {if (!($1 in first)) first[$1] = $3} END {for (k in first) if (first[k] == "true" && ran[k]) print k}' "$FLEET_DIR/executions" "$FLEET_DIR/orders.log" | sort)
    check_equal "no order that was refused as not run was executed" "$refused" ""
    # The answers with status 201, one line for each pair of key and answer.
    awk '$2 == 201 {key = $1; sub(/^[^{]*/, ""); print key, $0}' "$FLEET_DIR/orders.log" | sort -u >"$FLEET_DIR/recorded"
    keys=$(cut -d' ' -f1 "$FLEET_DIR/recorded" | uniq -d)
    check_equal "each key has one recorded answer" "$keys" ""
    check "orders were executed" test "$(wc -l <"$FLEET_DIR/recorded")" -gt 10
    echo "      $(cut -d' ' -f1 "$FLEET_DIR/orders.log" | sort -u | wc -l) keys, $(wc -l <"$FLEET_DIR/recorded") recorded, $(awk '$3 == "true"' "$FLEET_DIR/orders.log" | wc -l) refused as not run, $(awk '$3 == "unknown"' "$FLEET_DIR/orders.log" | wc -l) unknown"
}
# check_resends: retries up to 12 recorded orders through the entry VMs in turn.
check_resends() {
    local key body wrong=0 n=0
    while read -r key body; do
        n=$((n + 1))
        order $((n % 3 + 1)) "$key" "reel=$key" "$FLEET_DIR/resend.json" >/dev/null
        [ "$(jq -c . "$FLEET_DIR/resend.json")" = "$body" ] || wrong=$((wrong + 1))
    done < <(shuf -n 12 --random-source=examples/lacci.csv "$FLEET_DIR/recorded")
    check_equal "resends of $n recorded orders get the recorded answer" "$wrong" 0
}

replica_deaths() {
    local i
    start_fleet 3
    start_order_clients 6
    sleep 0.5
    for i in 1 2 3; do
        kill_now "state-$i"
        sleep 2.2
        fleet_replica "$i"
        sleep 0.6
    done
    kill_now state-1
    kill_now state-2
    sleep 1
    fleet_replica 1
    fleet_replica 2
    check "an order runs within 4 s of the majority's return" fleet_wait 4 eval 'test "$(order 1 "back-$(date +%s%N)" x "$FLEET_DIR/back.json")" = 201'
    stop_clients
    check_orders
    check_resends
    check "restarted replicas come back equal" fleet_wait 5 replicas_agree
    check_equal "the audit chain verifies" "$(ctl 2 --format=json audit | jq -r .verified)" yes
}

leader_frozen() {
    local old new other revision
    start_fleet 3
    old=$(leader)
    signal "state-$old" STOP
    sleep 1.5
    check "a sheet is accepted without the frozen leader" fleet_wait 3 ctl 2 --operator=bruno --number=2 --base=1 sheet apply examples/lacci-evening.csv
    fleet_wait 3 in_force
    new=$(leader $(echo 1 2 3 | tr -d "$old"))
    sleep 2
    # Records the revisions of all entry VMs while the old leader recovers.
    (
        while [ ! -e "$FLEET_DIR/stop" ]; do
            for i in 1 2 3; do
                revision=$(curl -s --max-time 1 -H "Authorization: Bearer $(cat "$FLEET_DIR/admin.token")" "$(fleet_entry_url $i)/admin/v1/status" | jq .sheetRevision)
                echo "${revision:-none}" >>"$FLEET_DIR/revisions"
            done
        done
    ) &
    CLIENT_PIDS=($!)
    signal "state-$old" CONT
    sleep 1.5
    check_equal "the old leader steps down" "$(replica_field "$old" role)" follower
    check "there is another leader" test -n "$new" -a "$new" != "$old"
    stop_clients
    check_equal "no entry VM went back to the old sheet" "$(sort -u "$FLEET_DIR/revisions" | tr '\n' ' ')" "2 "
    check "the sheet had been watched" test "$(wc -l <"$FLEET_DIR/revisions")" -gt 10
    other=$(ctl 3 --operator=bruno --number=2 --base=1 sheet apply examples/lacci-evening.csv)
    check "a resend gets the first acceptance" grep -q "Accepted before as revision 2" <<<"$other"
    check_equal "one sheet was accepted after the first" "$(ctl 1 --format=json sheet status | jq -r .accepted)" 2
    check "the replicas are equal" fleet_wait 4 replicas_agree
}

quorum_lost() {
    local start t refusedAt="" lastAccepted=0 kind follower expected
    start_fleet 3
    complete 1 "paper for the spring fair" 400 "$FLEET_DIR/expected"
    expected=$(text_of "$FLEET_DIR/expected")
    complete 2 "paper for the spring fair" 400 "$FLEET_DIR/running" &
    CLIENT_PIDS=($!)
    sleep 0.3
    signal state-1 STOP
    signal state-2 STOP
    start=$(now_ms)
    order 1 lost-1 x "$FLEET_DIR/lost-1.json" >/dev/null &
    CLIENT_PIDS+=($!)
    while t=$(($(now_ms) - start)) && [ "$t" -lt 5000 ]; do
        complete $((t % 3 + 1)) "short" 1 "$FLEET_DIR/probe"
        kind=$(kind_of "$FLEET_DIR/probe")
        if grep -q DONE "$FLEET_DIR/probe"; then
            lastAccepted=$t
        elif [ -z "$refusedAt" ]; then
            refusedAt=$t
        fi
        sleep 0.1
    done
    check_between "model requests were accepted for about 3 s, in ms" "$lastAccepted" 1800 3300
    check_equal "then they are refused as not run, as stale" "$kind" "stale-configuration true"
    wait "${CLIENT_PIDS[@]}"
    check "a running stream finishes" is_whole "$FLEET_DIR/running" "$expected"
    order 3 lost-2 x "$FLEET_DIR/lost-2.json" >/dev/null
    check_equal "an order is refused as not run" "$(kind_of "$FLEET_DIR/lost-2.json")" "stale-configuration true"
    check "an order sent at the loss is refused as not run" grep -q ' true$' <<<"$(kind_of "$FLEET_DIR/lost-1.json")"
    check_equal "neither order was executed" "$(executions_of lost-1)$(executions_of lost-2)" 00
    signal state-1 CONT
    signal state-2 CONT
    check "model requests are accepted again within 3 s" fleet_wait 3 eval 'complete 1 short 1 "$FLEET_DIR/probe"; grep -q DONE "$FLEET_DIR/probe"'
    check "orders are accepted again within 3 s" fleet_wait 3 eval 'test "$(order 2 back-$RANDOM x "$FLEET_DIR/back.json")" = 201'
    check "the refused order is placed by a resend" fleet_wait 3 eval 'test "$(order 1 lost-1 x "$FLEET_DIR/lost-1.json")" = 201'
    check_equal "it ran once" "$(executions_of lost-1)" 1
}

entry_frozen() {
    local i old new stale=0 accepted=0 prompt="labels for the autumn fair"
    start_fleet 3
    TEAM=vetrina-palermo complete 1 "$prompt" 8 "$FLEET_DIR/old"
    old=$(text_of "$FLEET_DIR/old")
    signal entry-3 STOP
    sed '/^model,vetrina-palermo,/s/,4\.2,/,4.3,/' examples/lacci.csv >"$FLEET_DIR/next.csv"
    check "a sheet with another version is accepted" ctl 1 --operator=anna --number=2 --base=1 sheet apply "$FLEET_DIR/next.csv"
    sleep 1
    TEAM=vetrina-palermo complete 1 "$prompt" 8 "$FLEET_DIR/new"
    new=$(text_of "$FLEET_DIR/new")
    check "the new version answers otherwise" test -n "$new" -a "$new" != "$old"
    sleep 5
    # These connections wait in the listen backlog and are served first on resume.
    for ((i = 0; i < 40; ++i)); do
        TEAM=vetrina-palermo complete 3 "$prompt" 8 "$FLEET_DIR/frozen-$i" &
        CLIENT_PIDS+=($!)
    done
    sleep 0.3
    signal entry-3 CONT
    for ((i = 40; i < 140; ++i)); do
        TEAM=vetrina-palermo complete 3 "$prompt" 8 "$FLEET_DIR/frozen-$i" &
        CLIENT_PIDS+=($!)
        sleep 0.008
    done
    wait "${CLIENT_PIDS[@]}"
    CLIENT_PIDS=()
    for ((i = 0; i < 140; ++i)); do
        if [ "$(text_of "$FLEET_DIR/frozen-$i")" = "$old" ]; then
            stale=$((stale + 1))
        elif [ "$(text_of "$FLEET_DIR/frozen-$i")" = "$new" ]; then
            accepted=$((accepted + 1))
        fi
    done
    check_equal "no request ran under the old sheet" "$stale" 0
    check "requests ran under the new sheet" test "$accepted" -gt 0
    echo "      $accepted answers of the new version"
}

# replica_disk REPLICA: prints the disk number in hexadecimal.
replica_disk() { replica_field "$1" replica | cut -d/ -f2; }

disk_wiped() {
    local old new survivor lost
    start_fleet 3
    start_order_clients 3
    sleep 1.5
    old=$(replica_disk 3)
    kill_now state-3
    rm -rf "$FLEET_DIR/state-3"
    fleet_replica 3
    fleet_wait 5 eval 'test -n "$(replica_disk 3)" -a "$(replica_disk 3)" != null'
    new=$(replica_disk 3)
    check "a wiped disk has a new number" test -n "$new" -a "$new" != null -a "$new" != "$old"
    # With one of the other two voters stopped, the wiped replica's vote would
    # complete a majority.
    survivor=$(leader 1 2)
    [ "$survivor" = 1 ] && survivor=2 || survivor=1
    signal "state-$survivor" STOP
    sleep 2.5
    check_equal "the wiped replica makes no majority" "$(leader 1 2 3)" ""
    check_equal "it has not voted" "$(replica_field 3 role)" follower
    signal "state-$survivor" CONT
    check "a leader exists again" fleet_wait 4 ctl 1 replicas
    check "it is added as a learner" fleet_wait 3 ctl 1 --operator=anna replicas change add-learner 3 "$new"
    # A replica must not count twice, so its old disk must be removed first.
    check "it is not promoted beside its old disk" eval '! ctl 1 --operator=anna replicas change promote 3 "$new" 2>/dev/null'
    check "the old disk is removed" fleet_wait 3 ctl 1 --operator=anna replicas change remove 3 "$old"
    check "it is promoted" fleet_wait 5 ctl 1 --operator=anna replicas change promote 3 "$new"
    lost=$(leader)
    kill_now "state-$lost"
    check "orders go on after a second loss" fleet_wait 4 eval 'test "$(order 1 "back-$(date +%s%N)" x "$FLEET_DIR/back.json")" = 201'
    sleep 1.5
    stop_clients
    check_orders
    check_resends
    check_equal "the audit chain verifies" "$(ctl 2 --format=json audit | jq -r .verified)" yes
    fleet_replica "$lost"
    check "the replicas are equal when the second comes back" fleet_wait 6 replicas_agree
}

many_sheets() {
    local i revision digest accepted=0 count=300 start
    start_fleet 3
    start=$(now_ms)
    for ((i = 1; i <= count; ++i)); do
        sed "/^model,stampa-ragusa,/s/,7,2,16,12,/,7,2,$((i % 50 + 10)),12,/" examples/lacci.csv >"$FLEET_DIR/next.csv"
        ctl $((i % 3 + 1)) --operator=anna --number=$((i + 1)) --base="$i" sheet apply "$FLEET_DIR/next.csv" >/dev/null && accepted=$((accepted + 1))
    done
    echo "      $accepted sheets in $(($(now_ms) - start)) ms"
    check_equal "every sheet is accepted" "$accepted" "$count"
    check "the replicas are equal" fleet_wait 4 replicas_agree
    digest=$(replica_field 1 auditHead)
    revision=$(replica_field 1 sheetRevision)
    for i in 1 2 3; do kill_now "state-$i"; done
    for i in 1 2 3; do fleet_replica "$i"; done
    check "they are equal after a restart" fleet_wait 6 replicas_agree
    check_equal "with the same digest" "$(replica_field 2 auditHead)" "$digest"
    check_equal "and the same sheet" "$(replica_field 2 sheetRevision)" "$revision"
    check "one more sheet is accepted" fleet_wait 4 ctl 1 --operator=anna --number=9999 --base=$((count + 1)) sheet apply examples/lacci-evening.csv
    check "it is in force within 4 s" fleet_wait 4 in_force
}

two_operators() {
    local i winner loser winnerFile
    start_fleet 3
    sed '/^model,listini,/s/,8,6,/,9,6,/' examples/lacci.csv >"$FLEET_DIR/anna.csv"
    sed '/^model,riordini,/s/,4,2,/,5,2,/' examples/lacci.csv >"$FLEET_DIR/bruno.csv"
    for i in 1 2 3; do
        ctl "$i" --operator=anna --number=7 --base=1 sheet apply "$FLEET_DIR/anna.csv" >"$FLEET_DIR/anna-$i.out" &
        CLIENT_PIDS+=($!)
        ctl $((i % 3 + 1)) --operator=bruno --number=7 --base=1 sheet apply "$FLEET_DIR/bruno.csv" >"$FLEET_DIR/bruno-$i.out" &
        CLIENT_PIDS+=($!)
    done
    wait "${CLIENT_PIDS[@]}"
    CLIENT_PIDS=()
    winner=anna loser=bruno
    grep -q Accepted "$FLEET_DIR"/bruno-*.out && winner=bruno loser=anna
    check_equal "the winner's resends get one acceptance" "$(grep -h Accepted "$FLEET_DIR/$winner"-*.out | sed 's/ before//' | sort | uniq -c | awk '{print $1, $2, $3, $4, $5}')" "3 Accepted as revision 2,"
    check_equal "the acceptance is new once" "$(grep -l 'Accepted as' "$FLEET_DIR/$winner"-*.out | wc -l)" 1
    check_equal "the loser is never accepted" "$(grep -l Accepted "$FLEET_DIR/$loser"-*.out | wc -l)" 0
    check_equal "the loser is told who won" "$(grep -l "revision 2 by $winner (number 7)" "$FLEET_DIR/$loser"-*.out | wc -l)" 3
    check_equal "and both rows that differ" "$(grep -l listini "$FLEET_DIR/$loser"-*.out | xargs -r grep -l riordini | wc -l)" 3
    ctl 2 --operator="$winner" --number=8 --base=2 sheet apply examples/lacci-evening.csv >/dev/null
    check "a late resend gets the first acceptance" grep -q 'Accepted before as revision 2' <<<"$(ctl 3 --operator="$winner" --number=7 --base=1 sheet apply "$FLEET_DIR/$winner.csv")"
    winnerFile=$(ctl 1 --operator="$winner" --number=7 --base=3 sheet apply "$FLEET_DIR/$loser.csv")
    check "the same number with another sheet is refused" grep -q Refused <<<"$winnerFile"
}

order_service_death() {
    local i
    start_fleet 3
    # Each order service crashes after it executes an order and loses its counts, so
    # a count after the restart reveals an order that was sent again.
    for i in 1 2; do order_fault "$i" '{"dieAfterExecution":true,"delayMs":300}'; done
    order 1 dies-1 reel=1 "$FLEET_DIR/dies-1.json" >/dev/null
    check_equal "the caller of the first order is told that the outcome is unknown" "$(kind_of "$FLEET_DIR/dies-1.json")" "upstream-failed unknown"
    check_equal "one runner died, so the order was not sent to the other" "$(for i in 1 2; do kill -0 "${FLEET_PIDS[magazzino-$i]}" 2>/dev/null && echo alive; done)" alive
    order 1 dies-2 reel=2 "$FLEET_DIR/dies-2.json" >/dev/null
    check_equal "the caller is told that the outcome is unknown" "$(kind_of "$FLEET_DIR/dies-2.json")" "upstream-failed unknown"
    for i in 1 2; do wait "${FLEET_PIDS[magazzino-$i]}" 2>/dev/null; fleet_orders "$i"; done
    fleet_wait 5 eval 'test "$(order 2 alive-$RANDOM x "$FLEET_DIR/alive.json")" = 201'
    check "the order is listed as unknown" grep -q 'dies-2' <<<"$(ctl 2 orders)"
    order 3 dies-2 reel=2 "$FLEET_DIR/resend.json" >/dev/null
    check_equal "a resend is told the same" "$(kind_of "$FLEET_DIR/resend.json")" "order-outcome-unknown unknown"
    check_equal "the resend was not sent" "$(executions_of dies-2)" 0
    check "an operator states that it ran" ctl 1 --operator=anna orders resolve fiere magazzino dies-2 ran
    check_equal "a resend gets the stated result" "$(order 3 dies-2 reel=2 "$FLEET_DIR/resend.json")" 200
    check "an operator states that the other did not run" ctl 1 --operator=anna orders resolve fiere magazzino dies-1 not-run
    check_equal "its resend runs" "$(order 2 dies-1 reel=1 "$FLEET_DIR/resend.json")" 201
    check_equal "once" "$(executions_of dies-1)" 1
    check_equal "no order is unknown any more" "$(ctl 2 orders)" ""
}

entry_death_in_order() {
    local start i
    start_fleet 3
    for i in 1 2; do order_fault "$i" '{"delayMs":4000}'; done
    order 1 cut-1 reel=1 "$FLEET_DIR/cut.json" >/dev/null &
    CLIENT_PIDS=($!)
    sleep 0.7
    check_equal "the order is running" "$(ctl 2 orders running | grep -c cut-1)" 1
    kill_now entry-1
    start=$(now_ms)
    wait "${CLIENT_PIDS[@]}"
    CLIENT_PIDS=()
    check "the order becomes unknown within 15 s" fleet_wait 15 eval 'ctl 2 orders | grep -q cut-1'
    echo "      unknown after $(($(now_ms) - start)) ms"
    order 3 cut-1 reel=1 "$FLEET_DIR/resend.json" >/dev/null
    check_equal "a resend is refused" "$(kind_of "$FLEET_DIR/resend.json")" "order-outcome-unknown unknown"
    fleet_entry 1
    fleet_wait 6 fleet_ready 1
    order 1 cut-1 reel=1 "$FLEET_DIR/resend.json" >/dev/null
    check_equal "also by the restarted entry VM" "$(kind_of "$FLEET_DIR/resend.json")" "order-outcome-unknown unknown"
    check_equal "it ran once" "$(executions_of cut-1)" 1
}

engine_faults() {
    local point i prompt expected
    start_fleet 6
    # Each fault uses its own prompt, because a request that was running during three
    # crashes would correctly be blamed for them and refused.
    for point in 1 2 6 41 121 stall slow; do
        complete 1 "ribbons $point" 150 "$FLEET_DIR/expected-$point" &
        CLIENT_PIDS+=($!)
    done
    wait "${CLIENT_PIDS[@]}"
    for point in 1 2 6 41 121; do
        prompt="ribbons $point"
        i=$((point % 2 * 3 + 2))
        engine_fault "$i" "{\"dieAfterBatches\":$point}"
        complete 1 "$prompt" 150 "$FLEET_DIR/point-$point"
        check "an answer is whole when engine-$i may die after $point batches" is_whole "$FLEET_DIR/point-$point" "$(text_of "$FLEET_DIR/expected-$point")"
        kill_now "engine-$i"
        engine "$i"
        fleet_wait 6 fleet_engines_ready 1 6
    done
    check "streams were resumed" test "$(curl -s "$(fleet_entry_url 1)/metrics" | awk '/^arbutus_stream_resumes_total /{print int($2)}')" -gt 0
    complete 2 "ribbons stall" 150 "$FLEET_DIR/stalled" &
    CLIENT_PIDS=($!)
    sleep 0.3
    for i in 2 5; do [ "$(engine_state $i running)" -gt 0 ] && engine_fault "$i" '{"stall":true}' && break; done
    wait "${CLIENT_PIDS[@]}"
    CLIENT_PIDS=()
    check "an answer is whole when an engine stalls" is_whole "$FLEET_DIR/stalled" "$(text_of "$FLEET_DIR/expected-stall")"
    engine_fault "$i" '{"stall":false,"slowness":5}'
    complete 3 "ribbons slow" 150 "$FLEET_DIR/slow"
    check "an answer is whole when an engine is slow" is_whole "$FLEET_DIR/slow" "$(text_of "$FLEET_DIR/expected-slow")"
}

# Restarts crashed engines as the platform does, and records the crashes.
restart_engines() {
    local i
    while [ ! -e "$FLEET_DIR/stop" ]; do
        for i in 1 2 3 4 5 6; do
            [ "$(engine_state "$i" running 2>/dev/null)" ] && continue
            sleep 0.2
            [ "$(engine_state "$i" running 2>/dev/null)" ] && continue
            echo "engine-$i" >>"$FLEET_DIR/deaths"
            engine "$i"
            echo "${FLEET_PIDS[engine-$i]}" >>"$FLEET_DIR/restarted"
            sleep 0.3
        done
        sleep 0.1
    done
}

crash_request() {
    local i wrong=0 deaths
    ENGINE_FLAGS=--crash-word=poison
    start_fleet 6
    for i in 1 2 3 4; do
        complete 1 "innocent order $i" 250 "$FLEET_DIR/quiet-$i" &
        CLIENT_PIDS+=($!)
    done
    wait "${CLIENT_PIDS[@]}"
    touch "$FLEET_DIR/deaths"
    restart_engines &
    local watcher=$!
    CLIENT_PIDS=()
    for i in 1 2 3 4; do
        complete $((i % 3 + 1)) "innocent order $i" 250 "$FLEET_DIR/innocent-$i" &
        CLIENT_PIDS+=($!)
    done
    sleep 0.3
    complete 1 "poison in the prompt" 20 "$FLEET_DIR/guilty"
    check "the guilty request is refused as a crash suspect" grep -q '^crash-suspect false' <<<"$(kind_of "$FLEET_DIR/guilty")"
    kind_of "$FLEET_DIR/guilty" | sed 's/^/      /'
    wait "${CLIENT_PIDS[@]}"
    for i in 1 2 3 4; do is_whole "$FLEET_DIR/innocent-$i" "$(text_of "$FLEET_DIR/quiet-$i")" || wrong=$((wrong + 1)); done
    check_equal "every innocent answer is whole" "$wrong" 0
    sleep 1
    deaths=$(wc -l <"$FLEET_DIR/deaths")
    check_between "engine deaths" "$deaths" 1 3
    fleet_wait 4 fleet_engines_ready 2 6
    complete 2 "poison in the prompt" 20 "$FLEET_DIR/resend"
    check "a resend to another entry VM is refused" grep -q '^crash-suspect' <<<"$(kind_of "$FLEET_DIR/resend")"
    sleep 1
    check_equal "without another death" "$(wc -l <"$FLEET_DIR/deaths")" "$deaths"
    touch "$FLEET_DIR/stop"
    wait "$watcher"
    # FLEET_PIDS lacks the engines that were started by the watcher's subshell.
    [ -e "$FLEET_DIR/restarted" ] && xargs -r kill -KILL <"$FLEET_DIR/restarted" 2>/dev/null
    ENGINE_FLAGS=
    CLIENT_PIDS=()
}

# model_client NUMBER ENTRIES...: requests streamed answers until the file "stop"
# exists.
model_client() {
    local n=0 number=$1
    shift
    while [ ! -e "$FLEET_DIR/stop" ]; do
        n=$((n + 1))
        complete "$1" "load $number" 20 "$FLEET_DIR/load-$number-$n"
        set -- "${@:2}" "$1"
    done
}
start_model_clients() {
    local i
    CLIENT_PIDS=()
    for i in 1 2 3 4 5 6; do
        model_client "$i" $((i % 3 + 1)) $(((i + 1) % 3 + 1)) $(((i + 2) % 3 + 1)) &
        CLIENT_PIDS+=($!)
    done
}
# check_answers: checks that all answers of the clients are complete.
check_answers() {
    local file wrong=0 count=0
    for file in "$FLEET_DIR"/load-*; do
        count=$((count + 1))
        grep -q '^data: \[DONE\]' "$file" && continue
        wrong=$((wrong + 1))
        [ "$wrong" -gt 3 ] || echo "      $(basename "$file"): $(kind_of "$file")"
    done
    check_equal "every one of $count answers is whole" "$wrong" 0
}

upstream_leaves() {
    local before after
    start_fleet 6
    start_model_clients
    sleep 1
    before=$(engine_state 4 newStreams)
    check "the upstream has streams before" test "${before:-0}" -gt 0
    engine_fault 4 '{"leave":true}'
    sleep 3
    before=$(engine_state 4 newStreams)
    sleep 1.5
    after=$(engine_state 4 newStreams)
    check_equal "a leaving upstream gets no new streams after 3 s" "$after" "$before"
    check "a drain is accepted" ctl 2 --operator=anna drain engine-5 on
    sleep 3
    before=$(engine_state 5 newStreams)
    sleep 1.5
    after=$(engine_state 5 newStreams)
    check_equal "a drained upstream gets no new streams after 3 s" "$after" "$before"
    check "the drain is lifted" ctl 3 --operator=anna drain engine-5 off
    check "it gets streams again within 4 s" fleet_wait 4 eval 'test "$(engine_state 5 newStreams)" -gt "'"$after"'"'
    stop_clients
    check_answers
}

entry_stops() {
    local start i
    start_fleet 3
    start_model_clients
    sleep 1
    start=$(now_ms)
    signal entry-2 TERM
    check "readiness fails at once" fleet_wait 1 eval '! fleet_ready 2'
    # The load balancer continues to send requests for the specified 5 s. Stops
    # earlier to leave time for requests in flight.
    sleep "$(awk -v ms=$((4600 - $(now_ms) + start)) 'BEGIN {print ms / 1000}')"
    stop_clients
    check_answers
    check "the process ends" fleet_wait 4 eval '! kill -0 "${FLEET_PIDS[entry-2]}"'
    wait "${FLEET_PIDS[entry-2]}"
    check_equal "with the exit status 0" "$?" 0
}

SCENARIOS=(replica_deaths leader_frozen quorum_lost entry_frozen disk_wiped many_sheets two_operators
    order_service_death entry_death_in_order engine_faults crash_request upstream_leaves entry_stops)
[ $# -gt 0 ] && SCENARIOS=("$@")

finish() {
    [ ${#CLIENT_PIDS[@]} -gt 0 ] && kill -KILL "${CLIENT_PIDS[@]}" 2>/dev/null
    fleet_stop
    if [ -n "${FAILURES_KEEP:-}" ]; then echo "The files are kept in $FLEET_DIR"; else rm -rf "$FLEET_DIR"; fi
    FLEET_DIR=""
}
trap '[ -z "$FLEET_DIR" ] || finish' EXIT
for scenario in "${SCENARIOS[@]}"; do
    started=$SECONDS
    CLIENT_PIDS=()
    "$scenario"
    finish
    echo "      $scenario took $((SECONDS - started)) s"
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
