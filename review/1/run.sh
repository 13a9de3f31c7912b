#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without
# the disruption. Run after the build of the deploy file and review/build.sh.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/geraniumcart-gateway ] && [ -x review/bin/missed_removal ] || exit 2
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
trap 'kill "$case_id"; wait "$case_id"; exit 2' TERM INT HUP
review/bin/missed_removal "$work" "$folder/record.txt" &
case_id=$!
wait "$case_id"
