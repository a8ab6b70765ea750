#!/usr/bin/env bash
# Heartbeats of another writer name a service that no configuration has, under the ids of
# sound minions. Exits with 1 when the job that these run is then left without anything
# running, 0 when it is done, 2 when the case could not run. TROUBLE=0: no such heartbeats.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
exec target/rig foreign target/bergamot-platform "$here/record.txt"
