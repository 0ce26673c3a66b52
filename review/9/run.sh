#!/bin/sh
# Clients that send a request every minute and write slowly. See claim.txt.
folder=$(dirname "$0")
exec sh "$folder/../stand-ins-2/play.sh" minute-rest "$folder"
