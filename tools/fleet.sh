#!/usr/bin/env bash
# Functions that start and stop a small fleet on loopback addresses. Sourced by the
# demo, the failure scenarios and the benchmarks. fleet_stop kills all started
# processes by process id.
# 127.1.0.x is Catania, 127.2.0.x is Palermo and 127.3.0.x is Ragusa. FLEET_SHIFT is
# added to the second byte, which allows several fleets on one machine.

FLEET_BIN=${FLEET_BIN:-build/bin}
FLEET_DIR=""
FLEET_ENTRIES=${FLEET_ENTRIES:-3}
FLEET_SHIFT=${FLEET_SHIFT:-0}
declare -A FLEET_PIDS=()
FLEET_CENTRES=(catania palermo ragusa)

fleet_address() { echo "127.$((($1 - 1) % 3 + 1 + FLEET_SHIFT)).0.$(($2 + ($1 - 1) / 3))"; }
fleet_centre() { echo "${FLEET_CENTRES[$((($1 - 1) % 3))]}"; }

fleet_prepare() {
    FLEET_DIR=$(mktemp -d)
    head -c 32 /dev/urandom | base64 >"$FLEET_DIR/cluster.key"
    head -c 18 /dev/urandom | base64 >"$FLEET_DIR/admin.token"
    cut -d, -f2 examples/lacci.csv | tail -n +2 | sort -u | while read -r team; do
        echo "token-$team $team"
    done >"$FLEET_DIR/team.tokens"
}

# fleet_run NAME COMMAND...: starts a process in the background.
fleet_run() {
    local name=$1
    shift
    "$@" >"$FLEET_DIR/$name.out" 2>>"$FLEET_DIR/$name.log" &
    FLEET_PIDS[$name]=$!
}

fleet_replica_peers() {
    local list="" i
    for i in 1 2 3; do list+="$i:$(fleet_address "$i" 10):8181,"; done
    echo "${list%,}"
}

fleet_replica() {
    fleet_run "state-$1" "$FLEET_BIN/arbutus-state" --replica="$1" --address="$(fleet_address "$1" 10)" \
        --data-folder="$FLEET_DIR/state-$1" --peers="$(fleet_replica_peers)" \
        --cluster-key-file="$FLEET_DIR/cluster.key" --admin-token-file="$FLEET_DIR/admin.token" ${FLEET_REPLICA_FLAGS:-}
}

fleet_entry() {
    local replicas="" seeds="" i
    for i in 1 2 3; do replicas+="$(fleet_address "$i" 10):8181:8182,"; done
    for ((i = 1; i <= FLEET_ENTRIES; ++i)); do [ "$i" -eq "$1" ] || seeds+="$(fleet_address "$i" 20):8081,"; done
    fleet_run "entry-$1" "$FLEET_BIN/arbutus-entry" --id="entry-$1" --address="$(fleet_address "$1" 20)" \
        --data-centre="$(fleet_centre "$1")" --replicas="${replicas%,}" --seeds="${seeds%,}" \
        --cluster-key-file="$FLEET_DIR/cluster.key" --admin-token-file="$FLEET_DIR/admin.token" \
        --team-tokens-file="$FLEET_DIR/team.tokens" --placement="${FLEET_PLACEMENT:-off}" ${FLEET_ENTRY_FLAGS:-}
}

fleet_entry_url() { echo "http://$(fleet_address "$1" 20):8080"; }

fleet_entry_urls() {
    local list="" i
    for ((i = 1; i <= FLEET_ENTRIES; ++i)); do list+="$(fleet_entry_url "$i"),"; done
    echo "${list%,}"
}

# fleet_engine NAME INDEX FIRST LAST [FLAGS...]: starts an engine for layers FIRST to
# LAST. FLEET_LAYERS must match the number of layers in the sheet.
fleet_engine() {
    local name=$1 index=$2 first=$3 last=$4
    shift 4
    fleet_run "$name" "$FLEET_BIN/fake-engine" --id="$name" --address="$(fleet_address "$index" 100)" --port=9000 \
        --data-centre="$(fleet_centre "$index")" --models="$FLEET_MODELS" --first-layer="$first" --last-layer="$last" \
        --layers="$FLEET_LAYERS" --entries="$(fleet_entry_urls)" "$@"
}

fleet_engine_url() { echo "http://$(fleet_address "$1" 100):9000"; }

fleet_orders() {
    fleet_run "magazzino-$1" "$FLEET_BIN/fake-orders" --id="magazzino-$1" --service=magazzino \
        --address="$(fleet_address "$1" 60)" --port=9100 --data-centre="$(fleet_centre "$1")" --entries="$(fleet_entry_urls)"
}

fleet_ctl() { "$FLEET_BIN/arbutusctl" --entry="${FLEET_CTL_ENTRY:-$(fleet_entry_url 1)}" --admin-token-file="$FLEET_DIR/admin.token" "$@"; }

# fleet_wait SECONDS COMMAND...: repeats the command until it succeeds or time runs out.
fleet_wait() {
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ $SECONDS -lt $end ] || return 1
        sleep 0.1
    done
}

fleet_ready() { curl -fsS --max-time 2 "$(fleet_entry_url "$1")/readyz"; }

# fleet_engines_ready ENTRY COUNT: succeeds if the entry VM has at least COUNT ready
# engines.
fleet_engines_ready() {
    local count
    count=$(curl -fsS --max-time 2 "$(fleet_entry_url "$1")/metrics" | awk '/^arbutus_engines_ready /{print int($2)}')
    [ "${count:-0}" -ge "$2" ]
}

fleet_kill() { kill -"${2:-TERM}" "${FLEET_PIDS[$1]}" 2>/dev/null; }

fleet_stop() {
    local name
    for name in "${!FLEET_PIDS[@]}"; do kill -KILL "${FLEET_PIDS[$name]}" 2>/dev/null; done
    for name in "${!FLEET_PIDS[@]}"; do wait "${FLEET_PIDS[$name]}" 2>/dev/null; done
    FLEET_PIDS=()
}
