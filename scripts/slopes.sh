#!/bin/sh
# Builds the slope measurements in release mode and prints one JSON line for each slope. Each group runs in its own
# process, since memory that one group freed would hide the memory of the next. Arguments select groups.
set -eu
cd "$(dirname "$0")/.."
cargo build --quiet --release -p poplarpaddle-bench --bin slopes
[ $# -gt 0 ] || set -- change flow gossip host memory owner spread
for group in "$@"; do
    target/release/slopes "$group"
done
