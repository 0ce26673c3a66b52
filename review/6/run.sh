#!/bin/sh
# Cache servers that sometimes answer twice, and a node that is held up now and then. See claim.txt.
folder=$(dirname "$0")
exec "$folder/../stand-ins-2/play.sh" second-answer "$folder"
