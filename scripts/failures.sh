#!/usr/bin/env bash
# Injects one failure, or several at once, while callers send traffic through separate processes on loopback.
# The last line of output is the result as a JSON object with the scenario. The exit code is not 0 if a guarantee was
# violated or a process failed. `--help` lists the scenarios.
#
# Logs and records are in a temporary folder, which is kept on failure or with --keep.
set -euo pipefail

usage() {
    echo "usage: $0 --scenario NAME | --all  [--seed N] [--base-port PORT] [--duration-ms MS] [--keep] [--no-build]"
    echo "scenarios:"
    echo "  kill                a balancer is killed and started again, then the next one"
    echo "  kill-two            two balancers are killed at the same time and started again"
    echo "  kill-frozen         a balancer is killed while another one is frozen, which then resumes"
    echo "  freeze              a balancer is stopped for 12 s, so that its leases lapse, and continued"
    echo "  mass                all balancers are replaced, one right after the other, twice"
    echo "  mass-overlap        three new balancers replace all three within seconds during an outage and a publish"
    echo "  outage              the platform is down while every balancer is restarted"
    echo "  outage-publish      a publish runs during an outage and is repeated after it"
    echo "  slow-store          every call to the store takes 2 s while a change is published"
    echo "  lost-answers        the platform loses the responses to writes while a change is published"
    echo "  race                two operators publish at the same time"
    echo "  loss                the fabric loses 1 %, duplicates 1 % and reorders 5 % of the packets during a rolling restart"
    echo "  duplicate           the fabric delivers every packet twice, to two balancers"
    echo "  crossed             responses are delayed and reordered, and caller ports are reused within seconds"
    echo "  kill-and-drain      a balancer is killed while a target drains"
    echo "  freeze-outage       a balancer is frozen while the platform is down"
    echo "  silence             open flows stay silent; they have to be reset so that callers can reconnect"
    echo "  zone-peers          a zone is cut off from the other zones during a publish"
    echo "  zone-platform       a zone is cut off from the platform during a publish"
    echo "  zone-both           a zone is cut off from the other zones and the platform during a publish"
    echo "  zone-twice          a zone is cut off from both, twice in a row, with a publish in each cut"
    echo "  zone-fabric         a zone is cut off from both and reaches only its own targets"
    echo "  zone-restart        a rolling restart while a zone is cut off from the platform"
    echo "  slow-links          links between balancers take 200 ms and lose 5 % of the datagrams during a rolling restart"
    echo "  target-kill         a target is killed; only its own flows may break"
    echo "  target-kill-balancer  a target and a balancer are killed at the same time"
    echo "  target-object       the object of a target sets it to draining"
    echo "  target-report       the load report of a target sets it to draining"
    echo "  target-vm           the VM list sets a target to leaving, then the platform is down"
    echo "  target-odd          targets that shed, start cold and report misleading load"
    echo "  target-misplaced    a target runs another service than its object says"
    echo "  target-move         a target moves to another service; the check rejects it"
}

# shellcheck source=scripts/lib.sh
source "$(dirname "${BASH_SOURCE[0]}")/lib.sh"

# Kills a balancer with SIGKILL.
kill_balancer() {
    log "killing balancer-$1"
    kill -KILL "${pids[balancer-$1]}"
    wait "${pids[balancer-$1]}" 2>/dev/null || true
    unset "pids[balancer-$1]"
}

start_killed_balancer() {
    start_balancer "$1"
    wait_until_ready "balancer-$1" "$(peer_address "$1")" /health
}

freeze_balancer() {
    log "freezing balancer-$1 for $2 s"
    kill -STOP "${pids[balancer-$1]}"
    sleep "$2"
    kill -CONT "${pids[balancer-$1]}"
}

run_kill() {
    local index
    for index in 0 1; do
        kill_balancer "$index"
        sleep 5
        start_killed_balancer "$index"
        sleep 2
    done
}

run_freeze() { freeze_balancer 1 12; }

run_mass() {
    local index
    for index in 0 1 2; do
        restart "$index"
    done
    for index in 2 1 0; do
        restart "$index"
    done
}

run_outage() {
    local index
    log "platform down"
    post "$store" /admin '{"outage": "silent"}'
    for index in 0 1 2; do restart "$index"; done
    "$ctl" --store "http://$store" --fleet "$fleet" publish >>"$folder/ctl.out" 2>&1 &&
        fail "a publish succeeded while the platform is down"
    log "platform up"
    post "$store" /admin '{"outage": "none"}'
    change_configuration 0
    expect_generation 2
}

run_lost_answers() {
    post "$store" /admin '{"lose_answers": 3}'
    change_configuration 0
    post "$store" /admin '{"lose_answers": 3}'
    change_configuration 1
    expect_generation 3
}

run_race() {
    local first=0 second=0
    write_objects 0
    "$ctl" --store "http://$store" --fleet "$fleet" publish --from "$folder/objects" >"$folder/first.out" 2>&1 &
    local pid=$!
    "$ctl" --store "http://$store" --fleet "$fleet" publish --from "$folder/objects" >"$folder/second.out" 2>&1 || second=$?
    wait "$pid" || first=$?
    log "exit codes of the two publishes: $first and $second"
    ((first == 0 || second == 0)) || fail "no publish succeeded"
    expect_generation 2
}

run_loss() {
    local index
    post "$fabric_admin" /admin '{"loss": 0.01, "duplicate": 0.01, "reorder": 0.05}'
    for index in 0 1 2; do restart "$index"; done
    post "$fabric_admin" /admin '{"loss": 0.0, "duplicate": 0.0, "reorder": 0.0}'
}

run_kill_and_drain() {
    change_configuration 0
    kill_balancer 0
    sleep 5
    start_killed_balancer 0
}

run_freeze_outage() {
    post "$store" /admin '{"outage": "silent"}'
    freeze_balancer 1 8
    post "$store" /admin '{"outage": "none"}'
}

# The owner resets a silent flow at the first retransmission of its payload after 10 s. Callers double the time between
# retransmissions and retransmit after 7 s and 15 s, so their timeout has to be longer than 15 s.
prepare_silence() { caller_flags+=(--timeout-ms 25000); }

run_silence() {
    local response
    log "silencing open flows"
    # With a middlebox between callers and balancers, nothing that a balancer sends could reach the caller.
    response=$(http "$fabric_admin" POST /admin '{"silent_targets": true, "silence": {"share": 1.0}}')
    [[ $response =~ \"silenced\":([0-9]+) ]] || fail "no flows were silenced: $response"
    judge_flags+=(--silenced "${BASH_REMATCH[1]}")
}

run_kill_two() {
    kill_balancer 0
    kill_balancer 1
    sleep 6
    start_killed_balancer 0
    start_killed_balancer 1
}

run_kill_frozen() {
    log "freezing balancer-1"
    kill -STOP "${pids[balancer-1]}"
    sleep 1
    kill_balancer 0
    sleep 6
    kill -CONT "${pids[balancer-1]}"
    start_killed_balancer 0
}

prepare_mass_overlap() { balancers=6 initial_balancers=3; }

run_mass_overlap() {
    local index
    log "publishing and replacing all balancers during an outage"
    change_configuration 0
    post "$store" /admin '{"outage": "silent"}'
    for index in 3 4 5; do start_balancer "$index"; done
    for index in 3 4 5; do wait_until_ready "balancer-$index" "$(peer_address "$index")" /health; done
    for index in 0 1 2; do kill -TERM "${pids[balancer-$index]}"; done
    for index in 0 1 2; do stop "balancer-$index"; done
    post "$store" /admin '{"outage": "none"}'
    expect_generation 2 3 4 5
}

run_outage_publish() {
    local code=0
    post "$store" /admin '{"outage": "silent"}'
    write_objects 0
    publish || code=$?
    ((code != 0)) || fail "a publish succeeded while the platform is down"
    post "$store" /admin '{"outage": "none"}'
    change_configuration 0
    expect_generation 2
}

run_slow_store() {
    post "$store" /admin '{"slow_ms": 2000}'
    sleep 3
    change_configuration 0
    expect_generation 2
    post "$store" /admin '{"slow_ms": 0}'
}

run_duplicate() {
    post "$fabric_admin" /admin '{"duplicate": 1.0}'
    sleep 10
    post "$fabric_admin" /admin '{"duplicate": 0.0}'
}

prepare_crossed() { caller_flags=(--rate 100 --long 200 --addresses 8 --ports 64 --pipeline 3); }

run_crossed() {
    post "$fabric_admin" /admin '{"delay_ms": 20, "reorder": 0.5, "duplicate": 0.1}'
    restart 0
    sleep 8
    post "$fabric_admin" /admin '{"delay_ms": 0, "reorder": 0.0, "duplicate": 0.0}'
}

# Cuts zone 0 off from "peers", "platform" or "both"; "none" restores all links.
cut_zone() {
    local peers='["127.0.1.0/24", "127.0.2.0/24"], ["127.0.1.0/24", "127.0.3.0/24"]'
    local platform='["127.0.1.0/24", "127.0.0.1"]'
    log "zone ${zones[0]} is cut off from $1"
    case $1 in
    peers) post "$link_admin" /admin "{\"cut\": [$peers]}" ;;
    platform) post "$link_admin" /admin "{\"cut\": [$platform]}" ;;
    both) post "$link_admin" /admin "{\"cut\": [$peers, $platform]}" ;;
    none) post "$link_admin" /admin '{"cut": []}' ;;
    esac
}

prepare_zone_peers() { link=true; }
run_zone_peers() {
    cut_zone peers
    sleep 5
    change_configuration 0
    # The lease holders of the zone still watch the manifest.
    expect_generation 2
    sleep 4
    cut_zone none
    sleep 3
}

prepare_zone_platform() { link=true; }
run_zone_platform() {
    cut_zone platform
    sleep 5
    change_configuration 0
    expect_generation 2
    sleep 4
    cut_zone none
    sleep 3
}

prepare_zone_both() { link=true; }
run_zone_both() {
    cut_zone both
    sleep 5
    change_configuration 0
    expect_generation 2 1 2
    sleep 4
    expect_stale 1 0
    cut_zone none
    expect_generation 2
}

prepare_zone_twice() { link=true; }
run_zone_twice() {
    cut_zone both
    sleep 4
    change_configuration 0
    expect_generation 2 1 2
    cut_zone none
    expect_generation 2
    cut_zone both
    sleep 4
    change_configuration -1
    expect_generation 3 1 2
    cut_zone none
    expect_generation 3
}

prepare_zone_fabric() { link=true; }
run_zone_fabric() {
    local index cuts=()
    cut_zone both
    for ((index = 0; index < targets; index++)); do
        ((index % 3 == 0)) || cuts+=("[\"$(data_address 0)\", \"$host:$((base + 10 + index))\"]")
    done
    post "$fabric_admin" /admin "{\"cut\": [$(IFS=, && echo "${cuts[*]}")]}"
    sleep 12
    post "$fabric_admin" /admin '{"cut": []}'
    cut_zone none
    sleep 2
}

prepare_zone_restart() { link=true; }
run_zone_restart() {
    local index
    cut_zone platform
    for index in 0 1 2; do restart "$index"; done
    cut_zone none
}

prepare_slow_links() { link=true; }
run_slow_links() {
    local index
    post "$link_admin" /admin '{"delay_ms": 200, "loss": 0.05}'
    for index in 0 1 2; do restart "$index"; done
    post "$link_admin" /admin '{}'
}

kill_target() {
    log "killing target-$1"
    kill -KILL "${pids[target-$1]}"
    wait "${pids[target-$1]}" 2>/dev/null || true
    unset "pids[target-$1]"
    judge_flags+=(--killed-target "$(target_address "$1")")
}

run_target_kill() {
    kill_target 1
    sleep 8
    kill_target 7
}

run_target_kill_balancer() {
    kill_target 1
    kill_balancer 0
    sleep 6
    start_killed_balancer 0
}

# Makes a target record new connections from now on, while its load report says that it serves.
record_openings() {
    post "$(target_address "$1"):$load_port" /admin '{"draining": true, "misleading": {"state": "serving"}}'
}

run_target_object() {
    change_configuration 1
    record_openings 1
}

run_target_report() { post "$(target_address 1):$load_port" /admin '{"draining": true}'; }

run_target_vm() {
    record_openings 1
    set_target_state 1 leaving
    # The VM list lags by 1 s and is read once a second.
    sleep 3
    log "platform down"
    post "$store" /admin '{"outage": "silent"}'
    restart 0
    sleep 6
    post "$store" /admin '{"outage": "none"}'
}

prepare_target_odd() {
    target_flags[0]="--queue 0"
    target_flags[1]="--cold-ms 10000"
    target_flags[2]="--load-busy 0 --queue 2"
    target_flags[7]="--load-busy 999"
}
run_target_odd() { restart 0; }

prepare_target_misplaced() { actual_service[2]=catalogue; }
run_target_misplaced() {
    restart 0
    sleep 2
    http "$(target_address 2):$load_port" GET /admin >"$folder/misplaced.txt"
    log "misplaced target: $(tail -n 1 "$folder/misplaced.txt")"
}

run_target_move() {
    local code=0
    write_objects -1
    sed -i 's/"pour-slot"/"catalogue"/' "$folder/objects/target/target-2.json"
    publish || code=$?
    ((code != 0)) || fail "a publish that moves a target to another service succeeded"
    omitted_target=2
    change_configuration -1 --prune
    omitted_target=-1
    write_objects -1
    sed -i 's/"pour-slot"/"catalogue"/' "$folder/objects/target/target-2.json"
    code=0
    publish || code=$?
    ((code != 0)) || fail "a target was added to another service right after it was removed from the first"
    log "rejected: $(tail -n 2 "$folder/ctl.out")"
    expect_generation 2
}

generation_of() {
    local response
    response=$(http "$(peer_address "$1")" GET /status 2>/dev/null) || return 0
    [[ $response =~ \"fleet\":\"$fleet\",\"generation\":([0-9]+) ]] && echo "${BASH_REMATCH[1]}"
    return 0
}

# Waits until balancers report generation $1, which must happen within 7 s. The other arguments are the indexes of the
# balancers; the default is all balancers.
expect_generation() {
    local expected=$1 index end=$((SECONDS + 7)) && shift
    (($# > 0)) || set -- $(seq 0 $((balancers - 1)))
    for index in "$@"; do
        until [[ $(generation_of "$index") == "$expected" ]]; do
            ((SECONDS <= end)) || fail "balancer-$index does not have generation $expected after 7 s"
            sleep 0.1
        done
    done
    log "generation $expected is in force at: $*"
}

# Expects that balancer $2 still reports generation $1.
expect_stale() {
    [[ $(generation_of "$2") == "$1" ]] ||
        fail "balancer-$2 left generation $1 although it is cut off from its peers and the platform"
}

# Records the generations of all balancers until the callers end.
watch_generations() {
    local index
    while kill -0 "${pids[callers-0]}" 2>/dev/null; do
        for ((index = 0; index < balancers; index++)); do
            echo "$index $(generation_of "$index")" >>"$folder/generations.txt"
        done
        sleep 0.3
    done
}

# A balancer's generation never decreases, not even across a restart, since a new process receives it from its peers.
check_generations() {
    awk 'NF == 2 && $2 > 0 { if ($2 < seen[$1]) { print "balancer-" $1 " reverted from " seen[$1] " to " $2; bad = 1 }
        seen[$1] = $2 } END { exit bad }' "$folder/generations.txt" || fail "a configuration was reverted"
}

# Runs every scenario. A failure of a scenario that KNOWN-RED.txt lists is reported but does not fail the run.
run_all() {
    local name passed=0 failed=() known=() flags=(--seed "$seed" --base-port "$base" --duration-ms "$duration_ms" --no-build)
    build_all
    for name in $(usage | awk '/^scenarios:/ { on = 1; next } on { print $1 }'); do
        if "$0" --scenario "$name" "${flags[@]}" --balancer "$balancer" --ctl "$ctl" | tail -n 1; then
            passed=$((passed + 1))
        elif grep -q -- "--scenario $name " "$root/KNOWN-RED.txt" 2>/dev/null; then
            known+=("\"$name\"")
        else
            failed+=("\"$name\"")
        fi
    done
    ok=true
    echo "{\"passed\":$passed,\"failed\":[$(IFS=, && echo "${failed[*]}")],\"known_red\":[$(IFS=, && echo "${known[*]}")],\"seed\":$seed}"
    ((${#failed[@]} == 0))
}

if [[ $scenario == all ]]; then
    run_all
    exit
fi
name=${scenario//-/_}
declare -F "run_$name" >/dev/null || { usage >&2 && exit 2; }
if declare -F "prepare_$name" >/dev/null; then "prepare_$name"; fi
build_all
start_all
watch_generations &
"run_$name"
finish "\"scenario\":\"$scenario\","
