#!/usr/bin/env bash
# Runs the balancer for the operators' platform against a stand-in of that platform, in separate processes on loopback:
# one process for the store, routers, hosts and consumers, and six balancers in three zones. While requests run, a balancer
# is killed and started again, another one is stopped and started again, a host crashes, one drains, the store is busy for
# a while and later comes back from a copy, and the configuration changes. The last line of output is the result as a JSON
# object. The exit code is not 0 if a guarantee was violated or the last configuration is not in force everywhere.
set -euo pipefail

usage() {
    echo "usage: $0 [--seed N] [--base-port PORT] [--duration-ms MS] [--hash steady|mod] [--keep] [--no-build]"
}

seed=1 base=31000 duration_ms=14000 hash=steady keep=false build=true
while (($# > 0)); do
    case $1 in
    --seed) seed=$2 && shift 2 ;;
    --base-port) base=$2 && shift 2 ;;
    --duration-ms) duration_ms=$2 && shift 2 ;;
    --hash) hash=$2 && shift 2 ;;
    --keep) keep=true && shift ;;
    --no-build) build=false && shift ;;
    --help) usage && exit 0 ;;
    *) echo "flag $1 is unknown" >&2 && usage >&2 && exit 2 ;;
    esac
done

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
bin=$root/target/debug
folder=$(mktemp -d "${TMPDIR:-/tmp}/poplarpaddle-platform.XXXXXX")
readonly count=6 zones=(kitami abashiri monbetsu)
declare -A pids=()
ok=false

# Kills the processes of this run by their ids, and removes the folder if the run passed.
cleanup() {
    local pid
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    if $ok && ! $keep; then rm -r "$folder"; else echo "logs are in $folder" >&2; fi
}
trap cleanup EXIT

write_settings() {
    local number=$1 ip=127.1.0.$1
    cat >"$folder/$number.toml" <<END
node_name = "edge-$number"
zone = "${zones[(number - 1) % 3]}"
region = "okhotsk"
internal_port_range = [$((base + 4)),$((base + 9))]
seeds = ["127.1.0.1:$((base + 3))","127.1.0.2:$((base + 3))","127.1.0.3:$((base + 3))"]
encap = "echo"
[listen]
packet_addr = "$ip:$base"
readiness_addr = "$ip:$((base + 1))"
control = "$ip:$((base + 3))"
[bounds]
grace_s = 6
config_apply_ms = 3000
drain_ms = 3000
flow_max_s = 60
[platform]
address = "127.0.0.1:$((base + 2))"
END
}

start_balancer() {
    POPLARPADDLE_BOOT=$folder/$1.toml "$bin/poplarpaddle-edge" --tools-port $((base + 10)) >>"$folder/edge-$1.jsonl" 2>&1 &
    pids[$1]=$!
}

# Prints the status of balancer $1.
status() {
    exec {connection}<>"/dev/tcp/127.1.0.$1/$((base + 10))"
    printf 'GET /status HTTP/1.1\r\nhost: balancer\r\nconnection: close\r\n\r\n' >&"$connection"
    cat <&"$connection"
    exec {connection}>&-
}

# Waits until process $1 has exited, and ignores its exit code.
wait_for_exit() {
    wait "${pids[$1]}" || true
    unset "pids[$1]"
}

if $build; then
    (cd "$root" && cargo build --locked --quiet -p poplarpaddle-platform -p poplarpaddle-standins)
fi
for number in $(seq "$count"); do
    write_settings "$number"
    start_balancer "$number"
done
"$bin/standin-site" --balancers "$count" --base-port "$base" --seed "$seed" --duration-ms "$duration_ms" --hash "$hash" \
    --fault configure:1500:0 --fault drain:2000:4500 --fault crash:3000:3600 --fault busy:4500:1500 \
    --fault compact:6500:0 --fault configure:7000:0 --fault copy:7500:0 --fault configure:8000:0 --fault configure:8200:0 \
    --fault restore:8500:1000 --fault configure:10500:0 >"$folder/report.json" 2>"$folder/site.log" &
site=$!
pids[site]=$site
sleep 3
echo "killing balancer 4, then stopping balancer 5" >&2
kill -KILL "${pids[4]}"
wait_for_exit 4
sleep 1
start_balancer 4
kill -TERM "${pids[5]}"
wait_for_exit 5
start_balancer 5
status=0
wait "$site" || status=$?
unset "pids[site]"
cat "$folder/site.log" >&2
version=$(tail -n 1 "$folder/report.json" | sed -E 's/.*"config_version":([0-9]+).*/\1/')
for number in $(seq "$count"); do
    in_force=$(status "$number" | sed -nE 's/.*"config_version":([0-9]+).*/\1/p')
    if [[ $in_force != "$version" ]]; then
        echo "balancer $number has version ${in_force:-none} of the configuration, the store $version" >&2
        status=1
    fi
done
tail -n 1 "$folder/report.json"
if ((status == 0)); then ok=true; fi
exit "$status"
