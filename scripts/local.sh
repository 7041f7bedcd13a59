#!/usr/bin/env bash
# Runs the system in separate processes on loopback: platform, fabric, targets, 3 balancers in 3 zones and callers. While
# the callers run, every balancer is restarted once and a changed configuration is published. The last line of output
# is the result as a JSON object. The exit code is not 0 if a guarantee was violated or a process failed.
#
# Logs and records are in a temporary folder, which is kept on failure or with --keep.
set -euo pipefail

# With --platform, platform.sh runs the balancers against a stand-in of the operators' platform.
if [[ ${1:-} == --platform ]]; then
    shift
    exec "$(dirname "${BASH_SOURCE[0]}")/platform.sh" "$@"
fi

usage() {
    echo "usage: $0 --platform [FLAGS OF platform.sh]"
    echo "usage: $0 [--seed N] [--base-port PORT] [--duration-ms MS] [--keep] [--no-build]"
    echo "          [--balancer PROGRAM] [--ctl PROGRAM]"
}

# shellcheck source=scripts/lib.sh
source "$(dirname "${BASH_SOURCE[0]}")/lib.sh"

restart_balancers() {
    local index
    for index in 0 1 2; do
        log "restarting balancer-$index"
        restart "$index"
        if ((index == 1)); then
            log "publishing a change: target-0 drains"
            change_configuration 0
        fi
    done
}

build_all
start_all
restart_balancers
finish ""
