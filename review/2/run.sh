#!/usr/bin/env bash
# Runs the case "lease". Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. TROUBLE=0 leaves the disruption out.
set -euo pipefail
cd "$(dirname "$0")/../.."
if [ ! -x target/review-standin ] || [ ! -x target/bergamot-platform ]; then
  echo "build first: the build line of deploy/system.toml, then review/build.sh" >&2
  exit 2
fi
exec target/review-standin lease review/2/record.txt
