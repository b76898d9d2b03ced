#!/bin/sh
# Builds the stand-ins of the scripts of the second review (6 to 10), after the build of the
# deploy file.
set -e
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/cell2 ./review/cell2
