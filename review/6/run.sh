#!/bin/sh
# Clients whose requests and answers are long, on a node with little memory. See claim.txt.
# With TROUBLE=0 the case is played without its disruption.
trouble=${TROUBLE:-1}
folder=$(dirname "$0")
exec sh "$folder/../stand-ins-2/play.sh" long-messages "$folder" "$trouble"
