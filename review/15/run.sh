#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/rig3 ] || [ ! -x target/bergamot-platform ]; then
    echo "not run: build deploy/system.toml and review/build-3.sh first"
    exit 2
fi
exec target/rig3 renamed review/15/record.txt
