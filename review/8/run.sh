#!/bin/sh
# A new cache server joins a busy fleet whose lists tell live weights. See claim.txt.
# With TROUBLE=0 the case is played without its disruption.
trouble=${TROUBLE:-1}
folder=$(dirname "$0")
exec sh "$folder/../stand-ins-2/play.sh" cold-join "$folder" "$trouble"
