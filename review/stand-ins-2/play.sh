#!/bin/sh
# Plays a case: `play.sh NAME FOLDER`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. With TROUBLE=0 the case is played without its disruption.
set -u
name=$1
case_folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/../.." || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
temporary_folder=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary_folder"' EXIT
target/review-2/stand-ins "$name" "$case_folder" "$temporary_folder" "$run"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
