#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are plain modules of Node.js without
# dependencies (review/common-2), so there is nothing to compile; checks that they can run.
set -e
cd "$(dirname "$0")"
for file in common-2/lib.mjs 6/run.mjs 7/run.mjs 8/run.mjs 9/run.mjs 10/run.mjs; do node --check "$file"; done
test -f ../target/start.cjs || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
