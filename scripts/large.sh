#!/usr/bin/env bash
# Runs a deployment of the size of current users on one machine: 15 balancers in 3 zones, 20 targets with 3 slots each,
# and about ten thousand long flows from several callers. Every balancer is restarted once, and a configuration in which
# a target drains is published. The last line of output is the result as a JSON object. The exit code is not 0 if a flow
# broke, another guarantee was violated or the configuration was not in force within 7 s.
set -euo pipefail

usage() {
    echo "usage: $0 [--seed N] [--base-port PORT] [--duration-ms MS] [--keep] [--no-build]"
    echo "          [--balancer PROGRAM] [--ctl PROGRAM]"
}

default_duration_ms=90000
# shellcheck source=scripts/lib.sh
source "$(dirname "${BASH_SOURCE[0]}")/lib.sh"

# The default of lib.sh is too short to restart all balancers.
((duration_ms == 20000)) && duration_ms=$default_duration_ms
balancers=15 targets=20 pour_slot_targets=15 slots=3
caller_processes=4
caller_flags=(--rate 50 --long 2500 --ramp-ms 15000 --pause-ms 8000)

run_large() {
    local index observer
    sleep 15
    for ((index = 0; index < balancers; index++)); do
        log "restarting balancer-$index"
        restart "$index"
        if ((index == 7)); then
            log "publishing a change: target-0 drains"
            change_configuration 0
            for ((observer = 0; observer < balancers; observer++)); do
                for _ in {1..70}; do
                    [[ $(http "$(peer_address "$observer")" GET /status) == *"\"generation\":2,\"digest\""* ]] && continue 2
                    sleep 0.1
                done
                fail "balancer-$observer does not have generation 2 after 7 s"
            done
        fi
    done
}

build_all
start_all
run_large
finish "\"scenario\":\"large\",\"balancers\":$balancers,\"targets\":$targets,"
