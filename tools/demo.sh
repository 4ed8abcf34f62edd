#!/usr/bin/env bash
# Starts a fleet with three data centres on loopback. Demonstrates a request, an
# engine crash, an order that is sent twice, a leaving upstream and a sheet update,
# prints the merged timeline and stops the fleet. The last line of the output counts
# the checks.
set -uo pipefail
cd "$(dirname "$0")/.."
bash tools/build.sh >build-demo.log 2>&1 || { cat build-demo.log; exit 1; }
rm -f build-demo.log

export FLEET_MODELS=scriba:4.2,scriba:4.3 FLEET_LAYERS=48
. tools/fleet.sh
passed=0
failed=0

check() {
    local name=$1
    shift
    if "$@"; then
        passed=$((passed + 1))
        echo "ok    $name"
    else
        failed=$((failed + 1))
        echo "FAIL  $name"
    fi
}

fleet_prepare
trap 'fleet_stop; rm -rf "$FLEET_DIR"' EXIT
echo "Starting 3 replicas, 3 entry VMs, 6 engines and 2 order runners."
for i in 1 2 3; do fleet_replica "$i"; done
for i in 1 2 3; do fleet_entry "$i"; done
# Two engines for each of the layer ranges 0 to 15, 16 to 31 and 32 to 47.
for i in 1 2 3 4 5 6; do
    range=$((((i - 1) % 3) * 16))
    fleet_engine "engine-$i" "$i" "$range" "$((range + 15))" --accelerator=large --step-base-us=4000
done
for i in 1 2; do fleet_orders "$i"; done
check "the fleet is ready" fleet_wait 20 fleet_ready 1

check "a bad sheet is refused with row and column" bash -c "sed '2s/,48\$/,none/' examples/lacci.csv >'$FLEET_DIR/bad.csv'; ! $FLEET_BIN/arbutusctl sheet check '$FLEET_DIR/bad.csv'"
check "the morning sheet is accepted" fleet_ctl --operator=anna --number=1 sheet apply examples/lacci.csv
in_force() { fleet_ctl sheet status >/dev/null; }
check "it is in force on every entry VM within 4 s" fleet_wait 4 in_force
for i in 1 2 3; do check "entry VM $i has channels to 6 engines" fleet_wait 15 fleet_engines_ready "$i" 6; done

# complete ENTRY PROMPT TOKENS: prints the event stream of an answer.
complete() {
    curl -sN --max-time 40 -H "Authorization: Bearer token-fiere" \
        -d "{\"model\":\"scriba\",\"prompt\":\"$2\",\"max_tokens\":$3,\"stream\":true}" \
        "$(fleet_entry_url "$1")/v1/completions"
}
text_of() { sed -n 's/^data: //p' "$1" | grep -v DONE | jq -rj '.choices[0].text'; }
is_whole() { grep -q '^data: \[DONE\]' "$1" && [ "$(text_of "$1")" = "$2" ]; }

prompt="badge copy for the Palermo fair"
complete 1 "$prompt" 300 >"$FLEET_DIR/quiet.sse"
expected=$(text_of "$FLEET_DIR/quiet.sse")
check "an answer streams through three layer ranges" is_whole "$FLEET_DIR/quiet.sse" "$expected"

complete 2 "$prompt" 300 >"$FLEET_DIR/killed.sse" &
answer=$!
sleep 1
# Kills the engine for layers 16 to 31 that runs the stream.
for i in 2 5; do
    running=$(curl -s --max-time 2 "$(fleet_engine_url "$i")/engine/v1/state" | jq .running)
    if [ "${running:-0}" -gt 0 ]; then
        echo "Killing engine-$i in the middle of the stream."
        fleet_kill "engine-$i" KILL
        killed=$i
        break
    fi
done
wait "$answer"
check "a stage was killed while it ran the stream" test -n "${killed:-}"
check "the answer is whole and the same after the death of a stage" is_whole "$FLEET_DIR/killed.sse" "$expected"

order() {
    curl -s --max-time 20 -o "$FLEET_DIR/order-$2.json" -w '%{http_code}' -H "Authorization: Bearer token-fiere" \
        -H "Idempotency-Key: reel-7" -d "$3" "$(fleet_entry_url "$1")/v1/services/magazzino/reorders"
}
executions() {
    local i total=0 count
    for i in 1 2; do
        count=$(curl -s --max-time 2 "http://$(fleet_address "$i" 60):9100/fake/v1/executions" | jq '."reel-7" // 0')
        total=$((total + count))
    done
    echo $total
}
check "a reorder is placed" test "$(order 1 first 'reel=lanyard-20mm')" = 201
check "its resend through another entry VM gets an answer" test "$(order 3 second 'reel=lanyard-20mm')" = 201
check "both answers are the same" cmp -s "$FLEET_DIR/order-first.json" "$FLEET_DIR/order-second.json"
check "the reorder ran once" test "$(executions)" = 1
check "the same key with another order is refused" test "$(order 2 third 'reel=lanyard-25mm')" = 422

# Engine 4 leaves. Engine 1 continues to serve layers 0 to 15.
curl -s -o /dev/null -d '{"leave":true}' "$(fleet_engine_url 4)/engine/v1/faults"
sleep 3
before=$(curl -s "$(fleet_engine_url 4)/engine/v1/state" | jq .newStreams)
for i in 1 2 3; do complete "$i" "soldering notes $i" 10 >"$FLEET_DIR/leave-$i.sse"; done
after=$(curl -s "$(fleet_engine_url 4)/engine/v1/state" | jq .newStreams)
check "a leaving upstream gets no new work after 3 s" test "$before" = "$after"
for i in 1 2 3; do check "entry VM $i answers without it" grep -q DONE "$FLEET_DIR/leave-$i.sse"; done

check "an operator with an old base revision is refused" bash -c "! $FLEET_BIN/arbutusctl --entry=$(fleet_entry_url 2) --admin-token-file=$FLEET_DIR/admin.token --operator=bruno --number=1 --base=0 sheet apply examples/lacci-evening.csv"
check "the second sheet is accepted" fleet_ctl --operator=bruno --number=1 --base=1 sheet apply examples/lacci-evening.csv
check "it is in force on every entry VM within 4 s" fleet_wait 4 in_force
check "a resend of the first sheet gets the first acceptance" bash -c "$FLEET_BIN/arbutusctl --entry=$(fleet_entry_url 3) --admin-token-file=$FLEET_DIR/admin.token --operator=anna --number=1 --base=0 sheet apply examples/lacci.csv | grep -q 'Accepted before as revision 1'"

# An entry VM that receives SIGTERM completes its running answers.
complete 3 "$prompt" 300 >"$FLEET_DIR/drained.sse" &
answer=$!
sleep 0.5
fleet_kill entry-3 TERM
wait "$answer"
check "a graceful shutdown cuts off no request" grep -q '^data: \[DONE\]' "$FLEET_DIR/drained.sse"

# Orders continue after the leader is killed and a new one is elected.
leader=$(fleet_ctl replicas | awk '$1=="replica"{split($2,a,"/"); print a[1]}')
echo "Killing state-$leader, the leader."
fleet_kill "state-$leader" KILL
placed() { test "$(curl -s --max-time 10 -o /dev/null -w '%{http_code}' -H "Authorization: Bearer token-fiere" -H "Idempotency-Key: reel-8" -d reel=2 "$(fleet_entry_url 1)/v1/services/magazzino/reorders")" = 201; }
check "orders go on after the leader's death" fleet_wait 10 placed

echo
echo "Time line of the first reorder:"
fleet_ctl timeline order reel-7
echo
echo "Last events of all processes:"
fleet_ctl timeline 2>/dev/null | tail -25
fleet_stop
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
