#!/bin/sh
# Builds the stand-ins that the scripts start: one program with a command for each case.
set -eu
cd "$(dirname "$0")/.."
go build -buildvcs=false -o review/bin/ ./review/drive
