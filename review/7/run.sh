#!/usr/bin/env bash
# A machine is added, and a wave names it and three others. Exits with 1 when the wave is said
# to be completed before the upkeep of that machine has begun, 0 when it is not, 2 when the
# case could not run. TROUBLE=0: the machine was there from the start.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
exec target/rig wave target/bergamot-platform "$here/record.txt"
