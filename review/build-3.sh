#!/bin/sh
# Builds the stand-ins that the cases 11 to 15 start into target/review-3/. Needs
# what the build of the deploy file has installed, and no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
node_modules/.bin/esbuild stand_ins/store/start_store_server.ts stand_ins/store/store_fault.ts \
  --bundle --platform=node --target=node20 --format=esm --out-extension:.js=.mjs \
  --outdir=target/review-3 --log-level=warning
