#!/usr/bin/env bash
# Runs the path in separate processes on loopback: platform, fabric, targets, 3 balancers in 3 zones and callers. While
# the callers run, every balancer is restarted once and a changed configuration is published. The last line of output
# is the result as a JSON object; the exit code is not 0 when it violates a guarantee or a process failed.
#
# Logs and records are in a temporary folder, which is kept on failure or with --keep.
set -euo pipefail

seed=1
base=21000
duration_ms=20000
keep=false
build=true
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
bin=$root/target/debug
balancer=$bin/poplarpaddled
ctl=$bin/poplarctl

usage() {
    echo "usage: $0 [--seed N] [--base-port PORT] [--duration-ms MS] [--keep] [--no-build]"
    echo "          [--balancer PROGRAM] [--ctl PROGRAM]"
}

while (($# > 0)); do
    case $1 in
    --seed) seed=$2 && shift 2 ;;
    --base-port) base=$2 && shift 2 ;;
    --duration-ms) duration_ms=$2 && shift 2 ;;
    --balancer) balancer=$2 && shift 2 ;;
    --ctl) ctl=$2 && shift 2 ;;
    --keep) keep=true && shift ;;
    --no-build) build=false && shift ;;
    --help) usage && exit 0 ;;
    *) echo "flag $1 is unknown" >&2 && usage >&2 && exit 2 ;;
    esac
done

readonly fleet=okhotsk region=okhotsk host=127.0.0.1
readonly zones=(kitami abashiri monbetsu)
readonly pour_slot=127.30.0.1:8000 catalogue=127.30.0.2:8000
readonly pour_slot_targets=6 targets=9
readonly store=$host:$base fabric=$host:$((base + 1)) fabric_admin=$host:$((base + 2)) callers=$host:$((base + 3))
# Targets of two runs have equal addresses, so their load port follows from the base port.
readonly load_port=$((base + 900))

folder=$(mktemp -d "${TMPDIR:-/tmp}/poplarpaddle-local.XXXXXX")
declare -A pids=()
ok=false

say() { echo "$(date +%H:%M:%S) $*"; }
fail() { say "failed: $*" >&2 && exit 1; }

# Starts a process: name, program, arguments. Output goes to NAME.out (records) and NAME.err (logs).
start() {
    local name=$1 && shift
    "$@" >>"$folder/$name.out" 2>>"$folder/$name.err" &
    pids[$name]=$!
}

# Waits until a process has ended, at most $2 seconds, and returns its exit code.
await() {
    local name=$1 limit=$2 pid=${pids[$1]} code=0
    local end=$((SECONDS + limit))
    while kill -0 "$pid" 2>/dev/null; do
        ((SECONDS < end)) || fail "$name (process $pid) has not ended after $limit s"
        sleep 0.05
    done
    wait "$pid" || code=$?
    unset "pids[$name]"
    return "$code"
}

# Sends SIGTERM and expects exit code 0.
stop() {
    local name=$1 code=0
    kill -TERM "${pids[$name]}" 2>/dev/null || true
    await "$name" 30 || code=$?
    ((code == 0)) || fail "$name ended with exit code $code"
}

# Ends all processes that are left, by their ids.
clean() {
    local name left
    for name in "${!pids[@]}"; do kill -TERM "${pids[$name]}" 2>/dev/null || true; done
    for _ in {1..100}; do
        left=false
        for name in "${!pids[@]}"; do kill -0 "${pids[$name]}" 2>/dev/null && left=true; done
        $left || break
        sleep 0.05
    done
    for name in "${!pids[@]}"; do kill -KILL "${pids[$name]}" 2>/dev/null || true; done
    wait
    if $ok && ! $keep; then rm -rf "$folder"; else echo "logs and records: $folder" >&2; fi
}
trap clean EXIT
trap 'exit 130' INT TERM

# Sends one HTTP request (address, method, path, JSON body) and prints the answer with its head.
http() {
    local address=$1 method=$2 path=$3 body=${4:-}
    exec 3<>"/dev/tcp/${address%:*}/${address#*:}" || return 1
    printf '%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s' \
        "$method" "$path" "$address" "${#body}" "$body" >&3
    timeout 5 cat <&3
    exec 3>&-
}

# Waits until a GET answers 200: name of the process, address, path.
ready() {
    local name=$1 address=$2 path=$3
    for _ in {1..300}; do
        kill -0 "${pids[$name]}" 2>/dev/null || fail "$name ended while starting: $(tail -n 3 "$folder/$name.err")"
        [[ $( (http "$address" GET "$path") 2>/dev/null | head -n 1) == *" 200 "* ]] && return
        sleep 0.1
    done
    fail "$name does not answer 200 at http://$address$path"
}

post() {
    local answer
    answer=$(http "$1" POST "$2" "$3")
    [[ $answer == "HTTP/1.1 200 "* ]] || fail "POST http://$1$2: ${answer%%$'\r'*}"
}

data_address() { echo "$host:$((base + 100 + 3 * $1))"; }
relay_address() { echo "$host:$((base + 101 + 3 * $1))"; }
peer_address() { echo "$host:$((base + 102 + 3 * $1))"; }
target_address() { echo "127.10.0.$(($1 + 1))"; }
target_service() { if (($1 < pour_slot_targets)); then echo pour-slot; else echo catalogue; fi; }

write_settings() {
    local index=$1
    cat >"$folder/balancer-$index.ini" <<EOF
[node]
name = balancer-$index
zone = ${zones[$index]}
region = $region
fleet = $fleet

[listen]
data = $(data_address "$index")
relay = $(relay_address "$index")
peer = $(peer_address "$index")

[fabric]
address = $fabric

[store]
url = http://$store

[members]
seeds = $(peer_address 0), $(peer_address 1), $(peer_address 2)

[targets]
load_port = $load_port

[stop]
drain_ms = 2000
EOF
}

# Writes the set of objects; $1 is the index of a draining target, -1 for none.
write_objects() {
    local draining=$1 index separator=
    {
        echo '{"zones": {'
        for index in 0 1 2; do
            echo "$separator\"${zones[$index]}\": {\"name\": \"${zones[$index]}\", \"region\": \"$region\"}"
            separator=,
        done
        echo '}, "priorities": {'
        echo '"urgent": {"name": "urgent", "rank": 0, "share": 60, "queue_ms": 2000},'
        echo '"normal": {"name": "normal", "rank": 1, "share": 30, "queue_ms": 5000}'
        echo '}, "services": {'
        echo "\"pour-slot\": {\"name\": \"pour-slot\", \"address\": \"${pour_slot%:*}\","
        echo "  \"ports\": [{\"port\": ${pour_slot#*:}, \"priority\": \"urgent\"}]},"
        echo "\"catalogue\": {\"name\": \"catalogue\", \"address\": \"${catalogue%:*}\","
        echo "  \"ports\": [{\"port\": ${catalogue#*:}, \"priority\": \"normal\"}]}"
        echo '}, "targets": {'
        separator=
        for ((index = 0; index < targets; index++)); do
            echo "$separator\"target-$index\": {\"name\": \"target-$index\", \"service\": \"$(target_service "$index")\","
            echo "  \"zone\": \"${zones[$((index % 3))]}\", \"address\": \"$(target_address "$index")\", \"slots\": 2,"
            echo "  \"connections\": 4300, \"draining\": $([[ $index == "$draining" ]] && echo true || echo false)}"
            separator=,
        done
        echo '}}'
    } >"$folder/objects.json"
}

# The two calls of the operators' command line.
load_objects() { "$ctl" --store "http://$store" --fleet "$fleet" apply "$folder/objects.json" >>"$folder/ctl.out" 2>&1; }
publish() { "$ctl" --store "http://$store" --fleet "$fleet" publish >>"$folder/ctl.out" 2>&1; }

change_configuration() {
    write_objects "$1"
    load_objects || fail "objects not loaded: $(tail -n 3 "$folder/ctl.out")"
    publish || fail "configuration not published: $(tail -n 3 "$folder/ctl.out")"
}

start_platform() {
    start platform "$bin/standin-platform" --listen "$store" --vm-lag-ms 1000
    ready platform "$store" /admin
}

start_targets() {
    local index
    for ((index = 0; index < targets; index++)); do
        local address service
        address=$(target_address "$index") service=$(target_service "$index")
        start "target-$index" "$bin/standin-target" --address "$address" --port 8000 --service "$service" \
            --listen "$host:$((base + 10 + index))" --fabric "$fabric" --load-port "$load_port" --slots 2 \
            --connections 4300 --service-ms 5 --load-lag-ms 1000 --seed "$seed"
        post "$store" /vms "{\"name\": \"target-$index\", \"role\": \"target\", \"zone\": \"${zones[$((index % 3))]}\",
            \"address\": \"$address\", \"state\": \"live\"}"
    done
    for ((index = 0; index < targets; index++)); do
        ready "target-$index" "$(target_address "$index"):$load_port" /load
    done
}

start_fabric() {
    local index routes=()
    for ((index = 0; index < targets; index++)); do
        routes+=(--target "$(target_address "$index")=$host:$((base + 10 + index))")
    done
    for index in 0 1 2; do
        routes+=(--balancer "$(data_address "$index")=http://$(peer_address "$index")/health")
    done
    start fabric "$bin/standin-fabric" --listen "$fabric" --http "$fabric_admin" --service 127.30.0.0/16 \
        --caller "127.20.0.0/16=$callers" "${routes[@]}" --seed "$seed"
    ready fabric "$fabric_admin" /admin
}

start_balancer() { start "balancer-$1" "$balancer" --settings "$folder/balancer-$1.ini"; }

start_balancers() {
    local index
    for index in 0 1 2; do
        write_settings "$index"
        start_balancer "$index"
        post "$store" /vms "{\"name\": \"balancer-$index\", \"role\": \"balancer\", \"zone\": \"${zones[$index]}\",
            \"address\": \"$(peer_address "$index")\", \"state\": \"live\"}"
    done
    for index in 0 1 2; do ready "balancer-$index" "$(peer_address "$index")" /health; done
}

start_callers() {
    start callers "$bin/standin-caller" --listen "$callers" --fabric "$fabric" --prefix 127.20.0.0/16 \
        --service "pour-slot=$pour_slot" --service "catalogue=$catalogue" --rate 100 --long 200 \
        --duration-ms "$duration_ms" --seed "$seed"
}

restart_balancers() {
    local index
    for index in 0 1 2; do
        sleep 1
        say "restarting balancer-$index"
        stop "balancer-$index"
        start_balancer "$index"
        ready "balancer-$index" "$(peer_address "$index")" /health
        if ((index == 1)); then
            say "publishing a change: target-0 drains"
            change_configuration 0
        fi
    done
}

stop_all() {
    local index
    await callers $((duration_ms / 1000 + 60)) || fail "callers failed: $(tail -n 3 "$folder/callers.err")"
    http "$fabric_admin" GET /admin >"$folder/fabric-counts.txt"
    for index in 0 1 2; do stop "balancer-$index"; done
    for ((index = 0; index < targets; index++)); do stop "target-$index"; done
    stop fabric
    stop platform
}

if $build; then
    say "building"
    (cd "$root" && cargo build --workspace --quiet)
fi
for program in "$balancer" "$ctl"; do
    [[ -x $program ]] || fail "program $program does not exist"
done
say "starting, seed $seed, folder $folder"
start_platform
start_fabric
start_targets
change_configuration -1
start_balancers
start_callers
sleep 3
restart_balancers
say "waiting for the callers"
stop_all
result=0
"$bin/standin-judge" --seed "$seed" "$folder"/callers.out "$folder"/target-*.out >"$folder/result.json" || result=$?
((result == 0)) && ok=true
# The trap writes to standard error only, so this is the last line of output.
cat "$folder/result.json"
exit "$result"
