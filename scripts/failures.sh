#!/usr/bin/env bash
# Brings about one failure, or several at once, while callers run through the path in separate processes on loopback.
# The last line of output is the result as a JSON object with the scenario; the exit code is not 0 when it violates a
# guarantee or a process failed. `--help` names the scenarios.
#
# Logs and records are in a temporary folder, which is kept on failure or with --keep.
set -euo pipefail

usage() {
    echo "usage: $0 --scenario NAME [--seed N] [--base-port PORT] [--duration-ms MS] [--keep] [--no-build]"
    echo "scenarios:"
    echo "  kill            a balancer is killed and started again, then the next one"
    echo "  freeze          a balancer is stopped for 12 s, so that its leases lapse, and continued"
    echo "  mass            all balancers are replaced one right after the other, each drain overlapping the next start"
    echo "  outage          the platform is down while every balancer is restarted"
    echo "  lost-answers    the platform loses the answers of writes while a change is published"
    echo "  race            two operators publish at the same time"
    echo "  loss            the fabric loses 1 %, duplicates 1 % and reorders 5 % of the packets during a rolling restart"
    echo "  kill-and-drain  a balancer is killed while a target drains"
    echo "  freeze-outage   a balancer is frozen while the platform is down"
    echo "  silence         open flows go silent for good; they have to be reset so that callers can reconnect"
}

# shellcheck source=scripts/lib.sh
source "$(dirname "${BASH_SOURCE[0]}")/lib.sh"

# Ends a balancer without warning.
kill_balancer() {
    say "killing balancer-$1"
    kill -KILL "${pids[balancer-$1]}"
    wait "${pids[balancer-$1]}" 2>/dev/null || true
    unset "pids[balancer-$1]"
}

revive_balancer() {
    start_balancer "$1"
    ready "balancer-$1" "$(peer_address "$1")" /health
}

freeze_balancer() {
    say "freezing balancer-$1 for $2 s"
    kill -STOP "${pids[balancer-$1]}"
    sleep "$2"
    kill -CONT "${pids[balancer-$1]}"
}

run_kill() {
    local index
    for index in 0 1; do
        kill_balancer "$index"
        sleep 5
        revive_balancer "$index"
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
    say "platform down"
    post "$store" /admin '{"outage": "silent"}'
    for index in 0 1 2; do restart "$index"; done
    "$ctl" --store "http://$store" --fleet "$fleet" publish >>"$folder/ctl.out" 2>&1 &&
        fail "a publish succeeded while the platform is down"
    say "platform up"
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
    say "exit codes of the two publishes: $first and $second"
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
    revive_balancer 0
}

run_freeze_outage() {
    post "$store" /admin '{"outage": "silent"}'
    freeze_balancer 1 8
    post "$store" /admin '{"outage": "none"}'
}

run_silence() {
    say "open flows go silent"
    post "$fabric_admin" /admin '{"silence": {"share": 1.0}}'
}

# Waits until every balancer reports at least this generation; it has to be in force within 7 s.
expect_generation() {
    local index
    for index in 0 1 2; do
        for _ in {1..70}; do
            status=$(http "$(peer_address "$index")" GET /status)
            [[ $status == *"\"fleet\":\"$fleet\",\"generation\":$1,"* ]] && continue 2
            sleep 0.1
        done
        fail "balancer-$index does not have generation $1 after 7 s"
    done
    say "generation $1 is in force everywhere"
}

name=run_${scenario//-/_}
declare -F "$name" >/dev/null || { usage >&2 && exit 2; }
build_all
start_all
"$name"
finish "\"scenario\":\"$scenario\","
