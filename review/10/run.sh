#!/bin/sh
# New configurations in quick succession while discovery is slow and a cache server drains. See claim.txt.
# With TROUBLE=0 the case is played without its disruption.
trouble=${TROUBLE:-1}
folder=$(dirname "$0")
exec sh "$folder/../stand-ins-2/play.sh" quick-reloads "$folder" "$trouble"
