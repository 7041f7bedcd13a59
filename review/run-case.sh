#!/usr/bin/env bash
# Runs a case: run-case.sh FOLDER SCENARIO. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves the disruption out.
set -u
folder=$1 scenario=$2
root=$(cd "$folder/../.." && pwd)
program=$root/target/review/release/review-standin
if [ ! -x "$program" ] || [ ! -x "$root/target/release/poplarpaddle-edge" ]; then
    echo "run the build of the deploy file and review/build.sh first" >&2
    exit 2
fi
temporary=$(mktemp -d "${TMPDIR:-/tmp}/review.XXXXXX")
export TMPDIR=$temporary PIDS=$temporary/pids
: >"$PIDS"

# Ends what this run started, by process id; the program has ended its own already unless it was ended itself.
finish() {
    kill -KILL "$child" 2>/dev/null
    while read -r pid; do
        case $(readlink "/proc/$pid/exe" 2>/dev/null) in
        "$root"/target/release/poplarpaddle-edge*) kill -KILL "$pid" 2>/dev/null ;;
        esac
    done <"$PIDS"
    rm -rf "$temporary"
}
trap finish EXIT
trap 'exit 2' INT TERM

"$program" "$scenario" "$root" "$folder/record.txt" &
child=$!
status=0
wait "$child" || status=$?
case $status in
0 | 1) exit "$status" ;;
*) exit 2 ;;
esac
