#!/bin/bash
# Builds the stand-ins of the cases 6 to 10. They use the standard library only.
cd "$(dirname "$0")/.." || exit 1
exec cargo build --release --locked --offline \
    --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
