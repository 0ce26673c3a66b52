#!/bin/sh
# Clients whose requests and answers are long, on a node with little memory. See claim.txt.
folder=$(dirname "$0")
exec sh "$folder/../stand-ins-2/play.sh" long-messages "$folder"
