#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review: review/_play2 has the targets and
# the plays, and holds the project's stand-ins of the platform's store and of the callers
# (platform/standin).
set -e
cd "$(dirname "$0")/.."
go build -o target/review-play-2 ./review/_play2
