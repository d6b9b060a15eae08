#!/usr/bin/env bash
# A leave is acknowledged while the store is down; all daemons are killed.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 runs it without the disruption. Build first: the build line of
# deploy/system.toml, then review/build-2.sh.
set -u
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/case_drain
[ -x "$program" ] && [ -x target/bin/wagtaild-http ] || exit 2
timeout 115 "$program" review/8/record.txt
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
