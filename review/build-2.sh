#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 6 to 10, without a network.
set -euo pipefail
cd "$(dirname "$0")/lib2"
CARGO_TARGET_DIR=../../target/review-2 cargo build --release --locked --offline --jobs "${JOBS:-4}"
