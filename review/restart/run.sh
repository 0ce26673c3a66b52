#!/bin/sh
# A node is killed and started again while discovery is down and a cache server drains. See claim.txt.
folder=$(dirname "$0")
exec "$folder/../stand-ins-2/play.sh" restart-in-outage "$folder"
