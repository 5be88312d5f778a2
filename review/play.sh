#!/usr/bin/env bash
# review/play.sh NAME RECORD: plays a case or another play of the stand-ins against the proxy, which is started with
# the deploy file's `run`. Exit code 1: the rule was broken, 0: it held, 2: could not run. TROUBLE=0 plays the same
# without the disruption. Before it: the deploy file's build and review/build.sh.
set -u
cd "$(dirname "$0")/.." || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
folder=$(mktemp -d) && mkdir "$folder/tmp" || exit 2
driver=
trap '[ -n "$driver" ] && kill "$driver" 2>/dev/null; rm -rf "$folder"' EXIT
trap 'exit 2' HUP INT TERM
DEPLOY_RUN=$run CASE_FOLDER=$folder CASE_RECORD=$2 target/review/standin case "$1" &
driver=$!
wait "$driver"
code=$?
driver=
[ "$code" -le 1 ] && exit "$code"
exit 2
