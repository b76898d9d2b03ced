#!/bin/sh
# Builds what the scripts of the third review start, beside target/cuminloft of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/...
go build -ldflags=-linkmode=external -o target/review3/ ./review/cell3
