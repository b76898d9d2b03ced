#!/bin/sh
# Builds the stand-ins and drivers of all cases, after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
exec go build -o target/review-cases ./review/cases
