#!/bin/sh
# Builds the stand-ins of the second review's cases. They use the standard library alone, so that no network
# is needed. The cases start target/release/applepond, which the deploy file's command builds, and these.
cd "$(dirname "$0")/standins-2" || exit 2
exec cargo build --release --offline
