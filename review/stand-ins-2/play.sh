#!/bin/sh
# Plays a case: `play.sh NAME FOLDER TROUBLE`, without its disruption if TROUBLE is 0. Exits with 1 if the rule
# was broken, 0 if it held, 2 if the case could not run.
set -u
name=$1
trouble=$3
case_folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/../.." || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
temporary_folder=$(mktemp -d) || exit 2
stand_ins=

# Ends what is still running if this script is interrupted.
clean_up() {
    [ -z "$stand_ins" ] || kill -KILL "$stand_ins" 2>/dev/null
    [ ! -f "$temporary_folder/node.pid" ] || kill -KILL "$(cat "$temporary_folder/node.pid")" 2>/dev/null
    rm -rf "$temporary_folder"
}
trap clean_up EXIT
trap 'exit 2' INT TERM HUP

target/review-2/stand-ins "$name" "$case_folder" "$temporary_folder" "$run" "$trouble" &
stand_ins=$!
wait "$stand_ins"
code=$?
stand_ins=
[ "$code" -le 1 ] || code=2
exit "$code"
