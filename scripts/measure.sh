#!/bin/sh
# Builds the load driver in release mode and prints one JSON line for each deployment, scenario and policy, with a fixed
# seed. Arguments are passed on, for example: scripts/measure.sh --seed 7 --scenario least_urgent_flood --orders
#
# A longer run outside CI takes random seeds, which every line names, and more flows:
#     scripts/measure.sh --random-seeds 20 --flows 50000 --balancers 20
# A line of it is repeated by --seed with its seed and the same flows, balancers and --scenario.
set -eu
cd "$(dirname "$0")/.."
cargo build --quiet --release -p poplarpaddle-bench --bin measure
exec target/release/measure "$@"
