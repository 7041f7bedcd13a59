# Functions that run the load balancer in separate processes on loopback; sourced by the other scripts in this folder.
# shellcheck shell=bash

seed=1
base=21000
duration_ms=20000
keep=false
build=true
scenario=
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
bin=$root/target/debug
balancer=$bin/poplarpaddled
ctl=$bin/poplarctl

# Parses the flags. The sourcing script defines the function usage.
parse_flags() {
    while (($# > 0)); do
        case $1 in
        --scenario) scenario=$2 && shift 2 ;;
        --all) scenario=all && shift ;;
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
}

parse_flags "$@"

readonly fleet=okhotsk region=okhotsk host=127.0.0.1
readonly zones=(kitami abashiri monbetsu)
readonly pour_slot=127.30.0.1:8000 catalogue=127.30.0.2:8000
# A script may set these variables before start_all.
balancers=3 pour_slot_targets=6 targets=9 slots=2 service_ms=5
caller_processes=1 caller_flags=(--rate 100 --long 200)
# With link=true, balancers reach one another and the store only through standin-link.
link=false
# Flags for standin-judge that name injected failures, whose broken flows it excuses.
judge_flags=()
# Index of a target for which no object is written, -1 for none.
omitted_target=-1
# By index of the target: extra flags, and the service that it runs if its object names another.
declare -A target_flags=() actual_service=()
# Number of balancers that start_balancers starts; all if empty.
initial_balancers=
readonly store=$host:$base fabric=$host:$((base + 1)) fabric_admin=$host:$((base + 2))
readonly link_host=127.0.9.1 link_admin=$host:$((base + 4))
# Concurrent runs use the same target addresses, so the load port depends on the base port.
readonly load_port=$((base + 900))

folder=$(mktemp -d "${TMPDIR:-/tmp}/poplarpaddle-local.XXXXXX")
declare -A pids=()
ok=false

log() { echo "$(date +%H:%M:%S) $*"; }
fail() { log "failed: $*" >&2 && exit 1; }

# Starts a process: name, program, arguments. Records are written to NAME.out, logs to NAME.err.
start() {
    local name=$1 && shift
    "$@" >>"$folder/$name.out" 2>>"$folder/$name.err" &
    pids[$name]=$!
}

# Waits until process $1 has exited, at most $2 seconds, and returns its exit code.
wait_for_exit() {
    local name=$1 limit=$2 pid=${pids[$1]} code=0
    local end=$((SECONDS + limit))
    while kill -0 "$pid" 2>/dev/null; do
        ((SECONDS < end)) || fail "$name (process $pid) has not exited after $limit s"
        sleep 0.05
    done
    wait "$pid" || code=$?
    unset "pids[$name]"
    return "$code"
}

# Sends SIGTERM to process $1 and expects exit code 0.
stop() {
    local name=$1 code=0
    kill -TERM "${pids[$name]}" 2>/dev/null || true
    wait_for_exit "$name" 30 || code=$?
    ((code == 0)) || fail "$name exited with code $code"
}

# Terminates all remaining processes by their ids, first with SIGTERM, after 5 s with SIGKILL.
cleanup() {
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
    if $ok && ! $keep; then rm -rf "$folder"; else echo "logs and records are in $folder" >&2; fi
}
trap cleanup EXIT
trap 'exit 130' INT TERM

# Sends one HTTP request (address, method, path, JSON body) and prints the response with its header.
http() {
    local address=$1 method=$2 path=$3 body=${4:-}
    exec 3<>"/dev/tcp/${address%:*}/${address#*:}" || return 1
    printf '%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s' \
        "$method" "$path" "$address" "${#body}" "$body" >&3
    timeout 5 cat <&3
    exec 3>&-
}

# Waits until a GET request returns status 200: name of the process, address, path.
wait_until_ready() {
    local name=$1 address=$2 path=$3
    for _ in {1..300}; do
        kill -0 "${pids[$name]}" 2>/dev/null || fail "$name exited while starting: $(tail -n 3 "$folder/$name.err")"
        [[ $( (http "$address" GET "$path") 2>/dev/null | head -n 1) == *" 200 "* ]] && return
        sleep 0.1
    done
    fail "$name does not return status 200 at http://$address$path"
}

# Sends a POST request (address, path, JSON body) and expects status 200.
post() {
    local response
    response=$(http "$1" POST "$2" "$3")
    [[ $response == "HTTP/1.1 200 "* ]] || fail "POST http://$1$2: ${response%%$'\r'*}"
}

zone_of() { echo "${zones[$(($1 % 3))]}"; }
# With a link, every zone has its own address, by which the link identifies the zone.
zone_host() { if $link; then echo "127.0.$(($1 % 3 + 1)).1"; else echo "$host"; fi; }
data_address() { echo "$host:$((base + 100 + 3 * $1))"; }
relay_address() { echo "$(zone_host "$1"):$((base + 101 + 3 * $1))"; }
peer_address() { echo "$(zone_host "$1"):$((base + 102 + 3 * $1))"; }
advertised_relay() { if $link; then echo "$link_host:$((base + 201 + 2 * $1))"; else relay_address "$1"; fi; }
advertised_peer() { if $link; then echo "$link_host:$((base + 200 + 2 * $1))"; else peer_address "$1"; fi; }
store_address() { if $link; then echo "$(zone_host "$1"):$((base + 5))"; else echo "$store"; fi; }
caller_address() { echo "$host:$((base + 400 + $1))"; }
caller_prefix() { echo "127.$((20 + $1)).0.0/16"; }
target_address() { echo "127.10.0.$(($1 + 1))"; }
target_service() { if (($1 < pour_slot_targets)); then echo pour-slot; else echo catalogue; fi; }

write_settings() {
    local index=$1
    cat >"$folder/balancer-$index.ini" <<EOF
[node]
name = balancer-$index
zone = $(zone_of "$index")
region = $region
fleet = $fleet

[listen]
data = $(data_address "$index")
relay = $(relay_address "$index")
peer = $(peer_address "$index")

[fabric]
address = $fabric

[store]
url = http://$(store_address "$index")

[members]
seeds = $(advertised_peer 0), $(advertised_peer 1), $(advertised_peer 2)

[targets]
load_port = $load_port

[stop]
drain_ms = 2000

[advertise]
relay = $(advertised_relay "$index")
peer = $(advertised_peer "$index")
EOF
}

# Writes one object: kind, name, JSON fields without the name.
write_object() { echo "{\"name\": \"$2\", $3}" >"$folder/objects/$1/$2.json"; }

# Writes the set of objects; $1 is the index of a draining target, -1 for none.
write_objects() {
    local draining=$1 index fields
    rm -rf "$folder/objects"
    mkdir -p "$folder"/objects/{zone,priority,service,target}
    for index in 0 1 2; do write_object zone "${zones[$index]}" "\"region\": \"$region\""; done
    write_object priority urgent '"rank": 0, "share": 60, "queue_ms": 2000'
    write_object priority normal '"rank": 1, "share": 30, "queue_ms": 5000'
    fields='"address": "%s", "ports": [{"port": %d, "priority": "%s"}]'
    # shellcheck disable=SC2059 # the format is the constant above
    write_object service pour-slot "$(printf "$fields" "${pour_slot%:*}" "${pour_slot#*:}" urgent)"
    # shellcheck disable=SC2059
    write_object service catalogue "$(printf "$fields" "${catalogue%:*}" "${catalogue#*:}" normal)"
    for ((index = 0; index < targets; index++)); do
        ((index != omitted_target)) || continue
        fields="\"service\": \"$(target_service "$index")\", \"zone\": \"$(zone_of "$index")\""
        fields+=", \"address\": \"$(target_address "$index")\", \"slots\": $slots, \"connections\": 4300"
        fields+=", \"draining\": $([[ $index == "$draining" ]] && echo true || echo false)"
        write_object target "target-$index" "$fields"
    done
}

# Publishes the folder of objects. Arguments are passed on to the command.
publish() {
    "$ctl" --store "http://$store" --fleet "$fleet" publish --from "$folder/objects" "$@" >>"$folder/ctl.out" 2>&1
}

# Writes and publishes the set of objects: index of the draining target (-1 for none), further flags of the command.
change_configuration() {
    write_objects "$1"
    publish "${@:2}" || fail "the configuration was not published: $(tail -n 3 "$folder/ctl.out")"
}

start_platform() {
    start platform "$bin/standin-platform" --listen "$store" --vm-lag-ms 1000
    wait_until_ready platform "$store" /admin
}

start_target() {
    local index=$1 address service
    address=$(target_address "$index") service=${actual_service[$index]:-$(target_service "$index")}
    # shellcheck disable=SC2086 # the flags are several words
    start "target-$index" "$bin/standin-target" --address "$address" --port 8000 --service "$service" \
        --listen "$host:$((base + 10 + index))" --fabric "$fabric" --load-port "$load_port" --slots "$slots" \
        --connections 4300 --service-ms "$service_ms" --load-lag-ms 1000 --seed "$seed" ${target_flags[$index]:-}
}

# Sets the state of a target in the VM list: index, state (live or leaving).
set_target_state() {
    post "$store" /vms "{\"name\": \"target-$1\", \"role\": \"target\", \"zone\": \"$(zone_of "$1")\",
        \"address\": \"$(target_address "$1")\", \"state\": \"$2\"}"
}

start_targets() {
    local index
    for ((index = 0; index < targets; index++)); do
        start_target "$index"
        set_target_state "$index" live
    done
    for ((index = 0; index < targets; index++)); do
        wait_until_ready "target-$index" "$(target_address "$index"):$load_port" /load
    done
}

start_link() {
    local index routes=()
    $link || return 0
    for ((index = 0; index < balancers; index++)); do
        routes+=(--tcp "$(advertised_peer "$index")=$(peer_address "$index")")
        routes+=(--udp "$(advertised_relay "$index")=$(relay_address "$index")")
        if ((index < 3)); then routes+=(--tcp "$(store_address "$index")=$store"); fi
    done
    start link "$bin/standin-link" --http "$link_admin" "${routes[@]}" --seed "$seed"
    wait_until_ready link "$link_admin" /admin
}

start_fabric() {
    local index routes=()
    for ((index = 0; index < targets; index++)); do
        routes+=(--target "$(target_address "$index")=$host:$((base + 10 + index))")
    done
    for ((index = 0; index < balancers; index++)); do
        routes+=(--balancer "$(data_address "$index")=http://$(peer_address "$index")/health")
    done
    for ((index = 0; index < caller_processes; index++)); do
        routes+=(--caller "$(caller_prefix "$index")=$(caller_address "$index")")
    done
    start fabric "$bin/standin-fabric" --listen "$fabric" --http "$fabric_admin" --service 127.30.0.0/16 "${routes[@]}" --seed "$seed"
    wait_until_ready fabric "$fabric_admin" /admin
}

start_balancer() { start "balancer-$1" "$balancer" --settings "$folder/balancer-$1.ini"; }

start_balancers() {
    local index
    for ((index = 0; index < balancers; index++)); do
        write_settings "$index"
        ((index < ${initial_balancers:-$balancers})) || continue
        start_balancer "$index"
        post "$store" /vms "{\"name\": \"balancer-$index\", \"role\": \"balancer\", \"zone\": \"$(zone_of "$index")\",
            \"address\": \"$(advertised_peer "$index")\", \"state\": \"live\"}"
    done
    for ((index = 0; index < ${initial_balancers:-$balancers}; index++)); do wait_until_ready "balancer-$index" "$(peer_address "$index")" /health; done
}

# Restarts a balancer gracefully and waits until it is ready.
restart() {
    stop "balancer-$1"
    start_balancer "$1"
    wait_until_ready "balancer-$1" "$(peer_address "$1")" /health
}

start_callers() {
    local index
    for ((index = 0; index < caller_processes; index++)); do
        start "callers-$index" "$bin/standin-caller" --listen "$(caller_address "$index")" --fabric "$fabric" \
            --prefix "$(caller_prefix "$index")" --service "pour-slot=$pour_slot" --service "catalogue=$catalogue" \
            "${caller_flags[@]}" --duration-ms "$duration_ms" --seed "$((seed + index))"
    done
}

# Waits for the callers, saves the counters, statuses and events, and stops all processes.
stop_all() {
    local index name
    for ((index = 0; index < caller_processes; index++)); do
        wait_for_exit "callers-$index" $((duration_ms / 1000 + 60)) ||
            fail "callers failed: $(tail -n 3 "$folder/callers-$index.err")"
    done
    http "$fabric_admin" GET /admin >"$folder/fabric-counts.txt"
    for ((index = 0; index < balancers; index++)); do
        [[ -n ${pids[balancer-$index]:-} ]] || continue
        http "$(peer_address "$index")" GET /status >"$folder/status-$index.txt"
        http "$(peer_address "$index")" GET /events >"$folder/events-$index.txt"
    done
    for name in "${!pids[@]}"; do
        if [[ $name == balancer-* ]]; then kill -TERM "${pids[$name]}"; fi
    done
    for ((index = 0; index < balancers; index++)); do
        [[ -z ${pids[balancer-$index]:-} ]] || stop "balancer-$index"
    done
    for ((index = 0; index < targets; index++)); do
        # A scenario may have killed the target.
        [[ -z ${pids[target-$index]:-} ]] || stop "target-$index"
    done
    stop fabric
    if $link; then stop link; fi
    stop platform
}

build_all() {
    if $build; then
        log "building"
        (cd "$root" && cargo build --workspace --quiet)
    fi
    local program
    for program in "$balancer" "$ctl"; do
        [[ -x $program ]] || fail "program $program does not exist"
    done
}

start_all() {
    log "starting, seed $seed, folder $folder"
    start_platform
    start_link
    start_fabric
    start_targets
    change_configuration -1
    start_balancers
    start_callers
    sleep 3
}

# Evaluates the records of callers and targets and writes result.json. The exit code is not 0 if a guarantee is violated.
evaluate_records() {
    "$bin/standin-judge" --seed "$seed" "${judge_flags[@]}" "$folder"/callers-*.out "$folder"/target-*.out \
        >"$folder/result.json"
}

# Waits for the callers, stops all processes and prints the result. $1 is inserted at the start of the JSON object.
finish() {
    local result=0
    log "waiting for the callers"
    stop_all
    evaluate_records || result=$?
    if [[ -e $folder/generations.txt ]]; then check_generations; fi
    ((result == 0)) && ok=true
    # The exit trap writes to standard error only, so this is the last line of output.
    sed "1s/{/{$1/" "$folder/result.json"
    exit "$result"
}
