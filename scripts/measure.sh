#!/bin/sh
# Builds the load driver in release mode and prints one JSON line for each deployment, scenario and policy, with a fixed
# seed. Arguments are passed on to the load driver, for example:
#     scripts/measure.sh --seed 7 --scenario least_urgent_flood --orders
#
# Longer runs outside CI use more flows and random seeds, which are part of every line:
#     scripts/measure.sh --random-seeds 20 --flows 50000 --balancers 20
# To reproduce a line, pass its seed with --seed, its --scenario and the same --flows and --balancers.
set -eu
cd "$(dirname "$0")/.."
cargo build --quiet --release -p poplarpaddle-bench --bin measure
exec target/release/measure "$@"
