#!/usr/bin/env bash
# A configuration makes a route public while a job runs. Exits with 1 when the job is then
# answered 410, 0 when it is not, 2 when the case could not run. TROUBLE=0: the
# configuration changes nothing of the route.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
exec target/rig public target/bergamot-platform "$here/record.txt"
