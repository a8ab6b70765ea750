#!/usr/bin/env bash
# Heartbeats of another writer name a service that no configuration has. Exits with 1 when a
# job of the sound minions is then never run, 0 when it is, 2 when the case could not run.
# TROUBLE=0: no such heartbeats.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
exec target/rig foreign target/bergamot-platform "$here/record.txt"
