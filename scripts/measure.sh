#!/bin/sh
# Builds the load driver in release mode and prints one JSON line for each deployment, scenario and policy.
# Arguments are passed on, for example: scripts/measure.sh --seed 7 --scenario least_urgent_flood --orders
set -eu
cd "$(dirname "$0")/.."
cargo build --quiet --release -p poplarpaddle-bench --bin measure
exec target/release/measure "$@"
