#!/usr/bin/env bash
# Builds the stand-ins of the scripts: review/_play has the workers, the clients and the
# network, and holds the project's stand-in of the platform (platform/standin).
set -e
cd "$(dirname "$0")/.."
go build -o target/review-play ./review/_play
