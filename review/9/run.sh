#!/bin/sh
# Clients that send a request every minute and write slowly. See claim.txt.
# With TROUBLE=0 the case is played without its disruption.
trouble=${TROUBLE:-1}
folder=$(dirname "$0")
exec sh "$folder/../stand-ins-2/play.sh" minute-rest "$folder" "$trouble"
