#!/bin/sh
# Runs a case of the second review: run-case-2.sh FOLDER CASE. Writes FOLDER/record.txt. Exits with 1 if the rule was broken, 0 if
# it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -u
here=$1 case=$2
root=$(cd "$here/../.." && pwd)
site=$root/target/review-2/release/review-site-2
if [ ! -x "$site" ] || [ ! -x "$root/target/release/poplarpaddle-edge" ]; then
    echo "run the build of the deploy file and review/build-2.sh first" >&2
    exit 2
fi
cd "$root" || exit 2
folder=$(mktemp -d "${TMPDIR:-/tmp}/review-2.XXXXXX") || exit 2
child=

# Ends what this run started, by process id. The stand-in ends its processes itself unless it was killed.
finish() {
    [ -n "$child" ] && kill -KILL "$child" 2>/dev/null
    [ -f "$folder/pids" ] && while read -r pid; do
        case $(readlink "/proc/$pid/exe" 2>/dev/null) in
        "$root"/target/release/poplarpaddle-edge*) kill -KILL "$pid" 2>/dev/null ;;
        esac
    done <"$folder/pids"
    rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' INT TERM

"$site" "$case" target/release/poplarpaddle-edge "$folder" "$here/record.txt" "${TROUBLE:-1}" &
child=$!
wait "$child"
status=$?
child=
case $status in
0 | 1) exit "$status" ;;
*) exit 2 ;;
esac
