#!/usr/bin/env bash
# Two minions are lost for good under a job of one task; the others have room for it. Exits
# with 1 when the job then has nothing running, 0 when it has, 2 when the case could not run.
# TROUBLE=0: no minion is lost.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
exec target/rig isolated target/bergamot-platform "$here/record.txt"
