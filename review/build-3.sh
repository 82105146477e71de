#!/bin/sh
# Builds what the scripts of this review start besides the programs of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/ ./review/rig3
