#!/bin/sh
# A node that does not go when it is told to.
trap "" TERM
echo ready
while true; do sleep 1; done
