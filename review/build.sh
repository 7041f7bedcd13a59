#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start; needs no network.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/standin"
cargo build --release --locked --offline
