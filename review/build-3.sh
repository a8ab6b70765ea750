#!/bin/sh
# Builds the stand-ins of cases 11 to 15. The build of deploy/system.toml comes first.
cd "$(dirname "$0")/.." && go build -o target/rig3 ./review/rig3
