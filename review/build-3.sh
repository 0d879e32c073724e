#!/bin/sh
# Builds the player of the cases 11 to 15. It plays the platform's store, the workers and the
# clients itself. The daemon comes from the build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -o target/play3 ./review/_play3
