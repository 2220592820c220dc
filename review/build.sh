#!/bin/sh
# Builds the stand-ins of the review's scripts. They are plain JavaScript without
# dependencies, so this only checks their syntax. The node itself comes from the
# build of the deploy file.
set -e
cd "$(dirname "$0")"
for file in common/*.mjs [1-5]/*.mjs; do
  node --check "$file"
done
