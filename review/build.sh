#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start; needs no network.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/standin"
# The result goes to the build folder of the repository, so that none appears below review/.
cargo build --release --locked --offline --target-dir ../../target/review
